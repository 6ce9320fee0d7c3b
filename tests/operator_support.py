"""In-memory store, membership and node for tests of operator commands."""

import contextlib
import itertools

import ports

from lycheestair import acceptance
from lycheestair import configuration
from lycheestair import control
from lycheestair import members
from lycheestair import operator_service
from lycheestair import settings as settings_lib
from lycheestair import store as store_lib
from lycheestair import suspects


class MemoryStore:
    """In-memory store with fault injection.

    Attributes:
      lost_responses: Number of writes that take effect but raise an error.
      down: Whether all calls fail.
      before_put: Called once, before the next write.
    """

    def __init__(self):
        self.objects = {}
        self.versions = itertools.count(1)
        self.lost_responses = 0
        self.down = False
        self.before_put = lambda: None

    def _check_available(self):
        if self.down:
            raise store_lib.StoreUnavailableError("store is down")

    def get(self, kind, name):
        self._check_available()
        return self.objects.get((kind, name))

    def list(self, kind):
        self._check_available()
        return [o for (k, _), o in sorted(self.objects.items()) if k == kind]

    def put(self, kind, name, value, version):
        self._check_available()
        hook, self.before_put = self.before_put, lambda: None
        hook()
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != version:
            return store_lib.Conflict(current)
        written = store_lib.StoredObject(name, next(self.versions), value)
        self.objects[kind, name] = written
        if self.lost_responses:
            self.lost_responses -= 1
            raise store_lib.StoreUnavailableError("response lost")
        return store_lib.Written(written.version)


def make_member(node_id, domain="east-1", **fields):
    return members.Member(
        node_id,
        "east",
        domain,
        "127.0.0.1:7003",
        "127.0.0.1:7002",
        1,
        **fields,
    )


class FixedMembership:
    """Membership with a fixed set of members."""

    def __init__(self, *known):
        self.members = {member.node_id: member for member in known}

    def read_self(self):
        return self.members["n1"]

    def read_members(self):
        return self.members


class FakeSuspectRegistry:
    """A suspect registry with one suspect."""

    def __init__(self):
        self.entries = {
            "f1": suspects.SuspectSummary(
                "f1", "POST", "orders", 2, True, 1_800_000_000.0
            )
        }

    def list_entries(self):
        return list(self.entries.values())

    def release(self, fingerprint):
        return self.entries.pop(fingerprint, None) is not None


def make_settings_document(**tables):
    return {
        "node": {"id": "n1", "region": "east", "failure_domain": "east-1"},
        "listeners": {
            name: f"127.0.0.1:{port}"
            for name, port in zip(
                ("caller", "peer", "control", "local"),
                [ports.reserve_port() for _ in range(4)],
                strict=True,
            )
        },
        "store": {"address": "127.0.0.1:1"},
        "topology": {"east-1": "east", "east-2": "east"},
        **tables,
    }


def make_settings(**tables):
    return settings_lib.parse_document(make_settings_document(**tables), "test")


class OperatorNode:
    """A node that only serves the operator service."""

    def __init__(self, settings):
        self.settings = settings
        self.address = settings.listeners.control
        self.store = MemoryStore()
        self.configuration = configuration.ActiveConfiguration()
        self.membership = FixedMembership(make_member("n1"))
        self.suspects = FakeSuspectRegistry()
        self.server = control.ControlServer(settings)
        operator_service.OperatorService(
            settings,
            acceptance.NoteAcceptor(
                self.store, lambda: self.configuration.current
            ),
            self.configuration,
            self.membership,
            self.store,
            self.configuration.activate,
            self.suspects,
        ).register(self.server)


@contextlib.contextmanager
def prepare_node(settings):
    """Yields a node whose server is not started yet."""
    node = OperatorNode(settings)
    try:
        yield node
    finally:
        node.server.stop(0)


@contextlib.contextmanager
def run_node(settings, *registrations):
    with prepare_node(settings) as node:
        for registration in registrations:
            node.server.register(registration)
        node.server.start()
        yield node
