"""The budget of repeats over all nodes."""

import random

import pytest

from lycheestair.sidecar import budget as budget_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib

BOUNDS = settings_lib.Bounds(retry_ratio=0.2, retry_slack=58.0)
NODES = 13
OWN, OTHER = "desk", "press"


class Clock:

    def __init__(self):
        self.now = 100.0

    def read_s(self):
        return self.now


@pytest.fixture
def fake(monkeypatch):
    fake = Clock()
    monkeypatch.setattr(clock, "read_s", fake.read_s)
    return fake


def make_table():
    table = None
    for number in range(NODES):
        record = members.NodeRecord(f"n{number}", f"a:{number}", "a", "r", 1)
        if table is None:
            table = members.MemberTable(record)
        else:
            table.add(record)
    return table


@pytest.mark.parametrize("seed", range(4))
def test_repeats_of_all_nodes_stay_within_any_window(fake, seed):
    """Guards the bound when all requests fail, under bursts and pauses."""
    draw = random.Random(seed)
    table = make_table()
    budgets = [budget_lib.RetryBudget(BOUNDS, table) for _ in range(NODES)]
    requests, repeats = [], []
    rate = 200.0
    while fake.now < 160.0:
        if draw.random() < 0.002:
            rate = draw.choice([5.0, 60.0, 200.0, 600.0])
        fake.now += draw.expovariate(rate)
        budget = draw.choice(budgets)
        budget.add_request()
        requests.append(fake.now)
        while budget.try_spend():
            repeats.append(fake.now)
    assert len(repeats) > 0.1 * len(requests)
    for start in repeats:
        end = start + BOUNDS.retry_window_s
        spent = sum(start <= at < end for at in repeats)
        asked = sum(start <= at < end for at in requests)
        assert spent <= 0.2 * asked + BOUNDS.retry_slack


def test_repeated_run_is_charged_for_its_calls(fake):
    """Guards the budget of a service that repeated requests call."""
    del fake
    budgets = budget_lib.RetryBudgets(OWN, BOUNDS, make_table())
    called = budgets.find(OTHER)
    for _ in range(100):
        budgets.add_run(False)
        called.add_request(own_call=True)
        called.add_request(own_call=True)
    spent = 0
    while called.try_spend():
        spent += 1
    assert spent
    called.add_request(own_call=True)
    tokens = called._tokens
    budgets.add_run(True)
    assert tokens - called._tokens == pytest.approx(2.0, abs=0.1)
    assert not called.try_spend()


def test_repeated_run_is_not_charged_to_its_own_service(fake):
    """Guards against counting a repeat twice."""
    del fake
    budgets = budget_lib.RetryBudgets(OWN, BOUNDS, make_table())
    own = budgets.find(OWN)
    own.add_request(own_call=True)
    tokens = own._tokens
    budgets.add_run(True)
    assert own._tokens == tokens
