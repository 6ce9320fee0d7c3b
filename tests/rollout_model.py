"""A rollout under load in virtual time: servers, reports, and one planner."""

import dataclasses
import heapq
import itertools
import random

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import gossip
from lycheestair.sidecar import latencies
from lycheestair.sidecar import members
from lycheestair.sidecar import revisions
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import versions

SERVICE = ids.ServiceName("desk")
CREATED = revisions.Revision(1, 5)
STEP_S = 0.01
SERVER_START_S = 1.3
# Time in which a report or a request reaches another node.
LINK_S = 0.02
# Median latency of each route, and its share of the requests.
ROUTES = {"view": (0.2, 0.7), "order": (0.25, 0.3)}
# Servers of one version differ in speed.
SPEEDS = (0.8, 0.8, 0.9, 0.9, 1.6, 1.8)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of the new version.

    Attributes:
      begins_s: Time since the order at which it begins.
      failed: Fraction of the requests that fail.
      slow: Fraction of the requests that take `factor` times as long.
      routes: Routes that have the fault.
    """

    begins_s: float
    failed: float = 0.0
    slow: float = 0.0
    factor: float = 1.0
    routes: tuple[str, ...] = tuple(ROUTES)


@dataclasses.dataclass
class Result:
    """What callers and the operator see of a rollout.

    Attributes:
      new_requests: Requests that the new version got until the rollout was due.
      requests: Requests of the service until then.
      found_at: Time since the order at which the new version was found bad.
      completed_at: Time at which it was completed.
      unfinished: Requests of old servers in progress at completion.
    """

    new_requests: int = 0
    requests: int = 0
    found_at: float | None = None
    completed_at: float | None = None
    unfinished: int = 0

    def exceeds(self, bounds):
        """Whether the new version got more than a bad one may get."""
        return (
            self.new_requests
            > bounds.exposure_share * self.requests + bounds.exposure_slack
        )


class Server:
    """A backend server and the counts that its node reports."""

    def __init__(self, member, speed, generator):
        self.member = member
        self.speed = speed
        self.counts = {}
        self.reported_at = generator.uniform(0.0, gossip.STATUS_INTERVAL_S)

    def count(self, route, latency_s, failed, is_warm=True):
        known = self.counts.get(route, members.RouteCount(route, 0, 0, 0))
        bucket = latencies.find_bucket(latency_s * 1000)
        self.counts[route] = members.RouteCount(
            route,
            known.answers + 1,
            known.failures + failed,
            known.total_latency_ms + int(latency_s * 1000),
            latencies.encode(
                latencies.Histogram(dict(known.latencies))
                + latencies.Histogram(
                    [bucket] if is_warm and not failed else []
                )
            ),
        )


def play(
    monkeypatch,
    fault=None,
    rate_per_s=lambda _: 210.0,
    duration_s=10.0,
    bounds=None,
    seed=1,
    base_failed=0.01,
    new_speeds=SPEEDS,
    warmup_s=0.0,
):
    """Plays a rollout that is ordered at time 0, until it is due.

    Latencies of new servers don't count for `warmup_s` after their start.
    """
    generator = random.Random(seed)
    start = clock.read_s()
    now = 0.0
    monkeypatch.setattr(clock, "read_s", lambda: start + now)
    table = members.MemberTable(
        members.NodeRecord("entry", "127.0.0.1:1", "a1", "north", 1)
    )
    planner = versions.VersionPlanner(bounds or settings_lib.Bounds(), table)
    rollout = rollout_lib.Rollout(
        SERVICE,
        "v2",
        duration_s,
        rollout_lib.RolloutState.ORDERED,
        CREATED,
        CREATED,
    )
    servers = {"v1": [], "v2": []}

    def add_servers(version, speeds):
        for number, speed in enumerate(speeds):
            member = table.add(
                members.NodeRecord(
                    f"{version}-{number}", f"{version}:{number}", "a1", "n", 1
                )
            )
            member.endpoint = members.Endpoint(
                f"i-{version}-{number}",
                SERVICE,
                version,
                12,
                members.backend.BackendState.SERVING,
            )
            member.rollout_created_revision = CREATED
            servers[version].append(Server(member, speed, generator))
        table.invalidate_service_index()

    add_servers("v1", SPEEDS)
    planner.compute_shares(SERVICE, ["v1"])
    planner.update_rollout(rollout_lib.RolloutReport(rollout, 0.0))
    result = Result()
    finished = []
    order = itertools.count()
    in_progress = {"v1": 0, "v2": 0}
    checked_at = 0.0
    while now < duration_s:
        now += STEP_S
        if now >= SERVER_START_S and not servers["v2"]:
            add_servers("v2", new_speeds)
        # A few arrivals a step; close enough to a Poisson process.
        arrivals = sum(
            generator.random() < rate_per_s(now) * STEP_S / 10
            for _ in range(10)
        )
        for _ in range(arrivals):
            shares = planner.compute_shares(
                SERVICE, [v for v in servers if servers[v]]
            )
            version = generator.choices(list(shares), list(shares.values()))[0]
            route = generator.choices(
                list(ROUTES), [share for _, share in ROUTES.values()]
            )[0]
            server = generator.choice(servers[version])
            latency_s = (
                ROUTES[route][0]
                * server.speed
                * generator.lognormvariate(0.0, 0.5)
            )
            failed = generator.random() < base_failed
            if (
                version == "v2"
                and fault is not None
                and now >= fault.begins_s
                and route in fault.routes
            ):
                failed |= generator.random() < fault.failed
                if generator.random() < fault.slow:
                    latency_s *= fault.factor
            result.requests += 1
            result.new_requests += version == "v2"
            in_progress[version] += 1
            heapq.heappush(
                finished,
                (
                    now + LINK_S + latency_s,
                    next(order),
                    server,
                    version,
                    (route, latency_s, failed),
                ),
            )
        while finished and finished[0][0] <= now:
            _, _, server, version, outcome = heapq.heappop(finished)
            in_progress[version] -= 1
            is_warm = version == "v1" or now > SERVER_START_S + warmup_s
            server.count(*outcome, is_warm)
        is_critical = planner.is_critical
        interval_s = (
            gossip.CRITICAL_STATUS_INTERVAL_S
            if is_critical
            else gossip.STATUS_INTERVAL_S
        )
        for server in itertools.chain.from_iterable(servers.values()):
            if now - server.reported_at >= interval_s:
                server.reported_at = now
                server.member.counts = tuple(server.counts.values())
        check_interval_s = (
            gossip.TICK_INTERVAL_S
            if is_critical
            else gossip.SLOW_TICK_INTERVAL_S
        )
        if now - checked_at >= check_interval_s + LINK_S:
            checked_at = now
            if planner.detect_bad_versions():
                result.found_at = now
        _complete_if_due(planner, rollout, now, result, in_progress["v1"])
    return result


def _complete_if_due(planner, rollout, now, result, unfinished):
    if result.completed_at is not None or result.found_at is not None:
        return
    if now > versions.exposure.compute_completion_s(rollout.duration_s):
        result.completed_at = now
        result.unfinished = unfinished
        planner.update_rollout(
            rollout_lib.RolloutReport(
                dataclasses.replace(
                    rollout,
                    state=rollout_lib.RolloutState.COMPLETED,
                    revision=CREATED._replace(number=6),
                ),
                now,
            )
        )
