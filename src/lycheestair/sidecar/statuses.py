"""Encodes and applies the status that each node reports to the others."""

import dataclasses
from typing import Any

from lycheestair import ids
from lycheestair.sidecar import backend
from lycheestair.sidecar import latencies
from lycheestair.sidecar import members
from lycheestair.sidecar import revisions
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import serving
from lycheestair.sidecar import versions as versions_lib


class StatusEncoder:
    """Encodes the status of this node; the number rises with each status."""

    def __init__(
        self,
        own: members.Member,
        server: serving.ServingNode,
        planner: versions_lib.VersionPlanner,
    ):
        self._own = own
        self._serving_node = server
        self._planner = planner
        self._status_number = 0
        # Target and creation of the rollout whose outcomes are counted.
        self._counted_rollout: (
            tuple[ids.VersionName, revisions.Revision] | None
        ) = None

    def encode(self) -> list[Any]:
        """Returns the current status as a list of plain values."""
        self._status_number += 1
        own = self._own
        endpoint = self._serving_node.endpoint
        has_counts = self._update_outcome_counts(endpoint)
        return [
            self._status_number,
            None
            if endpoint is None
            else [
                endpoint.instance,
                endpoint.service,
                endpoint.version,
                endpoint.slots,
                endpoint.state.value,
            ],
            self._serving_node.read_load(),
            own.generation,
            own.leaving,
            own.store_available,
            own.store_latency_ms,
            # Without a rollout, nodes of the previous release can read it too.
            own.rollout_created_revision if has_counts else 0,
            [dataclasses.astuple(count) for count in own.counts]
            if has_counts
            else None,
        ]

    def _update_outcome_counts(self, endpoint: members.Endpoint | None) -> bool:
        """Updates the outcome counts of a rollout of this node's service.

        Outcomes are counted since the rollout was ordered.

        Returns:
          Whether such a rollout is in progress.
        """
        if endpoint is None:
            return False
        rollout = self._planner.find_rollout(endpoint.service)
        if rollout is None:
            return False
        # The operator may order the next rollout in the same object.
        counted_rollout = (rollout.target, rollout.created_revision)
        if self._counted_rollout != counted_rollout:
            self._counted_rollout = counted_rollout
            self._serving_node.clear_counts()
        if rollout.state in rollout_lib.FINAL_STATES:
            return False
        self._own.rollout_created_revision = rollout.created_revision
        self._own.counts = tuple(
            members.RouteCount(
                route,
                answers,
                failures,
                total_ms,
                latencies.encode(self._serving_node.latencies[route]),
            )
            for route, (
                answers,
                failures,
                total_ms,
            ) in self._serving_node.counts.items()
        )
        return True


def apply_status(member: members.Member, fields: list[Any]) -> bool:
    """Applies a status to its member unless a later one is known.

    Returns:
      Whether the member's backend server has changed.

    Raises:
      TypeError, ValueError: The status is malformed; nothing has changed.
    """
    (
        number,
        endpoint,
        load,
        generation,
        leaving,
        store_available,
        store_latency_ms,
        rollout_created_revision,
        counts,
    ) = fields
    if number <= member.status_number:
        return False
    decoded = None
    if endpoint is not None:
        instance, service, version, slots, state = endpoint
        decoded = members.Endpoint(
            instance, service, version, slots, backend.BackendState(state)
        )
    running, waiting, service_time_ms, failed_percent, *slowdown = load
    decoded_counts = tuple(
        members.RouteCount(
            route,
            answers,
            failures,
            total_ms,
            latencies.decode(rest[0] if rest else ()),
        )
        for route, answers, failures, total_ms, *rest in counts or ()
    )
    decoded_revision = revisions.decode(rollout_created_revision)
    member.status_number = number
    member.status = fields
    member.leaving = leaving
    member.store_available = store_available
    member.store_latency_ms = store_latency_ms
    member.generation = ids.Generation(generation)
    member.report_load(
        running, waiting, service_time_ms, failed_percent, *slowdown
    )
    if counts is not None:
        member.rollout_created_revision = decoded_revision
        member.counts = decoded_counts
    if decoded == member.endpoint:
        return False
    member.endpoint = decoded
    return True
