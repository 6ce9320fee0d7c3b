"""Decodes the platform's settings file into the settings of a node."""

import os
import pathlib
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import fields as fields_lib
from lycheestair.sidecar import settings as settings_lib

PATH_VARIABLE: Final = "LYCHEESTAIR_SETTINGS"
DEFAULT_PATH: Final = "/etc/lycheestair/boot.conf"
# Offsets from the first port of the internal port range.
PEER_PORT_OFFSET: Final = 0
METRICS_PORT_OFFSET: Final = 1
_DESCRIPTORS: Final = "self_node.limits.file_descriptors"
_DEFAULT_DESCRIPTORS: Final = "1024"
# Bounds under terms.bounds, by attribute of settings_lib.Bounds.
_BOUND_KEYS: Final = {
    "grace_s": "grace_period_s",
    "retry_ratio": "retry_budget_ratio",
    "retry_allowance": "retry_budget_slack",
    "retry_window_s": "budget_window_s",
    "exposure_share": "exposure_share",
    "exposure_slack": "exposure_slack",
    "allowance_window_s": "quota_window_s",
    "allowance_overshoot": "quota_overshoot",
    "allowance_slack": "quota_slack",
    "revocation_s": "revoke_s",
    "cold_overshoot": "cold_overshoot",
    "cold_slack": "cold_slack",
}

SettingsError = fields_lib.SettingsError


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
    fields = fields_lib.parse_lines(text)
    host = fields_lib.read(fields, "self_node.ip_address", str)
    first_port = int(
        fields_lib.read(fields, "network.internal_port_range", str).partition(
            ","
        )[0]
    )
    return settings_lib.SidecarSettings(
        node_id=ids.NodeId(fields_lib.read(fields, "self_node.node_name", str)),
        failure_domain=ids.FailureDomain(
            fields_lib.read(fields, "self_node.zone", str)
        ),
        region=ids.Region(fields_lib.read(fields, "self_node.region", str)),
        service=ids.ServiceName(
            fields_lib.read(fields, "self_node.service", str)
        ),
        server_address=fields_lib.read(
            fields, "self_node.application_address", ids.Address
        ),
        callers=fields_lib.read(
            fields, "network.listen_addresses.outbound", ids.Address
        ),
        readiness=fields_lib.read(
            fields, "network.listen_addresses.ready", ids.Address
        ),
        control=fields_lib.read(
            fields, "network.listen_addresses.control", ids.Address
        ),
        peers=ids.Address(f"{host}:{first_port + PEER_PORT_OFFSET}"),
        metrics=ids.Address(f"{host}:{first_port + METRICS_PORT_OFFSET}"),
        store=fields_lib.read(fields, "platform.platform.address", ids.Address),
        memory_bytes=int(
            fields_lib.read(fields, "self_node.limits.memory_mb", float)
            * 1_000_000
        ),
        heartbeat_interval_s=fields_lib.read(
            fields, "platform.heartbeat_interval_s", float
        ),
        bounds=_decode_bounds(fields),
        honours_places="places"
        in fields_lib.list_names(fields.get("terms.contracts", "")),
        max_descriptors=fields_lib.read(
            {_DESCRIPTORS: _DEFAULT_DESCRIPTORS} | fields, _DESCRIPTORS, int
        ),
    )


def _decode_bounds(fields: dict[str, str]) -> settings_lib.Bounds:
    bounds = {
        name: fields_lib.read(fields, f"terms.bounds.{key}", float)
        for name, key in _BOUND_KEYS.items()
        if f"terms.bounds.{key}" in fields
    }
    fails_closed = fields.get("terms.bounds.fail_closed") == "true"
    return settings_lib.Bounds(fails_closed=fails_closed, **bounds)
