"""Runs the node of the platform."""

import sys

# The node makes no TLS connections, and asyncio goes without libssl, which
# takes a fifth of the process's memory.
sys.modules["ssl"] = None  # type: ignore[assignment]

from lycheestair.platform import program  # noqa: E402

program.main()
