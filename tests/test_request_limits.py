"""Guards traffic shares, retry budget, routing, admission and balancing."""

from concurrent import futures
import contextlib
import dataclasses
import socket
import threading
import time

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest
import request_support as support
import urllib3

from lycheestair import admission
from lycheestair import calls
from lycheestair import endpoints
from lycheestair import errors
from lycheestair import members
from lycheestair import messages
from lycheestair import resources
from lycheestair import retries
from lycheestair import routing
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib

DETERMINISTIC = hypothesis_settings(derandomize=True, deadline=None)
SHARES = strategies.dictionaries(
    strategies.sampled_from(["v1", "v2", "v3"]),
    strategies.integers(1, 10_000),
    min_size=1,
)


@DETERMINISTIC
@given(SHARES, SHARES)
def test_caps_limit_shares_and_preserve_their_sum(shares, caps):
    """Guards against a version exceeding its cap and against lost traffic."""
    result = routing.apply_caps(shares, caps)
    assert set(result) == set(shares)
    assert all(bps >= 0 for bps in result.values())
    if set(shares) - set(caps):
        assert sum(result.values()) == sum(shares.values())
        assert all(result[n] <= caps[n] for n in set(caps) & set(shares))


@DETERMINISTIC
@given(
    strategies.integers(0, 10_000),
    strategies.integers(0, 10_000),
    strategies.sampled_from(resources.MoveState),
    strategies.booleans(),
)
def test_move_shifts_traffic_and_loses_none(base, reached, state, barred):
    """The new version gets the share of the move, or none if it is barred."""
    version_state = resources.VersionState
    service = resources.Service(
        "s",
        (
            resources.Version("v1"),
            resources.Version(
                "v2", version_state.BARRED if barred else version_state.ACTIVE
            ),
        ),
        (resources.Share("v1", 10_000 - base), resources.Share("v2", base)),
    )
    move = resources.Move(
        "m", "n", "s", "v1", "v2", 10_000, 0.0, 0.0, state=state
    )
    move = dataclasses.replace(move, share_bps=reached)
    route = resources.Route("r", "s", "/")
    snapshot = snapshot_lib.replace_resources(
        snapshot_lib.EMPTY, (service, move, route)
    )
    shares = routing.compute_shares(snapshot, route)
    running = state in resources.RUNNING_MOVE_STATES
    expected = max(base, reached) if running else base
    assert shares.get("v2", 0) == (0 if barred else expected)
    assert shares.get("v1", 0) == 10_000 - expected


@DETERMINISTIC
@given(strategies.lists(strategies.booleans(), max_size=300))
def test_retries_stay_within_the_budget(events):
    """Guards against retries multiplying the traffic during an outage."""
    budget = retries.RetryBudget(
        settings_lib.RequestSettings(
            retry_budget_percent=20, retry_budget_floor_per_s=0.001
        )
    )
    requests = retried = 0
    for is_request in events:
        if is_request:
            requests += 1
            budget.add_request()
        else:
            retried += budget.try_spend()
    assert retried <= 0.2 * requests + 1


ROUTES = [
    ("any", "*", "/", (), ()),
    ("deep", "*", "/a/b", (), ()),
    ("posts", "*", "/a/b", ("POST",), ()),
    ("header", "*", "/a/b", (), (resources.HeaderMatch("X-Kind", "1"),)),
    ("host", "shop", "/", (), ()),
]


@pytest.mark.parametrize(
    ("method", "host", "path", "headers", "expected"),
    [
        ("GET", "other", "/", [], "any"),
        ("GET", "other", "/a/bc", [], "any"),
        ("GET", "other", "/a/b", [], "deep"),
        ("GET", "other", "/a/b/c", [], "deep"),
        ("GET", "other", "/%61/b", [], "deep"),
        ("GET", "other", "/a%2Fb", [], "any"),
        ("POST", "other", "/a/b/", [], "posts"),
        ("POST", "other", "/a/b", [(b"x-kind", b"1")], "header"),
        ("GET", "SHOP:80", "/a/b", [], "host"),
    ],
)
def test_most_specific_route_matches(method, host, path, headers, expected):
    snapshot = snapshot_lib.replace_resources(
        snapshot_lib.EMPTY,
        tuple(
            resources.Route(
                name, "s", prefix, host=h, methods=methods, headers=match
            )
            for name, h, prefix, methods, match in ROUTES
        ),
    )
    request = messages.Request(method, b"", path, host, headers, b"")
    found = routing.RoutingTable(snapshot).match(request)
    assert found.route.name == expected


class QueuedAdmission:
    """Admission whose only slot is held, with calls queued by threads."""

    def __init__(self, **limits):
        self.admission = admission.Admission(
            settings_lib.RequestSettings(**limits)
        )
        self.admission.open(1)
        self.first = support.make_call()
        assert self.admission.acquire(self.first) is None
        self.order, self.failures, self.threads = [], {}, []

    def add(self, name, **fields):
        call = support.make_call(**fields)

        def run():
            failure = self.admission.acquire(call)
            self.failures[name] = failure and failure.kind.value
            if failure is None:
                self.order.append(name)
                self.admission.release(call, 0.0)

        load, failed = self.admission.load, len(self.failures)
        self.threads.append(threading.Thread(target=run, daemon=True))
        self.threads[-1].start()
        support.wait_until(
            lambda: self.admission.load > load or len(self.failures) > failed
        )

    def finish(self):
        self.admission.release(self.first, 0.0)
        for thread in self.threads:
            thread.join(support.WAIT_S)


def test_queue_runs_urgent_calls_first_then_by_deadline():
    queue = QueuedAdmission()
    queue.add("late", remaining_s=9.0)
    queue.add("soon", remaining_s=6.0)
    queue.add("urgent", remaining_s=9.0, can_wait=False)
    queue.finish()
    assert queue.order == ["urgent", "soon", "late"]


def test_full_queue_refuses_calls_and_urgent_calls_evict():
    queue = QueuedAdmission(queue_length=1)
    queue.add("evicted")
    queue.add("refused")
    assert queue.failures == {"refused": "overloaded"}
    queue.add("urgent", can_wait=False)
    queue.finish()
    assert queue.failures["evicted"] == "overloaded"
    assert queue.order == ["urgent"]


def test_calls_from_services_do_not_fill_the_queue_of_clients():
    """Guards against calls between services filling the queue of clients.

    Lookups between services once stalled the engraving queue this way.
    """
    queue = QueuedAdmission(queue_length=2, service_queue_length=1)
    queue.add("lookup", from_service=True)
    queue.add("refused", from_service=True)
    queue.add("caller")
    queue.finish()
    assert queue.failures["refused"] == "overloaded"
    assert sorted(queue.order) == ["caller", "lookup"]


def test_call_that_cannot_meet_its_deadline_is_refused_at_once():
    queue = QueuedAdmission()
    queue.admission.release(queue.first, 1.0)
    assert queue.admission.acquire(queue.first) is None
    queue.add("refused", remaining_s=0.5)
    assert queue.failures == {"refused": "deadline_too_short"}


def test_suspect_runs_alone():
    queue = QueuedAdmission()
    queue.admission.open(3)
    queue.add("alone", alone=True, remaining_s=2.0)
    queue.add("behind", remaining_s=3.0)
    assert queue.order == []
    queue.finish()
    assert queue.order == ["alone", "behind"]


def make_member(name, domain, state=members.EndpointState.SERVING, slots=2):
    endpoint = members.Endpoint("s", "v1", slots, state, 0.0)
    return members.Member(
        name, support.TOPOLOGY[domain], domain, "c", "p", 1, endpoint=endpoint
    )


def make_table(*member_list):
    shared_members = support.SharedMembers()
    shared_members.members = {member.node_id: member for member in member_list}
    node = support.Node(support.SharedMembers(), "own", "a1", {})
    table = endpoints.EndpointTable(
        node.settings,
        support.SharedMembership(shared_members, "own"),
        lambda: 0,
        seed=1,
    )
    table.rebuild()
    return table


def choose_endpoints(table, count):
    return [table.choose("s", "v1") for _ in range(count)]


def test_nearest_endpoints_are_used_until_they_are_full():
    """Cross-region traffic is billed, so it must be the last choice."""
    table = make_table(
        make_member("far", "b1"),
        make_member("region", "a2"),
        make_member("near", "a1"),
        make_member("leaving", "a1", members.EndpointState.DRAINING),
    )
    names = [target.node_id for target in choose_endpoints(table, 10)]
    # Two slots each, then a queue of two each, then the other region.
    assert names[:4] == ["near"] * 2 + ["region"] * 2
    assert sorted(names[4:8]) == ["near"] * 2 + ["region"] * 2
    assert names[8:] == ["far"] * 2
    # With all endpoints full, the request waits in its own failure domain.
    assert choose_endpoints(table, 1)[0].node_id == "near"


def test_failing_endpoint_is_avoided_and_used_when_nothing_else_is_left():
    table = make_table(make_member("bad", "a1"), make_member("good", "a2"))
    for _ in range(endpoints.EJECTION_FAILURE_THRESHOLD):
        (target,) = choose_endpoints(table, 1)
        assert target.node_id == "bad"
        table.report(target, errors.ErrorKind.CONNECTION_LOST, False)
    (target,) = choose_endpoints(table, 1)
    assert target.node_id == "good"
    assert table.choose("s", "v1", {"good"}).node_id == "bad"


def test_cold_endpoint_gets_few_requests():
    endpoint = members.Endpoint(
        "s", "v1", 10, members.EndpointState.SERVING, calls.time.time()
    )
    member = dataclasses.replace(make_member("x", "a1"), endpoint=endpoint)
    (target,) = choose_endpoints(make_table(member), 1)
    assert target.compute_usable_slots(1_000.0) < 2
    assert target.compute_usable_slots(1e-9) == 10


def test_request_is_not_sent_after_its_grant_ended():
    """Guards against a paused node running a key that was granted again."""
    with support.Cluster(["a1", "a2"]) as cluster:
        cluster.claims.valid_s = -1.0
        server = cluster.nodes[1].serve(support.make_response)
        response = support.call(
            cluster.nodes[0].caller,
            "POST",
            "/write",
            "x",
            {"Idempotency-Key": "k"},
        )
        assert support.read_error(response)[1] == "not-run"
        assert server.received_requests == []
        assert not cluster.claims.records


def test_request_whose_entry_node_gave_up_is_not_run():
    """Guards against a paused node running requests abandoned meanwhile."""
    with support.Cluster() as cluster:
        node = cluster.nodes[0]
        released = threading.Event()
        server = node.serve(
            lambda request: released.wait(support.WAIT_S)
            and support.make_response(request),
            slots=1,
        )
        call = support.make_call()
        headers = calls.encode_peer_headers(call)
        data = b"POST /write HTTP/1.1\r\nHost: a\r\n%s\r\n" % headers
        admission_queue = node.data_plane._serving_node.admission
        with contextlib.ExitStack() as entry_nodes:
            for load in (1, 2):
                connection = entry_nodes.enter_context(
                    socket.create_connection((node.host, 7002), support.WAIT_S)
                )
                connection.sendall(data)
                support.wait_until(
                    lambda load=load: admission_queue.load == load
                )
        released.set()
        support.wait_until(lambda: admission_queue.load == 0)
        assert len(server.received_requests) == 1


def test_expired_grant_is_not_valid():
    call = support.make_call(grant=support.make_grant("k", "f", -1.0))
    assert not call.can_start


def test_request_that_would_outlast_a_draining_node_is_refused():
    """Guards against requests that a planned stop cuts off."""

    draining = threading.Event()

    def answer(request):
        time.sleep(0.8 if draining.is_set() else 0.0)
        return support.make_response(request)

    with support.Cluster(
        ("a1", "a2"),
        support.make_default_routes(timeout_ms=1000),
        drain_timeout_s=1.6,
    ) as cluster:
        first, second = cluster.nodes
        second.serve(answer, slots=16)
        host, _, port = first.caller.rpartition(":")
        connections = [
            urllib3.connection.HTTPConnection(host, int(port))
            for _ in range(12)
        ]

        def send(connection):
            connection.request("POST", "/write", body=b"x")
            return connection.getresponse()

        with futures.ThreadPoolExecutor(2 * len(connections)) as executor:
            # A draining node accepts requests on open connections alone.
            for answered in executor.map(send, connections):
                assert answered.status == 200
            draining.set()
            drained = executor.submit(first.data_plane.drain)
            late = []
            for connection in connections:
                late.append(executor.submit(send, connection))
                time.sleep(0.13)
            drained.result()
            first.data_plane.stop()
            responses = [future.result() for future in late]
        assert {response.status for response in responses} == {200, 503}
        for response in responses:
            if response.status == 503:
                assert support.read_error(response)[1] == "not-run"
