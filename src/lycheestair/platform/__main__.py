"""Runs a sidecar node on the platform."""

import signal
import sys

# The platform may announce changed settings by SIGHUP before the node has
# installed its handler, and the default action would end the process. Nothing
# is missed, because the settings are read after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# The node makes no TLS connections, and asyncio also works without libssl,
# which would take a fifth of the memory of the process.
sys.modules["ssl"] = None  # type: ignore[assignment]

from lycheestair.platform import program  # noqa: E402

program.main()
