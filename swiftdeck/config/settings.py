"""Settings of a process, read from a TOML file and flags.

All settings but the name and the two main addresses have defaults.
"""

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from swiftdeck.config.policy import ALL_ON, Policy
from swiftdeck.fault import BAD_SETTING
from swiftdeck.http.limits import ServerLimits

Ms = Annotated[int, msgspec.Meta(ge=10, le=600000)]

# Settings that may differ between the processes of a site; all others must be the same.
PER_PROCESS_SETTINGS = {
    "name",
    "inner",
    "http",
    "opsHttp",
    "seeds",
    "zone",
    "dataFolder",
    "platform",
    "store",
    "operatorKey",
    "founders",
    "mayFound",
    "memoryMb",
    "fileHandles",
}


class Settings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The name, addresses, time limits and other bounds of a process; durations are in ms."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
    inner: str
    http: str
    opsHttp: str = ""
    seeds: list[str] = []
    zone: str = "z1"
    dataFolder: str = ""
    platform: str = ""
    store: str = ""
    cores: Annotated[int, msgspec.Meta(ge=1, le=15)] = 3
    founders: list[str] = []
    mayFound: bool = True
    lossesBorne: Annotated[int, msgspec.Meta(ge=0, le=7)] = 1
    operatorKey: str = ""
    probeMs: Ms = 500
    suspectMs: Ms = 2000
    viewLicenceMs: Ms = 2000
    configLicenceMs: Ms = 4000
    ackWaitMs: Annotated[int, msgspec.Meta(ge=0, le=600000)] = 0
    dutyLicenceMs: Ms = 3000
    listMs: Ms = 500
    listOldMs: Ms = 2500
    holdMs: Ms = 500
    holdLicenceMs: Ms = 3000
    grantMs: Ms = 2000
    stopMs: Ms = 20000
    virtualPlaces: Annotated[int, msgspec.Meta(ge=1, le=2000)] = 128
    placesWeighed: Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    budgetShare: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    budgetExtra: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 3
    claimKeepMs: Annotated[int, msgspec.Meta(ge=60000, le=30 * 86400000)] = 86400000
    claimsMost: Annotated[int, msgspec.Meta(ge=1000, le=10000000)] = 200000
    callsOpen: Annotated[int, msgspec.Meta(ge=1, le=100000)] = 2000
    bodyBytes: Annotated[int, msgspec.Meta(ge=1024, le=64 << 20)] = 4 << 20
    memoryMb: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)] = 300
    fileHandles: Annotated[int, msgspec.Meta(ge=300, le=1 << 20)] = 4096
    archive: bool = True
    renewMs: Ms = 500
    episodeTokens: Annotated[int, msgspec.Meta(ge=1, le=10000000)] = 2048
    longCallsLogged: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    connectMs: Ms = 300
    budgetWindowMs: Ms = 10000
    oldWeightsMs: Ms = 5500
    weightsBoundMs: Ms = 8000
    orderLeaseMs: Ms = 3300
    leaveMs: Ms = 2600
    policy: Policy = ALL_ON
    partsMost: Annotated[int, msgspec.Meta(ge=1, le=100000)] = 2000

    def shared(self):
        """Return the settings that must be the same in all processes of a site."""
        return {
            field.name: getattr(self, field.name)
            for field in msgspec.structs.fields(self)
            if field.name not in PER_PROCESS_SETTINGS
        }

    def server_limits(self) -> ServerLimits:
        """Return what clients may take of a process with these settings."""
        return ServerLimits.within(self.memoryMb, self.fileHandles)

    def faults(self):
        """Yield a message for each invalid address and each conflict between settings."""
        for name in ("inner", "http"):
            yield from self._address_faults(name, getattr(self, name))
        for index, seed in enumerate(self.seeds):
            yield from self._address_faults(f"seeds[{index}]", seed)
        for index, founder in enumerate(self.founders):
            yield from self._address_faults(f"founders[{index}]", founder)
        for name in ("platform", "store", "opsHttp"):
            if getattr(self, name):
                yield from self._address_faults(name, getattr(self, name))
        if self.configLicenceMs <= self.viewLicenceMs:
            yield "configLicenceMs: must be above viewLicenceMs"
        if self.grantMs >= self.holdLicenceMs:
            yield "grantMs: must be below holdLicenceMs"
        if self.leaveMs >= self.stopMs:
            yield "leaveMs: must be below stopMs"
        if self.bodyBytes > self.server_limits().largest_body_bytes:
            yield "bodyBytes: memoryMb leaves no room for a body of this size"
        if self.inner == self.http:
            yield "http: is the same as inner"

    @staticmethod
    def _address_faults(name, addr):
        ip, _, port = addr.rpartition(":")
        try:
            ipaddress.ip_address(ip)
            if not 0 < int(port) < 65536:
                raise ValueError("port out of range")
        except ValueError as error:
            yield f"{name}: `{addr}` is not IP:PORT ({error})"


def read_settings(path: str = "", flags: dict | None = None):
    """Return settings from a file and flags, or a fault if they are invalid.

    Flags take precedence over the file; a flag that is None, "" or [] counts as not given.
    """
    try:
        values = tomllib.loads(Path(path).read_text()) if path else {}
        values |= {
            name: value for name, value in (flags or {}).items() if value not in (None, [], "")
        }
        settings = msgspec.convert(values, Settings)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        return BAD_SETTING.with_reason(f"{path}: {error}" if path else error)
    fault = next(settings.faults(), None)
    return settings if fault is None else BAD_SETTING.with_reason(fault)
