"""Collects the history of a fleet from journals, logs and the store."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import time
from typing import Any

import orjson

from lycheestair import acceptance
from lycheestair import fleet as fleet_lib
from lycheestair import ids
from lycheestair import invariants
from lycheestair import node as node_lib
from lycheestair import request_clients


def read_runs(
    backends: Iterable[fleet_lib.BackendProcess],
) -> Iterator[invariants.Run]:
    """Yields the runs in all journals, including those that did not end."""
    for backend in backends:
        if not backend.journal.exists():
            continue
        entries = [
            orjson.loads(line)
            for line in backend.journal.read_bytes().splitlines()
        ]
        ends = {
            (entry["pid"], entry["run"]): entry["at"]
            for entry in entries
            if entry["event"] == "end"
        }
        for entry in entries:
            if entry["event"] == "start":
                yield invariants.Run(
                    call_id=entry["path"].rpartition("/")[2],
                    key=entry["key"],
                    server=f"{backend.journal.stem}/{entry['pid']}",
                    service=backend.service,
                    version=backend.version,
                    started_at=entry["at"],
                    ended_at=ends.get((entry["pid"], entry["run"])),
                )


def find_fault_time(
    fleet: fleet_lib.Fleet, bad: invariants.BadVersion
) -> invariants.BadVersion:
    """Returns a bad version with the start of its first run as fault time."""
    runs = (
        run.started_at
        for run in read_runs(fleet.backends)
        if run.service == bad.service and run.version == bad.version
    )
    return dataclasses.replace(bad, fault_at=min(runs, default=bad.fault_at))


def read_activations(
    fleet: fleet_lib.Fleet,
) -> Iterator[invariants.Activation]:
    """Yields the activations that the nodes have logged."""
    for node_id in fleet.nodes:
        process_started_at = 0.0
        for entry in fleet.read_log(node_id):
            if entry.get("message") == node_lib.START_MESSAGE:
                process_started_at = entry["time"]
            elif entry.get("message") == node_lib.ACTIVATION_MESSAGE:
                yield _decode_activation(node_id, process_started_at, entry)


def _decode_activation(
    name: str, process_started_at: float, entry: dict[str, Any]
) -> invariants.Activation:
    return invariants.Activation(
        node=name,
        process_started_at=process_started_at,
        generation=ids.Generation(entry["generation"]),
        digest=entry["digest"],
        at=entry["at"],
        dangling=entry["dangling"],
    )


def read_accepted(
    fleet: fleet_lib.Fleet,
) -> Iterator[invariants.AcceptedGeneration]:
    """Yields the accepted generations among the writes the store retains."""
    for write in fleet.read_store_history(acceptance.HEAD_KIND):
        head = write["value"]
        yield invariants.AcceptedGeneration(
            ids.Generation(head["generation"]), head["digest"], write["at"]
        )


def collect(
    fleet: fleet_lib.Fleet,
    records: Iterable[request_clients.Record],
    bad_versions: Iterable[invariants.BadVersion] = (),
    departures: Iterable[invariants.Departure] = (),
    gracefully_stopped: Iterable[str] = (),
    reachable: Iterable[str] = (),
) -> invariants.History:
    """Returns the history of a fleet.

    Args:
      fleet: Fleet whose journals, logs and store are read.
      records: Requests that the clients sent.
      bad_versions: Versions with an injected fault.
      departures: Announcements of backend servers that leave.
      gracefully_stopped: Backend servers that were shut down gracefully.
      reachable: Nodes that were reachable until now.
    """
    return invariants.History(
        calls=tuple(record.call for record in records),
        runs=tuple(read_runs(fleet.backends)),
        activations=tuple(read_activations(fleet)),
        accepted=tuple(read_accepted(fleet)),
        bad_versions=tuple(bad_versions),
        departures=tuple(departures),
        reachable=tuple(reachable),
        gracefully_stopped=tuple(gracefully_stopped),
        ended_at=time.time(),
    )
