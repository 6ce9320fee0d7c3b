"""Choice of the backend server: exposure of new versions under load."""

import types

import pytest

from lycheestair.sidecar import balancer as balancer_lib
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import members


class Planner:

    def __init__(self, shares):
        self.shares = shares

    def compute_shares(self, service, present):
        return self.shares


def make_record(name, domain="a1"):
    return members.NodeRecord(name, f"{name}:1", domain, "north", 1)


def make_balancer(shares, *versions, domains=()):
    """Returns a balancer; node number n serves the n-th version."""
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
    table.index()
    settings = types.SimpleNamespace(region="north", failure_domain="a1")
    return table, balancer_lib.Balancer(settings, table, Planner(shares))


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
    """Guards against exposure to a bad version by retries under load."""
    _, balancer = make_balancer({"v1": 0.93, "v2": 0.07}, "v1", "v2")
    chosen = [balancer.choose(make_call(), {"n1"}) for _ in range(2000)]
    # The binomial's 0.07 with five standard deviations.
    assert sum(member is not None for member in chosen) < 2000 * 0.1


def test_old_version_takes_what_the_new_one_has_no_room_for():
    """Guards against refusals while servers of the old version are free."""
    _, balancer = make_balancer({"v1": 0.93, "v2": 0.07}, "v1", "v2")
    chosen = {balancer.choose(make_call(), {"n2"}) for _ in range(200)}
    assert [member.record.node_id for member in chosen] == ["n1"]


@pytest.mark.parametrize(
    ("waiting", "chosen"), [(0, {"n1"}), (2, {"n2"}), (6, {"n2"})]
)
def test_slower_server_of_the_own_domain_is_preferred_while_it_has_room(
    waiting, chosen
):
    """Guards against paying for a link that saves hardly any time."""
    table, balancer = make_balancer(
        {"v1": 1.0}, "v1", "v1", domains=("a1", "b1")
    )
    near, far = table.list_others()
    near.tried = far.tried = True
    near.report_load(4 if waiting else 2, waiting, 350, 0)
    far.report_load(2, 0, 150, 0)
    names = {
        balancer.choose(make_call(), set()).record.node_id for _ in range(50)
    }
    assert names == chosen
