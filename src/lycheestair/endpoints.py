"""Load balancing across endpoints by locality, load and failures."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import enum
import itertools
import random
import threading
import time
from typing import Final

import xxhash

from lycheestair import errors
from lycheestair import ids
from lycheestair import members
from lycheestair import settings as settings_lib

# Consecutive failures after which an endpoint is ejected.
EJECTION_FAILURE_THRESHOLD: Final = 3
BASE_EJECTION_S: Final = 0.5
MAX_EJECTION_S: Final = 10.0
# Ejection after an overload response, until a slot has probably become free.
OVERLOAD_EJECTION_S: Final = 0.02
# Load, in requests per slot, from which requests spill over to other regions.
# With 1.0, nodes at full capacity sent half of their requests there.
SPILLOVER_LOAD: Final = 2.0
# Initial fraction of the slots that an endpoint in slow start gets.
SLOW_START_WEIGHT: Final = 0.1

_FAILURE_KINDS: Final = frozenset(
    {
        errors.ErrorKind.CONNECT_FAILED,
        errors.ErrorKind.CONNECTION_LOST,
        errors.ErrorKind.ANSWER_INCOMPLETE,
        errors.ErrorKind.TIMEOUT,
    }
)
_NOT_SERVING_KINDS: Final = frozenset(
    {
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.NOT_READY,
    }
)


@dataclasses.dataclass
class Target:
    """An endpoint and its state as observed by the local node.

    Attributes:
      tier: 0 in the local failure domain, 1 in the local region, 2 elsewhere.
      first_seen: Monotonic time in seconds.
      in_flight: Requests that the local node has in progress there.
      consecutive_failures: Failures since the last response below 500.
      ejected_until: Monotonic time in seconds.
    """

    node_id: ids.NodeId
    peer: ids.Address
    endpoint: members.Endpoint
    tier: int
    is_local: bool
    first_seen: float
    in_flight: int = 0
    consecutive_failures: int = 0
    ejected_until: float = 0.0

    def compute_usable_slots(self, ramp_s: float) -> float:
        """Returns the usable slots, which ramp up over the first `ramp_s`."""
        age_s = max(
            time.time() - self.endpoint.started_at,
            time.monotonic() - self.first_seen,
        )
        if age_s >= ramp_s:
            return float(self.endpoint.slots)
        weight = (
            SLOW_START_WEIGHT
            + (1 - SLOW_START_WEIGHT) * max(0.0, age_s) / ramp_s
        )
        return max(1.0, self.endpoint.slots * weight)


class Availability(enum.Enum):
    """Whether an endpoint can run another request at once."""

    FREE = "free slots"
    SHORT_QUEUE = "short queue"
    LONG_QUEUE = "long queue"
    EJECTED = "ejected after failures"


@dataclasses.dataclass(frozen=True)
class Assessment:
    """An endpoint as a candidate for the next request.

    Attributes:
      load: Requests per usable slot, as far as the local node knows.
      is_candidate: Whether the next request goes to this endpoint, or to one of
        several of which the less loaded of a random pair is used.
    """

    target: Target
    availability: Availability
    load: float
    is_candidate: bool


def _select_nearest(targets: list[Target]) -> list[Target]:
    nearest = min(target.tier for target in targets)
    return [target for target in targets if target.tier == nearest]


_ServiceVersion = tuple[ids.ServiceName, ids.VersionName]


class EndpointTable:
    """Endpoints by service and version, rebuilt when the members change."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: members.Membership,
        read_local_load: Callable[[], int],
        seed: int | None = None,
    ):
        self._settings = settings
        self._membership = membership
        self._read_local_load = read_local_load
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._members: Mapping[ids.NodeId, members.Member] | None = None
        self._targets: dict[ids.NodeId, Target] = {}
        self._tiers: dict[_ServiceVersion, tuple[list[Target], ...]] = {}

    def rebuild(self) -> None:
        """Applies the current members; unchanged endpoints keep their state."""
        current = self._membership.read_members()
        if current is self._members:
            return
        with self._lock:
            targets: dict[ids.NodeId, Target] = {}
            tiers: dict[_ServiceVersion, tuple[list[Target], ...]] = {}
            for member in current.values():
                target = self._update_target(member)
                if target is None:
                    continue
                targets[member.node_id] = target
                key = (target.endpoint.service, target.endpoint.version)
                tiers.setdefault(key, ([], [], []))[target.tier].append(target)
            self._targets = targets
            self._tiers = tiers
            self._members = current

    def _update_target(self, member: members.Member) -> Target | None:
        endpoint = member.endpoint
        if (
            endpoint is None
            or endpoint.state is not members.EndpointState.SERVING
            or member.state
            not in (members.MemberState.ALIVE, members.MemberState.SUSPECTED)
        ):
            return None
        existing = self._targets.get(member.node_id)
        if (
            existing is not None
            and existing.endpoint == endpoint
            and existing.peer == member.peer
        ):
            return existing
        local_node = self._settings.node
        if member.failure_domain == local_node.failure_domain:
            tier = 0
        else:
            tier = 1 if member.region == local_node.region else 2
        return Target(
            node_id=member.node_id,
            peer=member.peer,
            endpoint=endpoint,
            tier=tier,
            is_local=member.node_id == local_node.node_id,
            first_seen=time.monotonic(),
        )

    def choose(
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        excluded: Collection[ids.NodeId] = (),
    ) -> Target | None:
        """Returns the endpoint for the next attempt.

        The request counts as in flight there until `report` is called.

        Returns None if there is no endpoint or all are excluded.
        """
        candidates = self._select_candidates(
            service, version, excluded, time.monotonic()
        )
        if not candidates:
            return None
        return self._add_request(self._choose_less_loaded(candidates))

    def _select_candidates(
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        excluded: Collection[ids.NodeId],
        now: float,
    ) -> list[Target]:
        """Returns the endpoints among which the next one is chosen.

        The first of these that exists is used:

        - an endpoint with free slots in the local region, nearest tier first
        - an endpoint with a short queue in the local region, likewise
        - an endpoint with free slots in another region
        - an endpoint with a long queue, nearest tier first
        - an ejected endpoint
        """
        tiers = self._tiers.get((service, version), ())
        queued: dict[Availability, list[Target]] = {
            availability: [] for availability in Availability
        }
        short_queue_targets = queued[Availability.SHORT_QUEUE]
        for tier in tiers:
            is_remote = tier is tiers[-1]
            if short_queue_targets and is_remote:
                break
            free = []
            for target in tier:
                if target.node_id in excluded:
                    continue
                availability = self._assess(target, is_remote, now)
                if availability is not Availability.FREE:
                    queued[availability].append(target)
                elif target.is_local:
                    return [target]
                else:
                    free.append(target)
            if free:
                return free
        queue = short_queue_targets or queued[Availability.LONG_QUEUE]
        return _select_nearest(queue) if queue else queued[Availability.EJECTED]

    def _assess(
        self, target: Target, is_remote: bool, now: float
    ) -> Availability:
        """Returns whether an endpoint can run another request at once.

        Queues are short below the spillover load, but those of other regions
        always count as long, so that requests are queued in the local region
        first.
        """
        if target.ejected_until > now:
            return Availability.EJECTED
        load = self._compute_load(target)
        if load < 1.0:
            return Availability.FREE
        if load < SPILLOVER_LOAD and not is_remote:
            return Availability.SHORT_QUEUE
        return Availability.LONG_QUEUE

    def assess(
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        fingerprint: str | None = None,
    ) -> list[Assessment]:
        """Returns all endpoints with their use for the next request.

        Args:
          service: Service of the request.
          version: Version to which it is sent.
          fingerprint: Fingerprint of a suspected request, None for others.
        """
        now = time.monotonic()
        if fingerprint is None:
            candidates = self._select_candidates(service, version, (), now)
        else:
            tester = self._find_tester(service, version, fingerprint, ())
            candidates = [] if tester is None else [tester]
        candidate_ids = {target.node_id for target in candidates}
        tiers = self._tiers.get((service, version), ())
        return [
            Assessment(
                target,
                self._assess(target, tier is tiers[-1], now),
                self._compute_load(target),
                target.node_id in candidate_ids,
            )
            for tier in tiers
            for target in tier
        ]

    def choose_tester(
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        fingerprint: str,
        excluded: Collection[ids.NodeId] = (),
    ) -> Target | None:
        """Returns the endpoint that all nodes choose for a suspected request.

        The request counts as in flight there until `report` is called. Returns
        None if there is no endpoint or all are excluded.
        """
        target = self._find_tester(service, version, fingerprint, excluded)
        return None if target is None else self._add_request(target)

    def _find_tester(
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        fingerprint: str,
        excluded: Collection[ids.NodeId],
    ) -> Target | None:
        candidates = [
            target
            for target in itertools.chain.from_iterable(
                self._tiers.get((service, version), ())
            )
            if target.node_id not in excluded
        ]
        return min(
            candidates,
            key=lambda target: xxhash.xxh3_64_intdigest(
                f"{fingerprint}\n{target.node_id}".encode()
            ),
            default=None,
        )

    def _compute_load(self, target: Target) -> float:
        """Returns the requests per slot that the local node knows of."""
        count = target.in_flight
        if target.is_local:
            count = max(count, self._read_local_load())
        return count / target.compute_usable_slots(
            self._settings.requests.ramp_s
        )

    def _choose_less_loaded(self, targets: list[Target]) -> Target:
        if len(targets) < 2:
            return targets[0]
        first, second = self._random.sample(targets, 2)
        return min(first, second, key=self._compute_load_with_request)

    def _compute_load_with_request(self, target: Target) -> float:
        """Returns the requests per slot with one more request.

        Among idle endpoints this prefers the one with more slots; their
        current load is equal.
        """
        slots = target.compute_usable_slots(self._settings.requests.ramp_s)
        return self._compute_load(target) + 1 / slots

    def _add_request(self, target: Target) -> Target:
        with self._lock:
            target.in_flight += 1
        return target

    def report(
        self,
        target: Target,
        kind: errors.ErrorKind | None,
        failed: bool,
        retry_after_s: float = 0.0,
    ) -> None:
        """Records the outcome of an attempt and ejects the endpoint if needed.

        Args:
          target: Endpoint that `choose` returned.
          kind: Error kind of a failed attempt, None for a response.
          failed: Whether a response had a 5xx status.
          retry_after_s: Time in seconds after which an overloaded endpoint
            accepts requests again; 0 if unknown.
        """
        now = time.monotonic()
        with self._lock:
            target.in_flight -= 1
            if kind in _FAILURE_KINDS or failed:
                target.consecutive_failures += 1
                if (
                    kind is errors.ErrorKind.CONNECT_FAILED
                    or target.consecutive_failures >= EJECTION_FAILURE_THRESHOLD
                ):
                    target.ejected_until = now + min(
                        MAX_EJECTION_S,
                        BASE_EJECTION_S
                        * 2 ** min(10, target.consecutive_failures - 1),
                    )
            elif kind in _NOT_SERVING_KINDS:
                target.ejected_until = now + BASE_EJECTION_S
            elif kind is errors.ErrorKind.OVERLOADED:
                target.ejected_until = now + max(
                    OVERLOAD_EJECTION_S, retry_after_s
                )
            elif kind is None:
                target.consecutive_failures = 0
