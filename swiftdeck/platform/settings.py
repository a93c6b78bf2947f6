"""Reads the platform's settings file and converts it to validated settings."""

import os
import tomllib
from pathlib import Path

import msgspec

from swiftdeck.config.settings import Settings
from swiftdeck.fault import BAD_SETTING
from swiftdeck.http.drain import DrainTimes

PATH_VARIABLE = "SWIFTDECK_CONFIG"
OLD_WEIGHTS_MARGIN_MS = 2000
"""How long before `version-ms` ends routers stop sending requests to workers with older weights.

Requests may wait at a worker before they begin.
"""


class ListenAddresses(msgspec.Struct, rename="kebab", frozen=True):
    """Addresses that the role listens on."""

    front: str = ""
    readiness: str = ""
    control: str = ""


class BoundsTable(msgspec.Struct, rename="kebab", frozen=True):
    """Time limits and retry limits that the platform sets."""

    contact_ms: float = 3000
    ack_within_ms: float = 4000
    drain_ms: float = 3000
    grace_s: float = 8
    apply_within_ms: float = 2000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    extra_retries: float = 0
    lease_ms: float = 3000
    thaw_slack_ms: float = 300
    version_ms: float = 8000


class TolerateTable(msgspec.Struct, rename="kebab", frozen=True):
    """How many machines may be lost at the same time."""

    machines: int = 1


class LimitsTable(msgspec.Struct, rename="kebab", frozen=True):
    """What a process may use of its machine."""

    memory_mb: float = 300
    file_handles: int = 4096


class PlatformApi(msgspec.Struct, rename="kebab", frozen=True):
    """Address and limits of the API that lists the workers."""

    address: str
    rate_per_s: float = 10
    max_lag_ms: float = 800


class SettingsFile(msgspec.Struct, rename="kebab"):
    """The settings file; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    seed_addresses: list[str]
    platform_api: PlatformApi
    listen_addresses: ListenAddresses = ListenAddresses()
    bounds: BoundsTable = BoundsTable()
    tolerate: TolerateTable = TolerateTable()
    limits: LimitsTable = LimitsTable()
    first_start: bool = False
    data_dir: str = ""


class PlatformSettings(msgspec.Struct):
    """Settings of the node, and the list address that only the adapter uses."""

    settings: Settings
    list_addr: str = ""


class SettingsWatch:
    """Detects changes of the settings file between two checks."""

    def __init__(self, path: str = ""):
        self.path = path or os.environ.get(PATH_VARIABLE, "")
        self.seen_contents = self._contents()

    def _contents(self):
        try:
            return Path(self.path).read_bytes()
        except OSError:
            return None

    def has_changed(self) -> bool:
        """Return whether the contents differ from those at the previous check.

        A file that can't be read counts as contents of its own.
        """
        previous_contents, self.seen_contents = self.seen_contents, self._contents()
        return self.seen_contents != previous_contents


def read_settings(role: str, path: str = ""):
    """Return the validated PlatformSettings of a role, or a fault.

    `path` defaults to the value of the environment variable `SWIFTDECK_CONFIG`.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    try:
        file = msgspec.convert(tomllib.loads(Path(path).read_text()), SettingsFile, strict=False)
        return _to_platform_settings(role, file)
    except (
        OSError,
        tomllib.TOMLDecodeError,
        UnicodeDecodeError,
        msgspec.ValidationError,
        ValueError,
        OverflowError,
        IndexError,
    ) as error:
        return BAD_SETTING.with_reason(f"{path or PATH_VARIABLE}: {error}")


def _to_platform_settings(role, file):
    port, bounds = file.internal_ports[0], file.bounds
    drain = DrainTimes.within(bounds.grace_s)
    seeds = [f"{address.rpartition(':')[0]}:{port}" for address in file.seed_addresses]
    is_core = role == "core"
    http = file.listen_addresses.control if is_core else file.listen_addresses.front
    settings = msgspec.convert(
        dict(
            name=file.node_name,
            inner=f"{file.ip}:{port}",
            http=http or f"{file.ip}:{port + 1}",
            seeds=seeds,
            zone=file.zone,
            opsHttp="" if is_core else file.listen_addresses.readiness,
            dataFolder=file.data_dir if is_core else "",
            founders=seeds,
            mayFound=file.first_start,
            lossesBorne=file.tolerate.machines,
            leaveMs=int(drain.admission_s * 1000),
            stopMs=int(drain.work_s * 1000),
            budgetShare=bounds.retry_ratio,
            budgetExtra=int(bounds.extra_retries),
            budgetWindowMs=int(bounds.retry_window_s * 1000),
            oldWeightsMs=int(max(500, bounds.version_ms - OLD_WEIGHTS_MARGIN_MS)),
            weightsBoundMs=int(bounds.version_ms),
            orderLeaseMs=int(bounds.lease_ms + bounds.thaw_slack_ms),
            viewLicenceMs=1500,
            configLicenceMs=2500,
            archive=False,
            ackWaitMs=400,
            listMs=600,
            bodyBytes=4 << 20,
            memoryMb=int(file.limits.memory_mb),
            fileHandles=file.limits.file_handles,
        ),
        Settings,
    )
    first_fault = next(settings.faults(), None)
    if first_fault is not None:
        return BAD_SETTING.with_reason(first_fault)
    return PlatformSettings(settings, file.platform_api.address)
