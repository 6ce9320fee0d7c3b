"""Retry budgets over all nodes."""

import random

import pytest

from lycheestair.sidecar import budget as budget_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib

BOUNDS = settings_lib.Bounds(retry_ratio=0.2, retry_allowance=58.0)
NODES = 13
LOCAL_SERVICE, CALLED_SERVICE = "desk", "press"


class FakeClock:

    def __init__(self):
        self.now = 100.0

    def read_s(self):
        return self.now


@pytest.fixture
def fake_clock(monkeypatch):
    fake_clock = FakeClock()
    monkeypatch.setattr(clock, "read_s", fake_clock.read_s)
    return fake_clock


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
def test_retries_of_all_nodes_stay_within_the_limit_in_any_window(
    fake_clock, seed
):
    """Guards the retry limit when all requests fail, with bursts and pauses."""
    rng = random.Random(seed)
    table = make_table()
    budgets = [budget_lib.RetryBudget(BOUNDS, table) for _ in range(NODES)]
    requests, retries = [], []
    rate = 200.0
    while fake_clock.now < 160.0:
        if rng.random() < 0.002:
            rate = rng.choice([5.0, 60.0, 200.0, 600.0])
        fake_clock.now += rng.expovariate(rate)
        budget = rng.choice(budgets)
        budget.record_request()
        requests.append(fake_clock.now)
        while budget.try_spend():
            retries.append(fake_clock.now)
    assert len(retries) > 0.1 * len(requests)
    for start in retries:
        end = start + BOUNDS.retry_window_s
        spent = sum(start <= at < end for at in retries)
        requested = sum(start <= at < end for at in requests)
        assert spent <= 0.2 * requested + BOUNDS.retry_allowance


def test_execution_of_a_retry_is_charged_for_its_calls(fake_clock):
    """Guards the retry budget of a service called by retried requests."""
    del fake_clock
    budgets = budget_lib.RetryBudgets(LOCAL_SERVICE, BOUNDS, make_table())
    called = budgets.find(CALLED_SERVICE)
    for _ in range(100):
        budgets.record_execution(False)
        called.record_request(from_local_backend=True)
        called.record_request(from_local_backend=True)
    spent = 0
    while called.try_spend(from_local_backend=True):
        spent += 1
    assert spent
    called.record_request(from_local_backend=True)
    tokens = called._tokens
    budgets.record_execution(True)
    assert tokens - called._tokens == pytest.approx(2.0, abs=0.1)
    assert not called.try_spend(from_local_backend=True)


def test_execution_of_a_retry_is_not_charged_to_its_own_service(fake_clock):
    """Guards against charging a retry twice."""
    del fake_clock
    budgets = budget_lib.RetryBudgets(LOCAL_SERVICE, BOUNDS, make_table())
    local = budgets.find(LOCAL_SERVICE)
    local.record_request(from_local_backend=True)
    tokens = local._tokens
    budgets.record_execution(True)
    assert local._tokens == tokens


def test_part_of_the_budget_is_reserved_for_calls_of_backend_servers(
    fake_clock,
):
    """Guards against clients whose retries leave none for calls."""
    del fake_clock
    budget = budget_lib.RetryBudget(BOUNDS, make_table())
    for number in range(100):
        budget.record_request(from_local_backend=number % 2 == 0)
    spent_by_clients = spent_by_calls = 0
    while budget.try_spend():
        spent_by_clients += 1
    while budget.try_spend(from_local_backend=True):
        spent_by_calls += 1
    assert spent_by_clients
    assert spent_by_calls >= spent_by_clients


def test_service_without_calls_spends_its_whole_budget_on_clients(fake_clock):
    del fake_clock
    budget = budget_lib.RetryBudget(BOUNDS, make_table())
    for _ in range(100):
        budget.record_request()
    while budget.try_spend():
        pass
    assert not budget.try_spend(from_local_backend=True)
