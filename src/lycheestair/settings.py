"""Settings of a node, read from a TOML file. Unknown keys are rejected."""

import dataclasses
import ipaddress
import pathlib
import re
import tomllib
from typing import Annotated
from typing import Any
from typing import Final
from typing import Literal

import pydantic
import pydantic.dataclasses

from lycheestair import ids

MAX_PORT: Final = 65_535
_STRICT: Final = pydantic.ConfigDict(extra="forbid", frozen=True)


def is_address(text: str) -> bool:
    """Returns whether the text is an address "IP:port" with a valid port."""
    host, _, port = text.rpartition(":")
    # int() raises ValueError for thousands of digits, so only the first six are
    # parsed.
    return _parse_ip_address(host) is not None and (
        port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65_536
    )


def is_loopback(address: str) -> bool:
    """Returns whether a valid address "IP:port" is a loopback address."""
    host = _parse_ip_address(address.rpartition(":")[0])
    return host is not None and host.is_loopback


def _parse_ip_address(
    text: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    bracketed = text.startswith("[") and text.endswith("]")
    try:
        host = ipaddress.ip_address(text[1:-1] if bracketed else text)
    except ValueError:
        return None
    return host if bracketed == (host.version == 6) else None


def _check_address(text: str) -> str:
    if not is_address(text):
        raise ValueError("must be an address IP:PORT, port 1 to 65535")
    return text


_AddressText = Annotated[str, pydantic.AfterValidator(_check_address)]
_OptionalAddress = Annotated[
    str,
    pydantic.AfterValidator(lambda text: text and _check_address(text)),
]
_PositiveInt = Annotated[int, pydantic.Field(gt=0)]
_PositiveFloat = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class SettingsError(Exception):
    """The settings are invalid. Each line of the message is one error."""


@pydantic.dataclasses.dataclass(config=_STRICT)
class Identity:
    """Identity and location of the node."""

    id: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    region: Annotated[str, pydantic.Field(min_length=1)]
    failure_domain: Annotated[str, pydantic.Field(min_length=1)]

    @property
    def node_id(self) -> ids.NodeId:
        """Id of the node."""
        return ids.NodeId(self.id)


@pydantic.dataclasses.dataclass(config=_STRICT)
class Listeners:
    """Addresses "IP:port" that the node listens on.

    Attributes:
      caller: HTTP requests of clients.
      peer: HTTP requests that other nodes forward.
      control: gRPC calls of other nodes and of operators.
      local: HTTP requests for metrics and readiness, and to announce or
        withdraw the backend server of this node.
    """

    caller: _AddressText
    peer: _AddressText
    control: _AddressText
    local: _AddressText


@pydantic.dataclasses.dataclass(config=_STRICT)
class AdvertisedAddresses:
    """Addresses that peers connect to; empty if equal to the listener's."""

    peer: _OptionalAddress = ""
    control: _OptionalAddress = ""


@pydantic.dataclasses.dataclass(config=_STRICT)
class StoreSettings:
    """Connection to the platform's object API."""

    address: _AddressText
    timeout_ms: _PositiveInt = 2_000
    lease_ms: _PositiveInt = 5_000


@pydantic.dataclasses.dataclass(config=_STRICT)
class RequestSettings:
    """Handling of client requests: limits, queues, retries, idempotency keys.

    Attributes:
      max_depth: Maximum number of nested calls.
      ramp_s: Time over which the usable slots of a new endpoint increase.
    """

    max_connections: _PositiveInt = 110
    max_body_bytes: _PositiveInt = 1_048_576
    max_header_bytes: _PositiveInt = 16_384
    # Memory for what callers have sent and is not answered yet. At least the
    # largest body has room.
    memory_max_bytes: _PositiveInt = 33_554_432
    idle_timeout_s: _PositiveFloat = 30.0
    max_depth: _PositiveInt = 20
    queue_length: _PositiveInt = 64
    service_queue_length: _PositiveInt = 32
    retry_budget_percent: Annotated[int, pydantic.Field(ge=0, le=100)] = 20
    retry_budget_floor_per_s: _PositiveFloat = 2.0
    drain_timeout_s: _PositiveFloat = 10.0
    ramp_s: _PositiveFloat = 5.0
    key_retention_s: _PositiveFloat = 600.0
    key_answer_max_bytes: _PositiveInt = 16_384
    key_memory_max_bytes: _PositiveInt = 33_554_432
    # A voter stops granting claims after this time without contact to a
    # majority of the failure domains.
    key_isolation_s: _PositiveFloat = 300.0
    # Only used when the first controller of a deployment assigns the voters.
    key_shards_per_domain: Annotated[int, pydantic.Field(gt=0, le=128)] = 16
    suspect_crash_limit: _PositiveInt = 2
    suspect_retention_s: _PositiveFloat = 600.0


@pydantic.dataclasses.dataclass(config=_STRICT)
class MembershipSettings:
    """Group membership and failure detection."""

    seeds: tuple[_AddressText, ...] = ()
    probe_period_ms: _PositiveInt = 500
    probe_timeout_ms: _PositiveInt = 250
    indirect_probes: _PositiveInt = 3
    suspicion_ms: _PositiveInt = 2_000
    max_updates_per_message: _PositiveInt = 32


@pydantic.dataclasses.dataclass(config=_STRICT)
class DistributionSettings:
    """Replication of the configuration between nodes.

    Attributes:
      cross_region_percent: Percentage of exchanges with another region.
    """

    fan_out: _PositiveInt = 4
    exchange_period_ms: _PositiveInt = 1_000
    cross_region_percent: Annotated[int, pydantic.Field(ge=0, le=100)] = 5
    boot_timeout_ms: _PositiveInt = 5_000
    max_concurrent_fetches: _PositiveInt = 4


@pydantic.dataclasses.dataclass(config=_STRICT)
class MoveSettings:
    """Shifting of traffic between versions.

    Attributes:
      tick_ms: Interval at which running moves are evaluated.
      window_s: Length of the sliding window of evidence.
      first_share_bps: First share of the new version.
      deadline_margin_percent: Margin before the deadline at which the target
        share is reached, as a percentage of the duration of the move.
      watch_s: Minimum time to monitor the new version at its target share.
    """

    tick_ms: _PositiveInt = 500
    window_s: _PositiveFloat = 10.0
    first_share_bps: Annotated[int, pydantic.Field(gt=0, le=10_000)] = 50
    deadline_margin_percent: Annotated[int, pydantic.Field(ge=0, lt=100)] = 15
    watch_s: _PositiveFloat = 30.0


@pydantic.dataclasses.dataclass(config=_STRICT)
class TlsSettings:
    """Mutual TLS for the peer and control listeners.

    Attributes:
      allow_plaintext: Allows these listeners on non-loopback addresses without
        TLS, for networks that are protected by other means.
      certificate: Path of a PEM file, as are `key` and `authority`.
    """

    enabled: bool = False
    allow_plaintext: bool = False
    certificate: str = ""
    key: str = ""
    authority: str = ""
    # Common names of the certificates that may apply notes and clear suspects.
    operators: tuple[str, ...] = ()


@pydantic.dataclasses.dataclass(config=_STRICT)
class TelemetrySettings:
    """Logging and tracing."""

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    trace_sample_percent: Annotated[float, pydantic.Field(ge=0, le=100)] = 1.0


@pydantic.dataclasses.dataclass(config=_STRICT)
class TestSettings:
    """Fault injection for tests. Must not be set in production."""

    injection_address: str = ""


@pydantic.dataclasses.dataclass(config=_STRICT)
class Settings:
    """All settings of a node.

    Attributes:
      topology: Maps each failure domain of the deployment to its region.
    """

    node: Identity
    listeners: Listeners
    store: StoreSettings
    topology: dict[str, str]
    advertised: AdvertisedAddresses = dataclasses.field(
        default_factory=AdvertisedAddresses
    )
    membership: MembershipSettings = dataclasses.field(
        default_factory=MembershipSettings
    )
    distribution: DistributionSettings = dataclasses.field(
        default_factory=DistributionSettings
    )
    requests: RequestSettings = dataclasses.field(
        default_factory=RequestSettings
    )
    moves: MoveSettings = dataclasses.field(default_factory=MoveSettings)
    tls: TlsSettings = dataclasses.field(default_factory=TlsSettings)
    telemetry: TelemetrySettings = dataclasses.field(
        default_factory=TelemetrySettings
    )
    test: TestSettings = dataclasses.field(default_factory=TestSettings)

    @property
    def peer_address(self) -> ids.Address:
        """Address at which other nodes connect to the peer listener."""
        return ids.Address(self.advertised.peer or self.listeners.peer)

    @property
    def control_address(self) -> ids.Address:
        """Address at which other nodes connect to the control listener."""
        return ids.Address(self.advertised.control or self.listeners.control)

    @pydantic.model_validator(mode="after")
    def _check_topology(self) -> "Settings":
        region = self.topology.get(self.node.failure_domain)
        if region != self.node.region:
            raise ValueError(
                f"node.failure_domain {self.node.failure_domain!r} must be"
                f" listed in topology with region {self.node.region!r}"
            )
        return self

    @pydantic.model_validator(mode="after")
    def _check_tls(self) -> "Settings":
        for name in ("certificate", "key", "authority"):
            if self.tls.enabled and not getattr(self.tls, name):
                raise ValueError(
                    f"tls.{name} must name a file while tls.enabled is true"
                )
        if self.tls.enabled or self.tls.allow_plaintext:
            return self
        for name in ("peer", "control"):
            address = getattr(self.listeners, name)
            if not is_loopback(address):
                raise ValueError(
                    f"listeners.{name} {address!r} is not a loopback address:"
                    " set tls.enabled, or tls.allow_plaintext on a protected"
                    " network"
                )
        return self


_SETTINGS_ADAPTER: Final = pydantic.TypeAdapter(Settings)


def load_settings(path: str) -> Settings:
    """Reads and validates a settings file.

    Args:
      path: Path of a TOML file.

    Raises:
      SettingsError: The file can't be read or is invalid; the message has one
        line for each invalid key.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    # An integer of thousands of digits raises a plain ValueError, not a
    # TOMLDecodeError.
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return parse_document(document, path)


def parse_document(document: dict[str, Any], source: str) -> Settings:
    """Validates a settings document.

    Args:
      document: Parsed TOML.
      source: Name of the file, for error messages.

    Raises:
      SettingsError: The document is invalid; one line for each invalid key.
    """
    try:
        settings = _SETTINGS_ADAPTER.validate_python(document)
    except pydantic.ValidationError as error:
        raise SettingsError("\n".join(format_errors(source, error))) from error
    _check_listener_addresses(settings.listeners, source)
    return settings


def _check_listener_addresses(listeners: Listeners, source: str) -> None:
    addresses = dataclasses.astuple(listeners)
    for address in addresses:
        if addresses.count(address) > 1:
            raise SettingsError(
                f"{source}: listeners: {address!r} is used twice"
            )


_BARE_KEY: Final = re.compile(r"[A-Za-z0-9_-]+")
# Replace pydantic's messages for the most frequent mistakes.
_MESSAGES_BY_ERROR_TYPE: Final = {
    "missing": "missing, must be set",
    "unexpected_keyword_argument": "unknown key",
    "dataclass_type": "must be a table",
}


def format_errors(path: str, error: pydantic.ValidationError) -> list[str]:
    """Returns a line per error with file, key, expectation and value."""
    return [
        f"{path}: {'.'.join(map(_format_key, item['loc'])) or '(file)'}:"
        f" {_MESSAGES_BY_ERROR_TYPE.get(item['type'], item['msg'])}"
        + _format_input(item["type"], item["input"])
        for item in error.errors(include_url=False)
    ]


def _format_key(key: int | str) -> str:
    # A quoted TOML key may contain any character, line breaks included, and
    # may be as long as the file.
    text = f"{key!s:.80}"
    return text if _BARE_KEY.fullmatch(text) else ascii(text)


def _format_input(kind: str, value: Any) -> str:
    if kind == "missing" or isinstance(value, dict | list):
        return ""
    return f" (found {value!r:.80})"
