"""Configures absl.logging to write JSON lines without secrets."""

import logging as std_logging
import re
import sys
from typing import Any
from typing import Final

from absl import flags
from absl import logging
import orjson

from lycheestair import ids
from lycheestair import settings as settings_lib

REDACTED: Final = "[redacted]"

# Libraries may include the data that they failed to parse or send in a message,
# so every line is searched for private keys, idempotency keys and credentials.
_SECRET_PATTERNS: Final = (
    re.compile(
        r"-----BEGIN [A-Z ]*PRIVATE KEY-----.*?"
        r"(-----END [A-Z ]*PRIVATE KEY-----|$)",
        re.DOTALL,
    ),
    re.compile(
        r"(?i)(?<=idempotency-key)[\"']?\s*[:=,]\s*(b?[\"'])?[^\r\n\"']+"
    ),
    re.compile(r"(?i)(?<=authorization)[\"']?\s*[:=,]\s*(b?[\"'])?[^\r\n\"']+"),
)


def redact(text: str) -> str:
    """Replaces private keys, idempotency keys and credentials in a text."""
    for pattern in _SECRET_PATTERNS:
        text = pattern.sub(REDACTED, text)
    return text


class JsonFormatter(std_logging.Formatter):
    """Formats a record as one JSON object.

    Members: `time` (Unix seconds), `level`, `node`, `source` (file:line),
    `message`, `error` (stack trace, if there is one), and the items of the
    record's `fields` attribute, which `log_fields` sets.
    """

    def __init__(self, node_id: ids.NodeId):
        super().__init__()
        self._node_id = node_id

    def format(self, record: std_logging.LogRecord) -> str:
        """Implements logging.Formatter."""
        document: dict[str, Any] = {
            "time": round(record.created, 6),
            "level": record.levelname,
            "node": self._node_id,
            "source": f"{record.filename}:{record.lineno}",
            "message": redact(_format_message(record)),
        }
        if record.exc_info:
            document["error"] = redact(self.formatException(record.exc_info))
        fields = getattr(record, "fields", None)
        if isinstance(fields, dict):
            document.update(
                (key, redact(value) if isinstance(value, str) else value)
                for key, value in fields.items()
            )
        return orjson.dumps(document, default=str).decode()


def _format_message(record: std_logging.LogRecord) -> str:
    try:
        return record.getMessage()
    except (TypeError, ValueError):
        # A format string that does not match its arguments must not drop the
        # record.
        return str(record.msg)


def configure(
    node_id: ids.NodeId, settings: settings_lib.TelemetrySettings
) -> None:
    """Writes all logs of the process to stderr as JSON lines."""
    # Until flags are parsed, absl prints a warning that is not JSON.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(JsonFormatter(node_id))
    logging.use_absl_handler()
    logging.set_verbosity(settings.log_level)
    logging.set_stderrthreshold("debug")
    std_logging.captureWarnings(True)


def log_fields(message: str, fields: dict[str, Any]) -> None:
    """Logs a message with further members of the JSON object, at level INFO."""
    logging.get_absl_logger().info(message, extra={"fields": fields})


# Reports the caller of log_fields as the source of a record.
logging.ABSLLogger.register_frame_to_skip(__file__, log_fields.__name__)
