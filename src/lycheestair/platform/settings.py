"""Decodes the platform's settings file into the settings of a node."""

from collections.abc import Callable
import os
import pathlib
from typing import Final
from typing import TypeVar

from lycheestair import ids
from lycheestair.sidecar import settings as settings_lib

PATH_VARIABLE: Final = "LYCHEESTAIR_SETTINGS"
DEFAULT_PATH: Final = "/etc/lycheestair/boot.conf"
# Offsets from the first port of the internal port range.
PEER_PORT_OFFSET: Final = 0
METRICS_PORT_OFFSET: Final = 1

T = TypeVar("T")


class SettingsError(Exception):
    """A setting is missing or malformed."""


def find_path() -> pathlib.Path:
    """Returns the path of the settings file, which the environment may set."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(path: pathlib.Path) -> settings_lib.SidecarSettings:
    """Reads the settings file.

    Raises:
      SettingsError: A field is missing or malformed.
      OSError: The file can't be read.
    """
    return decode(path.read_text(encoding="utf-8"))


def decode(text: str) -> settings_lib.SidecarSettings:
    """Decodes lines of the form a.b=value; ignores unknown fields.

    Raises:
      SettingsError: A field is missing or malformed.
    """
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    host = _read(fields, "self_node.ip_address", str)
    first_port = int(
        _read(fields, "network.internal_port_range", str).partition(",")[0]
    )
    return settings_lib.SidecarSettings(
        node_id=ids.NodeId(_read(fields, "self_node.node_name", str)),
        failure_domain=ids.FailureDomain(_read(fields, "self_node.zone", str)),
        region=ids.Region(_read(fields, "self_node.region", str)),
        service=ids.ServiceName(_read(fields, "self_node.service", str)),
        server_address=_read(
            fields, "self_node.application_address", ids.Address
        ),
        callers=_read(fields, "network.listen_addresses.outbound", ids.Address),
        readiness=_read(fields, "network.listen_addresses.ready", ids.Address),
        control=_read(fields, "network.listen_addresses.control", ids.Address),
        peers=ids.Address(f"{host}:{first_port + PEER_PORT_OFFSET}"),
        metrics=ids.Address(f"{host}:{first_port + METRICS_PORT_OFFSET}"),
        store=_read(fields, "platform.platform.address", ids.Address),
        memory_bytes=int(
            _read(fields, "self_node.limits.memory_mb", float) * 1_000_000
        ),
        heartbeat_interval_s=_read(
            fields, "platform.heartbeat_interval_s", float
        ),
        bounds=_decode_bounds(fields),
    )


def _decode_bounds(fields: dict[str, str]) -> settings_lib.Bounds:
    default = settings_lib.Bounds()

    def read(name: str, fallback: float) -> float:
        key = f"terms.bounds.{name}"
        return _read(fields, key, float) if key in fields else fallback

    return settings_lib.Bounds(
        grace_s=read("grace_period_s", default.grace_s),
        retry_ratio=read("retry_budget_ratio", default.retry_ratio),
        retry_allowance=read("retry_budget_slack", default.retry_allowance),
        retry_window_s=read("budget_window_s", default.retry_window_s),
        exposure_share=read("exposure_share", default.exposure_share),
        exposure_slack=read("exposure_slack", default.exposure_slack),
    )


def _read(fields: dict[str, str], name: str, convert: Callable[[str], T]) -> T:
    value = fields.get(name)
    if not value:
        raise SettingsError(f"setting {name} is missing")
    try:
        return convert(value)
    except ValueError as error:
        raise SettingsError(f"setting {name}: {error}") from error
