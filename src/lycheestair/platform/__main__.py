"""Runs the node of the platform."""

import signal
import sys

# A change of the settings may be signalled before the node handles it, which
# would end the process; the settings are read after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# The node makes no TLS connections, and asyncio goes without libssl, which
# takes a fifth of the process's memory.
sys.modules["ssl"] = None  # type: ignore[assignment]

from lycheestair.platform import program  # noqa: E402

program.main()
