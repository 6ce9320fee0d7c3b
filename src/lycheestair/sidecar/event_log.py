"""Structured logging that is rate limited and never blocks."""

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

# Token bucket for log lines. Writing a line takes tens of microseconds of
# processor time.
LINES_PER_S: Final = 150.0
BURST_LINES: Final = 600.0


class _NonBlockingHandler(std_logging.Handler):
    """Writes lines to a file descriptor; drops a line that would block.

    Attributes:
      dropped: Lines dropped since the last one that was written.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        self.dropped = 0

    def emit(self, record: std_logging.LogRecord) -> None:
        """Implements logging.Handler."""
        fields = getattr(record, "fields", None)
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "message": record.getMessage(),
        }
        if record.exc_info and record.exc_info[1] is not None:
            line["error"] = std_logging.Formatter().formatException(
                record.exc_info
            )
        if isinstance(fields, dict):
            line.update(fields)
        if self.dropped:
            line["dropped"] = self.dropped
        try:
            os.write(
                self._descriptor,
                orjson.dumps(
                    line, default=str, option=orjson.OPT_APPEND_NEWLINE
                ),
            )
            self.dropped = 0
        except OSError:
            # A full pipe must not block requests. The next line that is written
            # contains the number of dropped ones.
            self.dropped += 1


class EventLog:
    """Logs the events of a node within a rate limit.

    Attributes:
      suppressed: Lines left out by the rate limit since the last written one.
    """

    def __init__(self, node_id: ids.NodeId):
        self.suppressed = 0
        self._node_id = node_id
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()

    def write(self, message: str, **fields: Any) -> None:
        """Writes a line unless the rate limit is exceeded."""
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
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
    """Routes all logs of the process to standard output as JSON lines."""
    logger = logging.get_absl_logger()
    logger.handlers[:] = [_NonBlockingHandler(sys.stdout.fileno())]
    logger.propagate = False
    logger.setLevel(std_logging.INFO)
    root = std_logging.getLogger()
    root.handlers[:] = logger.handlers
    std_logging.captureWarnings(True)
