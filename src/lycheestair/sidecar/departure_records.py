"""Departures of backend servers in the store, which outlives the processes.

Answers the restart of many nodes at the same time: peers that would remember the
departures of a node have forgotten them too.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import event_log
from lycheestair.sidecar import serving
from lycheestair.sidecar import store as store_lib

MIN_RETRY_DELAY_S: Final = 0.2
MAX_RETRY_DELAY_S: Final = 1.5
# The acknowledgement of a departure waits this long for the store. A backend
# server gives up on a call after a second.
MAX_ACKNOWLEDGEMENT_DELAY_S: Final = 0.5
# Attempts of one write to replace an object that others have changed.
MAX_CONFLICTS: Final = 4


class DepartureRecords:
    """Keeps the departures that a node has acknowledged in the store."""

    def __init__(
        self,
        store: store_lib.MetadataStore,
        kinds: store_lib.ObjectKinds,
        node_id: ids.NodeId,
        server: serving.ServingNode,
        log: event_log.EventLog,
    ):
        """Initializes the records.

        Args:
          store: Client of the store.
          kinds: Names of the kinds of objects.
          node_id: This node, whose record has the same name.
          server: Holds the departures of this node.
          log: Log of the node.
        """
        self._store = store
        self._kind = kinds.departures
        self._node_id = node_id
        self._server = server
        self._log = log
        self._known: store_lib.StoredItem | None = None
        self._write_requested = asyncio.Event()
        self._written = asyncio.Event()
        self._written.set()

    def request_write(self) -> None:
        """Requests that the current departures are written."""
        self._written.clear()
        self._write_requested.set()

    async def wait_until_written(self) -> None:
        """Waits for the requested writes, but not for an unavailable store."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_ACKNOWLEDGEMENT_DELAY_S):
                await self._written.wait()

    async def run(self) -> None:
        """Restores the departures, then writes changes until cancelled."""
        while True:
            try:
                await self._run()
            except Exception as error:
                # An odd answer of the store must not stop the node.
                self._log.write("departure records failed", error=repr(error))
            await asyncio.sleep(MAX_RETRY_DELAY_S)

    async def _run(self) -> None:
        await self._retry_until_available(self._restore)
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            await self._retry_until_available(self._write)
            if not self._write_requested.is_set():
                self._written.set()

    async def _retry_until_available(
        self, action: Callable[[], Awaitable[None]]
    ) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await action()
                return
            except store_lib.StoreUnavailableError as error:
                self._log.write(
                    "departures not reached in the store", error=str(error)
                )
            await asyncio.sleep(random.uniform(0.5, 1.0) * delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _restore(self) -> None:
        """Applies the departures that earlier processes of this node wrote."""
        self._known = await self._store.get(self._kind, self._node_id)
        self._apply_known()

    def _apply_known(self) -> None:
        if self._known is None:
            return
        try:
            self._server.restore_departures(self._known.value)
        except ValueError as error:
            self._log.write("invalid departures ignored", error=str(error))

    async def _write(self) -> None:
        for _ in range(MAX_CONFLICTS):
            departures = self._server.departures.encode()
            if self._known is not None and self._known.value == departures:
                return
            result = await self._store.put(
                self._kind,
                self._node_id,
                departures,
                self._known.revision if self._known else None,
            )
            if not isinstance(result, store_lib.Conflict):
                self._known = result
                return
            # Written by an earlier process of this node, or lost in a restore.
            self._known = result.current
            self._apply_known()
        self._log.write("departures not written because of conflicts")
