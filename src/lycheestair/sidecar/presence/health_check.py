"""Asks a backend server that is held back whether it serves."""

import asyncio
from collections.abc import Callable
from typing import Final
from typing import Protocol

from lycheestair import ids
from lycheestair import messages
from lycheestair.sidecar import backend
from lycheestair.sidecar import byte_budget
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import event_log
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams

# The backend server is on the same machine.
CONNECT_TIMEOUT_S: Final = 0.3
# A health check waits for a free slot like a request.
RESPONSE_TIMEOUT_S: Final = 1.0
# Interval between checks whether a started node has received a configuration.
CONFIGURATION_POLL_S: Final = 0.05
MIN_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 1.0
MAX_BODY_BYTES: Final = 65_536
SUCCESS_STATUS: Final = 200


class HeldBackServer(Protocol):
    """The serving node, as far as health checks concern it."""

    @property
    def held_back(self) -> backend.Announcement | None:
        """Latest heartbeat of a backend server that is held back."""

    def confirm_running(
        self, announcement: backend.Announcement, response: http1.Response
    ) -> None:
        """Tells that the sender of a heartbeat has passed its health check."""


class HealthCheck:
    """Checks the health of the backend server while it is held back."""

    def __init__(
        self,
        address: ids.Address,
        headers: backend.HeaderNames,
        server: HeldBackServer,
        read_catalog: Callable[[], catalog_lib.Catalog],
        log: event_log.EventLog,
    ):
        """Initializes the check.

        Args:
          address: Address of the backend server.
          headers: Names of the headers.
          server: Holds the backend server back.
          read_catalog: Returns the configuration in force, which has the path.
          log: Log of the node.
        """
        self._address = address
        self._headers = headers
        self._server = server
        self._read_catalog = read_catalog
        self._log = log
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Requests checks until the backend server is not held back.

        Without a path of health checks there are none until the next request.
        """
        self._requested.set()

    async def run(self) -> None:
        """Runs the requested checks until cancelled."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            try:
                await self._check_until_released()
            except Exception as error:
                # An odd answer of the server must not stop the node.
                self._log.write("health checks failed", error=repr(error))

    async def _check_until_released(self) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while (announcement := self._server.held_back) is not None:
            catalog = self._read_catalog()
            if not catalog.generation:
                await asyncio.sleep(CONFIGURATION_POLL_S)
                continue
            limits = catalog.services.get(announcement.service)
            if limits is None or not limits.health_path:
                return
            response = await self._check(announcement, limits.health_path)
            if response is not None:
                self._server.confirm_running(announcement, response)
                return
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)

    async def _check(
        self, announcement: backend.Announcement, path: str
    ) -> http1.Response | None:
        """Returns the response of a server that serves, else None."""
        try:
            response = await self._exchange(path)
        except (
            OSError,
            messages.BodyTooLargeError,
            messages.IncompleteMessageError,
            messages.MalformedMessageError,
        ) as error:
            self._log.write("health check failed", error=repr(error))
            return None
        instance = response.find_header(self._headers.responder)
        if (
            response.status == SUCCESS_STATUS
            and instance == announcement.instance.encode()
            and response.find_header(self._headers.not_executed) is None
            and response.find_header(self._headers.leaving) is None
        ):
            return response
        self._log.write(
            "health check failed",
            status=response.status,
            instance=instance and instance.decode("latin-1"),
        )
        return None

    async def _exchange(self, path: str) -> http1.Response:
        """Sends a health check and returns the response.

        Raises:
          OSError: No connection, or no response in time.
          messages.BodyTooLargeError, messages.IncompleteMessageError,
          messages.MalformedMessageError: The response is not valid.
        """
        stream = await streams.connect(self._address, CONNECT_TIMEOUT_S)
        try:
            stream.write(
                http1.encode_request(
                    b"GET",
                    path.encode(),
                    [
                        (b"host", self._address.encode()),
                        (b"connection", b"close"),
                    ],
                    b"",
                )
            )
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await http1.read_response(
                    stream, b"GET", byte_budget.ByteBudget(MAX_BODY_BYTES).take
                )
        finally:
            stream.abort()
