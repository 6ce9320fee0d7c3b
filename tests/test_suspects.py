"""Guards against a request that crashes many backend servers."""

from concurrent import futures
import threading
import time

import pytest
import request_support as support

from lycheestair import control
from lycheestair import suspect_exchange
from lycheestair import suspects


def make_suspect_table():
    node = support.Node(support.SharedMembers(), "own", "a1", {})
    return suspects.SuspectTable(node.settings)


def test_crashing_request_is_refused_and_harmless_ones_are_not():
    """Guards against one request crashing server after server.

    Requests that were only in flight at the same time must not be refused.
    """
    table = make_suspect_table()
    crashing, harmless = support.make_call(b"bad"), support.make_call(b"good")
    table.record_crash([crashing, harmless])
    assert table.classify(crashing) is suspects.Verdict.RUN_ALONE
    assert table.classify(harmless) is suspects.Verdict.RUN_ALONE
    table.record_success(harmless)
    table.record_crash([crashing])
    assert table.classify(crashing) is suspects.Verdict.REFUSE
    assert table.classify(harmless) is suspects.Verdict.CLEAN
    assert table.classify(support.make_call(b"other")) is suspects.Verdict.CLEAN
    (entry,) = table.list_entries()
    assert (entry.crashes, entry.refused) == (2, True)
    assert table.release(entry.fingerprint)
    assert table.classify(crashing) is suspects.Verdict.CLEAN
    assert not table.release("unknown")


def test_suspects_expire_and_merge_in_any_order(monkeypatch):
    first, second = make_suspect_table(), make_suspect_table()
    crashing = support.make_call(b"bad")
    first.record_crash([crashing])
    second.record_crash([crashing])
    stale = second.read_all()
    second.merge(first.read_all())
    assert second.classify(crashing) is suspects.Verdict.REFUSE
    second.record_success(crashing)
    # Merging an older copy must not undo the clearing.
    assert second.merge(stale) == []
    first.merge(second.read_all())
    assert first.classify(crashing) is suspects.Verdict.CLEAN
    first.record_crash([crashing])
    now = suspects.time.time()
    monkeypatch.setattr(suspects.time, "time", lambda: now + 601)
    first.expire()
    assert first.read_all() == []
    assert not first.active


def test_crashing_request_ends_at_most_three_backend_servers():
    """Counts crashes while both the entry node and the client retry."""
    crashes = []

    def respond(request):
        if b"bad" not in request.body:
            return support.make_response(request)
        node = node_by_request[id(request)]
        crashes.append(node.name)
        node.server.close()
        return None

    node_by_request = {}
    with support.Cluster(["a1", "a1", "a1", "a1", "a1"]) as cluster:
        for node in cluster.nodes:

            def serve(request, node=node):
                node_by_request[id(request)] = node
                return respond(request)

            node.serve(serve)
        tables = [node.data_plane.suspects for node in cluster.nodes]
        for table in tables:
            table.on_change = lambda changed: [t.merge(changed) for t in tables]
        entry_node = cluster.nodes[0]
        for _ in range(6):
            last = support.call(entry_node.caller, "POST", "/read", "bad")
            good = support.call(entry_node.caller, "POST", "/read", "good")
            assert (good.status, good.data) == (200, b"good")
        assert support.read_error(last) == ("suspect", "not-run")
        assert 2 <= len(crashes) <= 3


def test_request_that_could_not_connect_is_not_suspected():
    """Only a request that was sent can have crashed the backend server."""
    with support.Cluster() as cluster:
        node = cluster.nodes[0]
        node.serve(support.make_response).close()
        response = support.call(node.caller, "POST", "/write", "x")
        assert support.read_error(response) == ("connect_failed", "not-run")
        assert node.data_plane.suspects.read_all() == []


def test_nodes_share_crashes_and_releases():
    """Guards against a request crashing the backend server of each node."""
    shared_members = support.SharedMembers()
    nodes = [support.Node(shared_members, f"n{i}", "a1", {}) for i in range(3)]
    tables, components = [], []
    for node in nodes:
        table = suspects.SuspectTable(node.settings)
        channels = control.PeerChannels(node.settings)
        exchange = suspect_exchange.SuspectExchange(
            node.settings, table, channels, node.membership
        )
        server = control.ControlServer(node.settings)
        server.register(exchange.register)
        server.start()
        tables.append(table)
        components.append((exchange, channels, server))
    crashing = support.make_call(b"bad")
    tables[0].record_crash([crashing])
    support.wait_until(lambda: all(table.active for table in tables))
    tables[1].record_crash([crashing])
    support.wait_until(
        lambda: all(
            t.classify(crashing) is suspects.Verdict.REFUSE for t in tables
        )
    )
    assert tables[2].release(crashing.fingerprint())
    support.wait_until(lambda: not any(table.active for table in tables))
    for exchange, channels, server in components:
        exchange.stop()
        channels.close()
        server.stop(0)


class CrashingServers:
    """Backend servers that crash when they have run a certain request.

    Attributes:
      crashes: Nodes whose server crashed, in this order.
    """

    def __init__(self, nodes):
        self.nodes = nodes
        self.crashes = []
        self._lock = threading.Lock()
        for node in nodes:
            self.start(node)

    def start(self, node):
        """Starts the server of a node, also after a crash."""
        server = None

        def respond(request):
            if b"bad" not in request.body:
                time.sleep(0.5 * request.body.count(b"slow"))
                return support.make_response(request)
            time.sleep(0.1)
            with self._lock:
                if node.server is server:
                    self.crashes.append(node)
                    node.server = None
            server.close()
            return None

        node.serve(respond)
        server = node.server

    def restart_crashed(self):
        for node in self.nodes:
            if node.server is None:
                self.start(node)

    def send_everywhere(self, copies, others=0):
        """Sends the request to all nodes at once; returns the error kinds.

        Before it, each node gets a number of other requests.
        """
        with futures.ThreadPoolExecutor(3 * len(self.nodes)) as pool:
            for node in self.nodes * others:
                pool.submit(support.call, node.caller, "POST", "/write", "slow")
            time.sleep(0.1 * others)
            responses = pool.map(
                lambda node: support.call(node.caller, "POST", "/read", "bad"),
                self.nodes * copies,
            )
        return {support.read_error(response)[0] for response in responses}


@pytest.mark.parametrize("others", [0, 1])
def test_request_sent_to_all_nodes_at_once_ends_few_servers(others):
    """Guards against trials of a request at all servers at the same time."""
    with support.Cluster(["a1", "a1", "a2", "b1", "b1"]) as cluster:
        tables = [node.data_plane.suspects for node in cluster.nodes]
        for table in tables:
            table.on_change = lambda changed: [t.merge(changed) for t in tables]
        servers = CrashingServers(cluster.nodes)
        servers.send_everywhere(copies=2, others=others)
        first_crashes = len(servers.crashes)
        for _ in range(3):
            servers.restart_crashed()
            kinds = servers.send_everywhere(copies=2)
        assert len(servers.crashes) - first_crashes <= 3
        assert kinds == {"suspect"}
        servers.restart_crashed()
        for node in cluster.nodes:
            good = support.call(node.caller, "POST", "/read", "good")
            assert (good.status, good.data) == (200, b"good")
