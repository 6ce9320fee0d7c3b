"""Benchmark of idempotency key claims between node processes on loopback."""

import json
import pathlib
import tempfile
import time
import tracemalloc
from typing import Any
from typing import Final

from absl import logging
import hdrh.histogram
import numpy as np

from lycheestair import hand_over
from lycheestair import key_records
from lycheestair import ownership
from lycheestair import resources
from lycheestair_standins import key_fleet

CLAIM_COUNT: Final = 200
RECORD_COUNT: Final = 100_000
# One-way delay; the round trip time between regions is 20 ms.
REGION_DELAY_S: Final = 0.010
RESPONSE_BYTES: Final = 1_000
IDLE_DURATION_S: Final = 3.0
# Failure domain of the node that makes the claims.
ENTRY_DOMAIN: Final = "a1"


def run(seed: int, out: str) -> dict[str, Any]:
    """Measures latency, bytes, CPU time and memory of claims, and the recovery.

    The recovery is the reassignment of shards after the loss of a node.

    Bytes and CPU time per request include recording its response.

    Args:
      seed: Seed for the keys.
      out: Directory for the result file, `measure_keys.json`.

    Returns:
      The results. Names of quantities contain their unit.
    """
    with tempfile.TemporaryDirectory() as directory:
        fleet = key_fleet.KeyFleet(pathlib.Path(directory), REGION_DELAY_S)
        try:
            fleet.wait_ready(set(key_fleet.TOPOLOGY))
            result = (
                {"seed": seed}
                | _measure_claims(fleet, seed)
                | _measure_idle(fleet)
                | _measure_recovery(fleet)
                | _measure_record_table(seed)
            )
        finally:
            fleet.close()
    path = pathlib.Path(out)
    path.mkdir(parents=True, exist_ok=True)
    (path / "measure_keys.json").write_text(json.dumps(result, indent=2))
    logging.info("%s", result)
    return result


def _measure_claims(fleet: key_fleet.KeyFleet, seed: int) -> dict[str, Any]:
    # Opens the connections before the measurement starts.
    fleet.call(ENTRY_DOMAIN, "claim_many", prefix=f"warm-{seed}-", count=100)
    cpu_before = _read_cpu(fleet)
    bytes_before = _count_bytes(fleet)
    claims = fleet.call(
        ENTRY_DOMAIN,
        "claim_many",
        prefix=f"key-{seed}-",
        count=CLAIM_COUNT,
        body="x" * RESPONSE_BYTES,
    )["claims"]
    granted_claims = [c for c in claims if c["outcome"] == "grant"]
    bytes_after = _count_bytes(fleet)
    cpu_after = _read_cpu(fleet)
    latencies: dict[str, list[float]] = {"own": [], "home": [], "remote": []}
    for claim in granted_claims:
        latencies[_classify_shard(fleet, claim["shard"])].append(claim["s"])
    count = len(granted_claims)
    result: dict[str, Any] = {
        "claims": len(claims),
        "granted": count,
        "region_bytes_per_request": (bytes_after[0] - bytes_before[0]) / count,
        "domain_bytes_per_request": (bytes_after[1] - bytes_before[1]) / count,
        "entry_cpu_ms_per_request": 1e3
        * (cpu_after[ENTRY_DOMAIN] - cpu_before[ENTRY_DOMAIN])
        / count,
        "voters_cpu_ms_per_request": 1e3
        * sum(
            cpu_after[d] - cpu_before[d] for d in cpu_after if d != ENTRY_DOMAIN
        )
        / count,
    }
    for name, values in latencies.items():
        histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
        for latency_s in values:
            histogram.record_value(max(1, int(latency_s * 1e6)))
        result[f"{name}_claims"] = len(values)
        for percentile in (50, 99):
            result[f"{name}_p{percentile}_ms"] = (
                histogram.get_value_at_percentile(percentile) / 1e3
            )
    return result


def _measure_idle(fleet: key_fleet.KeyFleet) -> dict[str, Any]:
    before = _read_cpu(fleet)
    started = time.monotonic()
    time.sleep(IDLE_DURATION_S)
    after = _read_cpu(fleet)
    cpu_s = sum(after[domain] - before[domain] for domain in after)
    elapsed = time.monotonic() - started
    return {"idle_cpu_percent": 100 * cpu_s / len(after) / elapsed}


def _classify_shard(fleet: key_fleet.KeyFleet, index: int) -> str:
    """Classifies a shard by where its voters are, seen from the entry node.

    Returns:
      "own" if the region of the entry node has a quorum and the entry node is a
      voter, "home" if the region has a quorum without it, "remote" otherwise.
    """
    shard = fleet.snapshot.resources[f"shard/{index}"]
    assert isinstance(shard, resources.Shard)
    domains = [voter.removeprefix("n-") for voter in shard.voters]
    region = key_fleet.TOPOLOGY[ENTRY_DOMAIN]
    voters_in_region = sum(
        key_fleet.TOPOLOGY[domain] == region for domain in domains
    )
    if voters_in_region < ownership.compute_quorum(shard):
        return "remote"
    return "own" if ENTRY_DOMAIN in domains else "home"


def _measure_recovery(fleet: key_fleet.KeyFleet) -> dict[str, Any]:
    lost_domain = "b1"
    survivors = set(key_fleet.TOPOLOGY) - {lost_domain}
    fleet.kill(lost_domain)
    started = time.monotonic()
    generation = fleet.snapshot.generation
    while True:
        fleet.reassign_voters()
        if fleet.snapshot.generation == generation:
            break
        generation = fleet.snapshot.generation
    distribution_s = time.monotonic() - started
    fleet.wait_ready(survivors)
    return {
        "recovery_s": time.monotonic() - started,
        "recovery_plan_and_distribute_s": distribution_s,
    }


def _measure_record_table(seed: int) -> dict[str, Any]:
    rng = np.random.default_rng(seed)
    now = time.monotonic()
    tracemalloc.start()
    table = key_records.RecordTable(1 << 40, 600.0)
    for _ in range(RECORD_COUNT):
        record = key_records.Record(rng.bytes(16), rng.bytes(16), now, 5.0)
        table.insert(0, rng.bytes(16), record)
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.perf_counter()
    records = tuple(table.list_records(0, now))
    chunks = list(hand_over.encode(hand_over.HandOver(True, 1, records), now))
    encoded_at = time.perf_counter()
    decoded = hand_over.decode(chunks, time.monotonic)
    key_records.RecordTable(1 << 40, 600.0).replace_records(0, decoded.records)
    return {
        "record_bytes": allocated_bytes / RECORD_COUNT,
        "hand_over_bytes_per_record": sum(c.ByteSize() for c in chunks)
        / RECORD_COUNT,
        "hand_over_send_us_per_record": 1e6
        * (encoded_at - started)
        / RECORD_COUNT,
        "hand_over_receive_us_per_record": 1e6
        * (time.perf_counter() - encoded_at)
        / RECORD_COUNT,
    }


def _count_bytes(fleet: key_fleet.KeyFleet) -> tuple[int, int]:
    """Returns the bytes sent between regions and those sent within regions."""
    between_regions = within_regions = 0
    for (source, target), relay in fleet.links.items():
        if key_fleet.TOPOLOGY[source] == key_fleet.TOPOLOGY[target]:
            within_regions += relay.bytes
        else:
            between_regions += relay.bytes
    return between_regions, within_regions


def _read_cpu(fleet: key_fleet.KeyFleet) -> dict[str, float]:
    return {
        domain: fleet.call(domain, "read_state")["cpu_s"]
        for domain in key_fleet.TOPOLOGY
    }
