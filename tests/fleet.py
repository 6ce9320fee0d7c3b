"""In-process fleet of nodes on loopback ports with an in-memory store."""

import itertools
import threading
import time

import links
import ports

from lycheestair import acceptance
from lycheestair import configuration
from lycheestair import control
from lycheestair import distribution
from lycheestair import members
from lycheestair import membership
from lycheestair import settings as settings_lib
from lycheestair import snapshot
from lycheestair import store as store_lib

REGIONS = ("sicily", "calabria", "malta")
REGION_BY_DOMAIN = {f"{region}-{d}": region for region in REGIONS for d in "ab"}
WAIT_S = 20.0
NOTE_TEMPLATE = '[[service]]\nname = "{service}"\nversions = ["v1"]\n'


def wait_until(condition, message="condition", timeout_s=WAIT_S):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"timed out: {message}"
        time.sleep(0.01)


def run_concurrently(calls):
    """Runs calls concurrently and waits for all of them."""
    threads = [threading.Thread(target=call) for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class MemoryStore:
    """In-memory store that can be down, drop events or serve an old head."""

    def __init__(self):
        self._changed = threading.Condition()
        self._objects = {}
        self._versions = itertools.count(1)
        self._log = []
        self.down = False
        self.drop_watch_events = False
        self._stale = {}
        self.calls = 0

    def _call(self):
        self.calls += 1
        if self.down:
            raise store_lib.StoreUnavailableError("store is down")

    def serve_previous_head(self):
        """Makes `get` return the head before the current one from now on."""
        heads = [o for kind, o in self._log if kind == acceptance.HEAD_KIND]
        self._stale[acceptance.HEAD_KIND, acceptance.HEAD_NAME] = heads[-2]

    def get(self, kind, name):
        self._call()
        with self._changed:
            return self._stale.get((kind, name)) or self._objects.get(
                (kind, name)
            )

    def put(self, kind, name, value, version):
        self._call()
        with self._changed:
            current = self._objects.get((kind, name))
            if (current.version if current else 0) != version:
                return store_lib.Conflict(current)
            written = store_lib.StoredObject(name, next(self._versions), value)
            self._objects[kind, name] = written
            self._log.append((kind, written))
            self._changed.notify_all()
        return store_lib.Written(written.version)

    def watch(self, kind, version, timeout_s):
        self._call()
        deadline = time.monotonic() + timeout_s
        position = 0
        while time.monotonic() < deadline and not self.down:
            with self._changed:
                self._changed.wait_for(
                    lambda seen=position: len(self._log) > seen, 0.1
                )
                new_writes, position = self._log[position:], len(self._log)
            for written_kind, written in new_writes:
                if self.drop_watch_events:
                    return
                if written_kind == kind and written.version > version:
                    yield written


class NodeStore:
    """Connection of one node to the store, which can be made unreachable."""

    def __init__(self, store):
        self._store = store
        self.unreachable = False

    def _get_store(self):
        if self.unreachable:
            raise store_lib.StoreUnavailableError("store is unreachable")
        return self._store

    def get(self, kind, name):
        return self._get_store().get(kind, name)

    def put(self, kind, name, value, version):
        return self._get_store().put(kind, name, value, version)

    def watch(self, kind, version, timeout_s):
        for stored in self._get_store().watch(kind, version, timeout_s):
            self._get_store()
            yield stored


class Node:
    """Membership and distribution of one node."""

    def __init__(self, node_id, domain, seeds, store, port=None, **changes):
        port = port or ports.reserve_port()
        self.address = f"127.0.0.1:{port}"
        self.settings = settings_lib.Settings(
            node=settings_lib.Identity(
                node_id, REGION_BY_DOMAIN[domain], domain
            ),
            listeners=settings_lib.Listeners(
                "127.0.0.1:1", "127.0.0.1:2", self.address, "127.0.0.1:3"
            ),
            store=settings_lib.StoreSettings("127.0.0.1:4", lease_ms=900),
            topology=REGION_BY_DOMAIN,
            membership=settings_lib.MembershipSettings(
                seeds=tuple(seeds),
                probe_period_ms=100,
                probe_timeout_ms=100,
                suspicion_ms=changes.get("suspicion_ms", 800),
            ),
            distribution=settings_lib.DistributionSettings(
                exchange_period_ms=200,
                boot_timeout_ms=changes.get("boot_timeout_ms", 3_000),
            ),
        )
        self.store = NodeStore(store)
        self.configuration = configuration.ActiveConfiguration()
        self.generations = []
        self.configuration.subscribe(
            lambda s: self.generations.append(s.generation)
        )
        network = changes.get("network")
        self.channels = (
            links.LinkedChannels(self.settings, network)
            if network
            else control.PeerChannels(self.settings)
        )
        self.membership = membership.GossipMembership(
            self.settings, self.channels, self.configuration
        )
        self.distributor = distribution.Distributor(
            self.settings,
            self.channels,
            self.configuration,
            self.membership,
            self.store,
        )
        self.server = control.ControlServer(self.settings)
        self.membership.register(self.server)
        self.distributor.register(self.server)
        self.running = False

    @property
    def generation(self):
        return self.configuration.current.generation

    def start(self):
        self.server.start()
        self.membership.start()
        self.booted = self.distributor.boot()
        self.distributor.start()
        self.running = True
        return self

    def stop(self):
        if not self.running:
            return
        self.running = False
        # Stops the server first: as with a killed node, the other nodes get no
        # answer and no announcement. Unlike a killed node, a feeder releases
        # its lease.
        self.server.stop(0)
        self.membership.stop()
        self.distributor.stop()
        self.channels.close()

    def read_state_of(self, node_id):
        member = self.membership.read_members().get(node_id)
        return member.state if member else None

    def accept(self, note_id, publish=True):
        acceptor = acceptance.NoteAcceptor(
            self.store, lambda: self.configuration.current
        )
        outcome = acceptor.apply(
            f'id = "{note_id}"\n' + NOTE_TEMPLATE.format(service=note_id)
        )
        assert isinstance(outcome, acceptance.Accepted), outcome
        if publish:
            self.distributor.publish(outcome.snapshot)
        return outcome.generation


class Fleet:
    """A number of nodes distributed over the failure domains."""

    def __init__(self, count, **changes):
        self.store = MemoryStore()
        self.changes = changes
        node_ports = [ports.reserve_port() for _ in range(count)]
        self.seeds = [f"127.0.0.1:{port}" for port in node_ports[:3]]
        self.nodes = [
            Node(
                f"n{i:02}",
                sorted(REGION_BY_DOMAIN)[i % len(REGION_BY_DOMAIN)],
                self.seeds,
                self.store,
                port,
                **changes,
            )
            for i, port in enumerate(node_ports)
        ]

    def start(self):
        run_concurrently([node.start for node in self.nodes])
        self.wait_for_members()
        return self

    def restart(self, nodes):
        """Starts new nodes with the identities and addresses of old ones."""
        new_nodes = [
            Node(
                node.settings.node.id,
                node.settings.node.failure_domain,
                self.seeds,
                self.store,
                int(node.address.rpartition(":")[2]),
                **self.changes,
            )
            for node in nodes
        ]
        self.nodes = [n for n in self.nodes if n not in nodes] + new_nodes
        run_concurrently([node.start for node in new_nodes])

    def stop(self):
        run_concurrently([node.stop for node in self.nodes])

    @property
    def running(self):
        return [node for node in self.nodes if node.running]

    def wait_for_members(self):
        node_ids = {n.settings.node.id for n in self.running}
        wait_until(
            lambda: all(
                {
                    m.node_id
                    for m in n.membership.read_members().values()
                    if m.state is members.MemberState.ALIVE
                }
                == node_ids
                for n in self.running
            ),
            "all nodes see each other as alive",
        )

    def wait_for_generation(self, generation):
        wait_until(
            lambda: all(n.generation >= generation for n in self.running),
            f"generation {generation} everywhere",
        )

    def read_snapshot(self):
        head = acceptance.read_head(self.store)
        return acceptance.read_snapshot(self.store, head, snapshot.EMPTY)
