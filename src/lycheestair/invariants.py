"""Checks the recorded history of a fleet against ten invariants.

Used by the demo, the benchmarks and the failure tests. All times are Unix times
in seconds from the clock of one machine.
"""

import collections
from collections.abc import Iterator
import dataclasses
import itertools
from typing import Final

from lycheestair import errors
from lycheestair import ids

# Time after it has announced its departure during which a backend server may
# still get new requests.
LEAVING_LIMIT_S: Final = 2.0
# Time during which a bad version may still get requests, from the start of its
# first run after its fault shows (see history.find_fault_time).
BAD_VERSION_LIMIT_S: Final = 5.0
# Maximum share of the calls of a move that a bad version may answer.
MAX_BAD_CALL_SHARE: Final = 0.01
# Time within which every reachable node must activate an accepted generation.
ACTIVATION_LIMIT_S: Final = 5.0


@dataclasses.dataclass(frozen=True)
class Call:
    """A request as its client observed it.

    Attributes:
      key: Idempotency key, empty if none was sent.
      answered: Whether a response arrived, including a rejection by a node.
      whole: Whether the response was complete.
      own: Whether the response belongs to this request.
      execution: Execution state that a rejection reported; None for a
        response of the backend server.
    """

    call_id: str
    key: str
    idempotent: bool
    answered: bool = True
    whole: bool = True
    own: bool = True
    execution: errors.Execution | None = None


@dataclasses.dataclass(frozen=True)
class Run:
    """A run of a request, as the journal of a backend server recorded it.

    Attributes:
      ended_at: None if the backend server exited before the request ended.
    """

    call_id: str
    key: str
    server: str
    service: str
    version: str
    started_at: float
    ended_at: float | None


@dataclasses.dataclass(frozen=True)
class Activation:
    """Activation of a configuration at a node.

    Attributes:
      process_started_at: Start time of the node process; generations may go
        back after a restart.
      dangling: Number of references to missing resources.
    """

    node: str
    process_started_at: float
    generation: ids.Generation
    digest: str
    at: float
    dangling: int = 0


@dataclasses.dataclass(frozen=True)
class AcceptedGeneration:
    """A generation in the history of the store."""

    generation: ids.Generation
    digest: str
    at: float


@dataclasses.dataclass(frozen=True)
class BadVersion:
    """A version with an injected fault.

    Attributes:
      fault_at: Start of the first run on the version after its fault shows
        (see `history.find_fault_time`).
      move_started_at: Time from which requests count as part of the move.
    """

    service: str
    version: str
    fault_at: float
    move_started_at: float


@dataclasses.dataclass(frozen=True)
class Departure:
    """Announcement by a backend server that it is about to leave."""

    server: str
    at: float


@dataclasses.dataclass(frozen=True)
class History:
    """Records of one test or benchmark run.

    Attributes:
      reachable: Nodes that were reachable until `ended_at`.
      gracefully_stopped: Backend servers that were shut down gracefully.
      ended_at: Time at which the history was collected.
    """

    calls: tuple[Call, ...] = ()
    runs: tuple[Run, ...] = ()
    activations: tuple[Activation, ...] = ()
    accepted: tuple[AcceptedGeneration, ...] = ()
    bad_versions: tuple[BadVersion, ...] = ()
    departures: tuple[Departure, ...] = ()
    reachable: tuple[str, ...] = ()
    gracefully_stopped: tuple[str, ...] = ()
    ended_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violated invariant and what violates it."""

    invariant: str
    detail: str


def find_violations(history: History) -> list[Violation]:
    """Returns every violation of the invariants."""
    return [
        Violation(name, detail)
        for name, check in _CHECKS.items()
        for detail in check(history)
    ]


def _check_no_older_generation(history: History) -> Iterator[str]:
    for process, activations in _group_by_process(history).items():
        for before, after in itertools.pairwise(activations):
            if after.generation < before.generation:
                yield (
                    f"{process[0]}: generation {before.generation} then"
                    f" {after.generation}"
                )


def _check_no_dangling_references(history: History) -> Iterator[str]:
    return (
        f"{item.node}: {item.dangling} dangling references at generation"
        f" {item.generation}"
        for item in history.activations
        if item.dangling
    )


def _check_digests_match_store(history: History) -> Iterator[str]:
    digests = {item.generation: item.digest for item in history.accepted}
    return (
        f"{item.node}: generation {item.generation} has digest {item.digest},"
        " which is not that of the store"
        for item in history.activations
        if item.generation in digests
        and digests[item.generation] != item.digest
    )


def _check_bad_version_small_share(history: History) -> Iterator[str]:
    for bad in history.bad_versions:
        runs = [
            run
            for run in history.runs
            if run.service == bad.service
            and run.started_at >= bad.move_started_at
        ]
        bad_runs = [run for run in runs if run.version == bad.version]
        late = [
            run
            for run in bad_runs
            if run.started_at > bad.fault_at + BAD_VERSION_LIMIT_S
        ]
        if late:
            yield (
                f"{bad.service}/{bad.version}: {len(late)} requests later than"
                f" {BAD_VERSION_LIMIT_S} s after its fault"
            )
        # At least one request has to fail before the fault can be detected.
        if len(bad_runs) > max(1.0, MAX_BAD_CALL_SHARE * len(runs)):
            yield (
                f"{bad.service}/{bad.version}: {len(bad_runs)} of"
                f" {len(runs)} requests"
            )


def _check_responses(history: History) -> Iterator[str]:
    for call in history.calls:
        if not call.answered:
            yield f"{call.call_id}: no answer"
        elif call.execution is None and not call.whole:
            yield f"{call.call_id}: incomplete response"
        elif call.execution is None and not call.own:
            yield f"{call.call_id}: response of another request"


def _check_not_run_reports(history: History) -> Iterator[str]:
    ran = {run.call_id for run in history.runs}
    return (
        f"{call.call_id}: ran although reported as not run"
        for call in history.calls
        if call.execution is errors.Execution.NOT_RUN and call.call_id in ran
    )


def _check_at_most_once(history: History) -> Iterator[str]:
    idempotent = {call.call_id for call in history.calls if call.idempotent}
    counts = collections.Counter(
        run.key or run.call_id
        for run in history.runs
        if run.call_id not in idempotent
    )
    return (
        f"{name}: ran {count} times"
        for name, count in counts.items()
        if count > 1
    )


def _check_no_runs_after_departure(history: History) -> Iterator[str]:
    left = {item.server: item.at for item in history.departures}
    return (
        f"{run.server}: started {run.call_id}"
        f" {run.started_at - left[run.server]:.1f} s after it began to leave"
        for run in history.runs
        if run.server in left
        and run.started_at > left[run.server] + LEAVING_LIMIT_S
    )


def _check_graceful_shutdown(history: History) -> Iterator[str]:
    gracefully_stopped = frozenset(history.gracefully_stopped)
    return (
        f"{run.server}: exited while running {run.call_id}"
        for run in history.runs
        if run.server in gracefully_stopped and run.ended_at is None
    )


def _check_accepted_activated(history: History) -> Iterator[str]:
    for accepted in history.accepted:
        if accepted.at + ACTIVATION_LIMIT_S > history.ended_at:
            continue
        active_nodes = {
            item.node
            for item in history.activations
            if item.generation >= accepted.generation
            and item.at <= accepted.at + ACTIVATION_LIMIT_S
        }
        for node in history.reachable:
            if node not in active_nodes:
                yield f"{node}: generation {accepted.generation} not activated"


def _group_by_process(
    history: History,
) -> dict[tuple[str, float], list[Activation]]:
    processes: dict[tuple[str, float], list[Activation]] = {}
    for item in sorted(history.activations, key=lambda item: item.at):
        processes.setdefault((item.node, item.process_started_at), []).append(
            item
        )
    return processes


_CHECKS: Final = {
    "no_older_version": _check_no_older_generation,
    "no_dangling_route": _check_no_dangling_references,
    "no_partial_apply": _check_digests_match_store,
    "bad_version_small_share": _check_bad_version_small_share,
    "own_whole_answer": _check_responses,
    "true_not_run": _check_not_run_reports,
    "at_most_once": _check_at_most_once,
    "no_new_work_leaving": _check_no_runs_after_departure,
    "graceful_shutdown": _check_graceful_shutdown,
    "accepted_in_force": _check_accepted_activated,
}
