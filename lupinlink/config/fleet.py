"""The fleet file: the agreement service, this process's identity and its components. Performs no I/O.

deploy/fleet.toml lists every key with unit, range and default. A component is off unless the file has its
table; its settings are a msgspec Struct of its own package, which is imported only then.
"""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from lupinlink.config.errors import FleetComponentError, FleetFileError
from lupinlink.config.explain import explain
from lupinlink.errors import LupinError

COMPONENTS = {  # by table: module and class of the settings
    "release": "lupinlink.release.settings:ReleaseSettings",
    "quota": "lupinlink.quota.settings:QuotaSettings",
    "migration": "lupinlink.migration.settings:MigrationSettings",
}
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")]
MaybeName = Annotated[str, Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9._+-]{0,62})?\Z")]


class AgreementSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The ``[agreement]`` table."""

    form: Literal["consul", "memory"] = "consul"  # memory: for a fleet of one process
    address: Annotated[str, Meta(pattern=r"^[^\s:/]+:[0-9]{1,5}\Z")] = (
        "127.0.0.1:8500"  # IPv4 address or host name
    )
    prefix: Annotated[str, Meta(pattern=r"^([^\s/]+/)+\Z", max_length=200)] = "lupinlink/"  # of all keys
    token: Annotated[str, Meta(max_length=200)] = ""  # for Consul's access control; empty: none
    lease_s: Annotated[float, Meta(ge=1.0, le=86400.0)] = 10.0  # time to live of a lease
    lock_delay_s: Annotated[float, Meta(ge=0.0, le=60.0)] = (
        1.0  # after the end of a lease, during which its records cannot be locked
    )
    call_ms: Annotated[float, Meta(ge=100.0, le=60000.0)] = 2000.0  # time-out of a call
    ask_ms: Annotated[float, Meta(ge=100.0, le=60000.0)] = 1000.0  # average interval between calls
    wait_s: Annotated[float, Meta(ge=1.0, le=600.0)] = 10.0  # longest wait of a blocking query

    @property
    def host_and_port(self) -> tuple[str, int]:
        """Host and port of ``address``."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    def check(self) -> None:
        """Check what bounds of single keys do not. Raises FleetFileError; its text begins with the key."""
        if not 0 < self.host_and_port[1] <= 65535:
            raise FleetFileError(f"address: port {self.host_and_port[1]}; allowed: 1 to 65535")
        if self.call_ms > self.lease_s * 1000.0 / 3.0:
            raise FleetFileError(
                f"call_ms: {self.call_ms:g} is over a third of lease_s, so a few slow calls would lose the "
                f"lease; allowed: to {self.lease_s * 1000.0 / 3.0:g}"
            )


class MemberSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The ``[member]`` table."""

    zone: MaybeName = ""  # empty: as in the proxy's own settings
    version: MaybeName = ""  # empty: the version of the program
    pool: MaybeName = ""  # of proxies, for migrations


class FleetFile(Struct, frozen=True):
    """The validated content of a fleet file."""

    agreement: AgreementSettings
    member: MemberSettings
    parts: Mapping[str, Any]  # by table: the settings of the components that are on
    folder: str = ""  # of the file; relative paths in it start there


def read_fleet(raw: Mapping[str, Any], name: str, folder: str = "") -> FleetFile:
    """Validate the content of a fleet file; ``name`` is the file's, for error messages.

    Raises FleetFileError, FleetComponentError, and what the components' own settings raise.
    """
    unknown = raw.keys() - COMPONENTS.keys() - {"agreement", "member"}
    if unknown:
        tables = ", ".join(["agreement", "member", *COMPONENTS])
        raise FleetFileError(f"{name}: {min(unknown)}: there is no such table; allowed: {tables}")
    return FleetFile(
        _table(raw, name, "agreement", AgreementSettings),
        _table(raw, name, "member", MemberSettings),
        {table: _table(raw, name, table, _settings(name, table)) for table in COMPONENTS if table in raw},
        folder,
    )


def _settings(name: str, table: str) -> Any:
    module, _, kind = COMPONENTS[table].partition(":")
    try:
        return getattr(import_module(module), kind)
    except ImportError as exc:
        raise FleetComponentError(f"{name}: {table}: {exc}") from exc


def _table(raw: Mapping[str, Any], name: str, table: str, kind: Any) -> Any:
    try:
        settings = msgspec.convert(raw.get(table, {}), kind)
        if hasattr(settings, "check"):
            settings.check()
    except msgspec.ValidationError as exc:
        key, what, allowed = explain(kind, str(exc))
        place = f"{table}.{key}" if key else table
        raise FleetFileError(f"{name}: {place}: {what}; allowed: {allowed}") from exc
    except FleetFileError as exc:
        raise FleetFileError(f"{name}: {table}.{exc}") from exc
    except (LupinError, ValueError) as exc:
        kept = type(exc) if isinstance(exc, LupinError) else FleetFileError
        raise kept(f"{name}: {table}: {exc}") from exc
    return settings
