"""Selection of backend servers: exposure of new versions, and distance."""

import types

import pytest

from lycheestair.sidecar import balancer as balancer_lib
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import members


class FakePlanner:

    def __init__(self, shares):
        self.shares = shares

    def compute_shares(self, service, present):
        return self.shares


def make_record(name, domain="a1"):
    return members.NodeRecord(name, f"{name}:1", domain, "north", 1)


def make_balancer(shares, *versions, domains=()):
    """Returns a table and a balancer; node n serves the n-th version."""
    table = members.MemberTable(make_record("own"))
    for number, version in enumerate(versions, 1):
        domain = domains[number - 1] if domains else "a1"
        member = table.add(make_record(f"n{number}", domain))
        member.reachable = True
        member.endpoint = members.Endpoint(
            f"i{number}",
            "desk",
            version,
            4,
            members.backend.BackendState.SERVING,
        )
    table.rebuild_service_index()
    settings = types.SimpleNamespace(region="north", failure_domain="a1")
    return table, balancer_lib.Balancer(settings, table, FakePlanner(shares))


def make_call(priority=1):
    return calls.Call(
        b"1",
        b"GET",
        b"/",
        [],
        b"",
        "desk",
        "view",
        "",
        True,
        priority,
        clock.read_s() + 3,
        clock.read_s() + 1,
        "desk",
    )


def test_new_version_gets_no_more_than_its_share_when_the_old_one_is_full():
    """Guards against retries that raise the exposure to a bad new version."""
    _, balancer = make_balancer({"v1": 0.93, "v2": 0.07}, "v1", "v2")
    chosen = [balancer.choose(make_call(), {"n1"}) for _ in range(2000)]
    # 0.07 plus five standard deviations of the binomial distribution.
    assert sum(member is not None for member in chosen) < 2000 * 0.1


def test_old_version_replaces_the_new_one_when_the_new_one_is_full():
    """Guards against refusals while the old version has free servers."""
    _, balancer = make_balancer({"v1": 0.93, "v2": 0.07}, "v1", "v2")
    chosen = {balancer.choose(make_call(), {"n2"}) for _ in range(200)}
    assert [member.record.node_id for member in chosen] == ["n1"]


@pytest.mark.parametrize(
    ("waiting", "chosen"), [(0, {"n1"}), (2, {"n2"}), (6, {"n2"})]
)
def test_slower_server_in_the_local_domain_is_preferred_while_it_has_slots(
    waiting, chosen
):
    """Guards against cross-domain traffic for a small latency gain."""
    table, balancer = make_balancer(
        {"v1": 1.0}, "v1", "v1", domains=("a1", "b1")
    )
    near, far = table.list_others()
    near.was_tried = far.was_tried = True
    near.report_load(4 if waiting else 2, waiting, 350, 0)
    far.report_load(2, 0, 150, 0)
    names = {
        balancer.choose(make_call(), set()).record.node_id for _ in range(50)
    }
    assert names == chosen
