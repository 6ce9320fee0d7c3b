"""Checks at-most-once execution with real processes, crashes and partitions."""

import contextlib
import signal

import pytest

from lycheestair import claims
from lycheestair_standins import key_fleet

DOMAINS = tuple(key_fleet.TOPOLOGY)

MAX_CLAIM_ATTEMPTS = 40


def start_fleet(folder):
    running_fleet = key_fleet.KeyFleet(folder)
    try:
        running_fleet.wait_ready(set(DOMAINS))
        yield running_fleet
    finally:
        running_fleet.close()


@pytest.fixture
def fleet(tmp_path):
    yield from start_fleet(tmp_path)


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    """Fleet for tests that inject no faults; each test uses its own keys."""
    yield from start_fleet(tmp_path_factory.mktemp("shared"))


def claim(fleet, domain, key="k", timeout_s=100.0, **more):
    return fleet.call(domain, "claim", key=key, timeout_s=timeout_s, **more)[
        "outcome"
    ]


def list_non_voters(fleet, key="k"):
    voters = fleet.find_voters(key)
    return [domain for domain in DOMAINS if domain not in voters]


def test_key_resent_to_another_node_gets_the_recorded_answer(shared_fleet):
    assert claim(shared_fleet, "a1") == "grant"
    assert claim(shared_fleet, "c2", timeout_s=0.2) == "in_progress"
    assert claim(shared_fleet, "c2", fingerprint="other") == "key_reused"
    shared_fleet.send("b1", "claim", key="k", timeout_s=20.0)
    shared_fleet.call("a1", "complete", key="k", body="whole answer")
    # The waiting claim receives the response once it is recorded.
    assert shared_fleet.receive("b1")["body"] == "whole answer"
    assert claim(shared_fleet, "c2") == "replay"


def test_concurrent_claims_of_all_nodes_yield_one_grant(shared_fleet):
    for key in ("x", "y", "z"):
        for domain in DOMAINS:
            shared_fleet.send(domain, "claim", key=key, timeout_s=1.0)
        outcomes = [
            shared_fleet.receive(domain)["outcome"] for domain in DOMAINS
        ]
        assert sorted(outcomes) == ["grant"] + 6 * ["in_progress"]


def test_released_key_is_granted_to_the_next_claim(shared_fleet):
    assert claim(shared_fleet, "a1", key="given") == "grant"
    shared_fleet.call("a1", "release", key="given")
    assert claim(shared_fleet, "b2", key="given") == "grant"


@pytest.mark.parametrize(
    "body, outcome", [("", "replay"), (None, "result_lost")]
)
def test_crash_of_the_entry_node_does_not_release_its_key(fleet, body, outcome):
    first, second = list_non_voters(fleet)[:2]
    assert claim(fleet, first) == "grant"
    fleet.call(first, "complete", key="k", body=body)
    fleet.kill(first)
    fleet.reassign_voters()
    assert claim(fleet, second) == outcome


def test_records_survive_the_replacement_of_a_voter(fleet):
    entry = list_non_voters(fleet)[0]
    assert claim(fleet, entry) == "grant"
    fleet.call(entry, "complete", key="k", body="answer")
    crashed = fleet.find_voters("k")[0]
    fleet.kill(crashed)
    # Two of three voters continue before the third one is replaced.
    assert claim(fleet, entry) == "replay"
    fleet.reassign_voters()
    fleet.wait_ready(set(DOMAINS) - {crashed})
    assert crashed not in fleet.find_voters("k")
    assert claim(fleet, entry) == "replay"
    # The node restarts at the same address and claims like any other node.
    fleet.start(crashed)
    fleet.reassign_voters()
    assert claim(fleet, crashed) == "replay"


def test_voters_restarted_without_records_grant_nothing(fleet):
    entry = list_non_voters(fleet)[0]
    assert claim(fleet, entry) == "grant"
    for crashed in fleet.find_voters("k")[:2]:
        fleet.kill(crashed)
        fleet.start(crashed)
    fleet.distribute()
    assert claim(fleet, entry, key="k", timeout_s=0.5) in (
        "no_quorum",
        "in_progress",
    )
    fleet.reassign_voters()
    outcomes = (
        claim(fleet, entry, timeout_s=0.5) for _ in range(MAX_CLAIM_ATTEMPTS)
    )
    # Channels to restarted voters take time to reconnect; meanwhile, claims
    # fail with no_quorum. No claim may be granted.
    first_outcome = next(kind for kind in outcomes if kind != "no_quorum")
    assert first_outcome in ("shard_closed", "in_progress")


def test_minority_refuses_and_majority_continues(fleet):
    voters = fleet.find_voters("k")
    isolated = {voters[0]}
    fleet.set_partitioned(isolated, True)
    assert claim(fleet, voters[0], timeout_s=10.0) == "no_quorum"
    assert claim(fleet, voters[1]) == "grant"
    fleet.call(voters[1], "complete", key="k", body="answer")
    fleet.set_partitioned(isolated, False)
    assert claim(fleet, voters[0], timeout_s=10.0) == "replay"


def test_results_are_read_beside_many_open_descriptors(fleet, tmp_path):
    """The test process keeps more files open than select can handle."""
    with contextlib.ExitStack() as files:
        for _ in range(1100):
            files.enter_context((tmp_path / "file").open("wb"))
        domain = DOMAINS[0]
        fleet.kill(domain)
        fleet.start(domain)

        assert fleet.call(domain, "describe")


def test_grant_expires_while_its_claimant_is_paused(shared_fleet):
    process = shared_fleet.processes["a1"]
    assert claim(shared_fleet, "a1", key="paused", timeout_s=0.5) == "grant"
    process.send_signal(signal.SIGSTOP)
    resumed_at = claims.read_clock() + 0.5
    while claims.read_clock() < resumed_at:
        pass
    process.send_signal(signal.SIGCONT)
    assert not shared_fleet.call("a1", "is_valid", key="paused")["valid"]
