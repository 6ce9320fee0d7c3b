"""Codec of the documents in the platform's object store."""

from collections.abc import Iterator
import functools
import math
import re
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import catalog
from lycheestair.sidecar import rollout
from lycheestair.sidecar import store
from lycheestair.sidecar.accounts import records
from lycheestair.sidecar.places import cold_values
from lycheestair.sidecar.places import regions

KINDS: Final = store.ObjectKinds(
    configuration="config",
    rollouts="rollouts",
    nodes="lycheestair-nodes",
    departures="lycheestair-departures",
    suspects="lycheestair-suspects",
    evacuations="evacuations",
)

# The platform calls the rules for idempotent requests safe.
_IDEMPOTENT_RULE_KIND: Final = "safe"
_STATES: Final = {
    "running": rollout.RolloutState.RUNNING,
    "completed": rollout.RolloutState.COMPLETED,
    "rolled_back": rollout.RolloutState.ROLLED_BACK,
}
_STATE_NAMES: Final = {state: name for name, state in _STATES.items()}
_DEFAULT_MAX_CONNECTIONS: Final = 100
_PATH: Final = re.compile(r"/[!-~]{0,1023}")
# Raised by decoding a malformed document, also one that is nested too deeply or
# has a number that is too large.
_DECODE_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class DocumentCodec:
    """Implements store.DocumentCodec."""

    def decode_catalog(self, item: store.StoredItem) -> catalog.Catalog:
        """Implements store.DocumentCodec."""
        document = item.value
        try:
            # The platform writes the generation as a version: r1, r2, ...
            version = document["version"]
            if not isinstance(version, str) or version[:1] != "r":
                raise ValueError("malformed version")
            limits = document["limits"]
            routes = {
                route.name: route
                for listener in document["listeners"]
                for route in _decode_listener(listener)
            }
            services = {
                cluster["name"]: catalog.ServiceLimits(
                    ids.ServiceName(cluster["name"]),
                    int(
                        cluster.get(
                            "connection_limit", _DEFAULT_MAX_CONNECTIONS
                        )
                    ),
                    cold_values.decode(cluster.get("cold_start_s")),
                    cold_values.decode(cluster.get("cold_per_s")),
                    _decode_health_path(cluster.get("health_check_path")),
                )
                for cluster in document["clusters"]
            }
            items = document.get("tenants") or []
            accounts = _decode_accounts(items)
            return catalog.Catalog(
                ids.Generation(int(version[1:])),
                routes,
                services,
                catalog.ClientLimits(
                    int(limits["max_header_bytes"]),
                    int(limits["max_body_bytes"]),
                    float(limits["header_timeout_s"]),
                    float(limits["idle_timeout_s"]),
                ),
                accounts.accounts,
                requires_keys=bool(items),
                rejections=accounts.rejections,
            )
        except _DECODE_ERRORS as error:
            raise store.DocumentError(
                f"malformed configuration {item.name}: {error!r}"
            ) from error

    def decode_rollout(self, item: store.StoredItem) -> rollout.Rollout:
        """Implements store.DocumentCodec."""
        try:
            specification = item.value
            target = str(specification["target_version"])
            status = item.status if isinstance(item.status, dict) else {}
            # A status with another target belongs to an earlier rollout.
            state = (
                _STATES.get(status.get("state", ""))
                if status.get("target_version") == target
                else None
            )
            return rollout.Rollout(
                ids.ServiceName(str(specification["service"])),
                ids.VersionName(target),
                float(specification["duration_s"]),
                state or rollout.RolloutState.ORDERED,
                item.revision,
                item.created_revision,
            )
        except _DECODE_ERRORS as error:
            raise store.DocumentError(
                f"malformed rollout {item.name}: {error!r}"
            ) from error

    def encode_rollout_status(
        self, target: ids.VersionName, state: rollout.RolloutState
    ) -> Any:
        """Implements store.DocumentCodec."""
        return {"state": _STATE_NAMES[state], "target_version": target}


def _decode_listener(listener: dict[str, Any]) -> Iterator[catalog.Route]:
    host = str(listener["host"])
    for rule in listener["routing_rules"]:
        action = rule["action"]
        split = action.get("traffic_split") or [
            {"service": action["service"], "weight": 1}
        ]
        yield catalog.Route(
            name=ids.RouteName(str(rule["name"])),
            host=host,
            path_prefix=str(rule["match"]["path_prefix"]),
            split=_decode_split(split),
            idempotent=rule["kind"] == _IDEMPOTENT_RULE_KIND,
            timeout_s=float(action["timeout_s"]),
            # The platform calls this the target latency.
            objective_s=float(
                rule.get("target_latency_s") or action["timeout_s"]
            ),
            max_attempts=int(action.get("max_attempts", 1)),
            priority=int(rule.get("priority", 0)),
            is_public=bool(rule.get("public_access", False)),
            allowed_regions=regions.decode(action.get("allowed_regions")),
        )


def _decode_accounts(items: list[Any]) -> records.AccountList:
    """Decodes the accounts, which the platform calls tenants."""
    accounts = records.AccountList()
    for item in items:
        name = item.get("name") if isinstance(item, dict) else None
        accounts.add(name, functools.partial(_decode_account, item))
    return accounts


def _decode_account(item: dict[str, Any]) -> records.Account:
    return records.create_account(
        item["name"],
        item["api_keys"],
        item.get("priority"),
        item.get("rate_per_s"),
        item.get("burst_size"),
        regions.decode(item.get("allowed_regions")),
    )


def _decode_health_path(value: Any) -> str:
    """Returns a path that can be requested, or an empty one."""
    if isinstance(value, str) and _PATH.fullmatch(value):
        return value
    return ""


def _decode_split(parts: list[Any]) -> tuple[catalog.ServiceWeight, ...]:
    split = tuple(
        catalog.ServiceWeight(
            ids.ServiceName(str(part["service"])), float(part["weight"])
        )
        for part in parts
    )
    weights = [part.weight for part in split]
    if not all(0.0 <= weight < math.inf for weight in weights):
        raise ValueError(f"weights {weights} are not all finite and at least 0")
    if not any(weights):
        raise ValueError("all weights of a traffic split are 0")
    return split
