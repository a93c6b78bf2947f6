"""The platform's settings file, as checked settings of our own."""

import os
import tomllib
from pathlib import Path

import msgspec

from swiftdeck.config.settings import Settings
from swiftdeck.fault import BAD_SETTING
from swiftdeck.http.drain import DrainTimes

PATH_VARIABLE = "SWIFTDECK_CONFIG"
SEED_PORT_OF = "control"
OLD_WEIGHTS_SPARE_MS = 2000
"""How long before the bound routers stop sending to older weights.

Requests may wait at a worker before they begin.
"""


class Listen(msgspec.Struct, rename="kebab", frozen=True):
    """Addresses of what the role serves."""

    front: str = ""
    readiness: str = ""
    control: str = ""


class Bounds(msgspec.Struct, rename="kebab", frozen=True):
    """Figures of the rules."""

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


class Tolerate(msgspec.Struct, rename="kebab", frozen=True):
    """What may be lost at the same time."""

    machines: int = 1


class Api(msgspec.Struct, rename="kebab", frozen=True):
    """Where the list of workers is."""

    address: str
    rate_per_s: float = 10
    max_lag_ms: float = 800


class File(msgspec.Struct, rename="kebab"):
    """The settings file; fields that aren't known are ignored."""

    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    seed_addresses: list[str]
    platform_api: Api
    listen_addresses: Listen = Listen()
    bounds: Bounds = Bounds()
    tolerate: Tolerate = Tolerate()
    first_start: bool = False
    data_dir: str = ""


class Place(msgspec.Struct):
    """Our settings and what only the adapter needs."""

    settings: Settings
    list_addr: str = ""


class SettingsWatch:
    """Knows whether the settings file has other contents than at the last look."""

    def __init__(self, path: str = ""):
        self.path = path or os.environ.get(PATH_VARIABLE, "")
        self.seen = self._contents()

    def _contents(self):
        try:
            return Path(self.path).read_bytes()
        except OSError:
            return None

    def has_changed(self) -> bool:
        """Whether something else is there than at the last look."""
        before, self.seen = self.seen, self._contents()
        return self.seen != before


def read_place(role: str, path: str = ""):
    """Checked settings from the platform's file, or a fault."""
    path = path or os.environ.get(PATH_VARIABLE, "")
    try:
        file = msgspec.convert(tomllib.loads(Path(path).read_text()), File, strict=False)
        return _place(role, file)
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


def _place(role, file):
    port, bounds = file.internal_ports[0], file.bounds
    drain = DrainTimes.within(bounds.grace_s)
    seeds = [f"{each.rpartition(':')[0]}:{port}" for each in file.seed_addresses]
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
            oldWeightsMs=int(max(500, bounds.version_ms - OLD_WEIGHTS_SPARE_MS)),
            weightsBoundMs=int(bounds.version_ms),
            orderLeaseMs=int(bounds.lease_ms + bounds.thaw_slack_ms),
            viewLicenceMs=1500,
            configLicenceMs=2500,
            archive=False,
            ackWaitMs=400,
            listMs=600,
            bodyBytes=4 << 20,
        ),
        Settings,
    )
    first = next(settings.faults(), None)
    if first is not None:
        return BAD_SETTING.with_reason(first)
    return Place(settings, file.platform_api.address)
