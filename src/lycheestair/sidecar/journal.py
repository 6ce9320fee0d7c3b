"""Structured log lines, bounded and never blocking."""

import fcntl
import logging as std_logging
import os
import sys
import time
from typing import Any
from typing import Final

from absl import logging
import orjson

from lycheestair import ids

# Lines a second on average, and in a burst. A line costs tens of
# microseconds of processor time.
LINES_PER_S: Final = 150.0
BURST_LINES: Final = 600.0


class _NonBlockingHandler(std_logging.Handler):
    """Writes lines to a descriptor; drops what can't be written at once."""

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        self.dropped = 0

    def emit(self, record: std_logging.LogRecord) -> None:
        """Implements logging.Handler."""
        fields = getattr(record, "fields", None)
        document: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "message": record.getMessage(),
        }
        if record.exc_info and record.exc_info[1] is not None:
            document["error"] = std_logging.Formatter().formatException(
                record.exc_info
            )
        if isinstance(fields, dict):
            document.update(fields)
        if self.dropped:
            document["dropped"] = self.dropped
        try:
            os.write(
                self._descriptor,
                orjson.dumps(
                    document, default=str, option=orjson.OPT_APPEND_NEWLINE
                ),
            )
            self.dropped = 0
        except OSError:
            # A full pipe must not stop requests; the next line tells.
            self.dropped += 1


class Journal:
    """Writes one line for each decision.

    Attributes:
      suppressed: Lines left out because of the limit.
    """

    def __init__(self, node_id: ids.NodeId):
        self.suppressed = 0
        self._node_id = node_id
        self._tokens = BURST_LINES
        self._at = time.monotonic()

    def write(self, message: str, **fields: Any) -> None:
        """Writes a line if the limit allows it."""
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._at) * LINES_PER_S
        )
        self._at = now
        if self._tokens < 1.0:
            self.suppressed += 1
            return
        self._tokens -= 1.0
        if self.suppressed:
            fields["suppressed"] = self.suppressed
            self.suppressed = 0
        fields["node"] = self._node_id
        logging.get_absl_logger().info(message, extra={"fields": fields})


def configure() -> None:
    """Sends all logs of the process to standard output as JSON lines."""
    logger = logging.get_absl_logger()
    logger.handlers[:] = [_NonBlockingHandler(sys.stdout.fileno())]
    logger.propagate = False
    logger.setLevel(std_logging.INFO)
    root = std_logging.getLogger()
    root.handlers[:] = logger.handlers
    std_logging.captureWarnings(True)
