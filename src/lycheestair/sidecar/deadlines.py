"""Time limits that hold up after the process was suspended."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Final

from lycheestair.sidecar import clock

# A deadline noticed this late shows that the process was suspended or starved.
MAX_DELAY_S: Final = 0.1
# Time after a late deadline in which data that arrived earlier is read.
READ_GRACE_S: Final = 0.1


@contextlib.asynccontextmanager
async def limit(deadline: float) -> AsyncIterator[None]:
    """Cancels the enclosed code at a deadline, unless its result is ready.

    A process that was suspended past the deadline finds the deadline expired and
    the awaited data in its sockets at the same time. The code then gets
    READ_GRACE_S to read it.

    Args:
      deadline: Time on the clock of `clock.read_s`.

    Raises:
      TimeoutError: The code did not end in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:

        def expire() -> None:
            was_suspended = clock.read_s() - deadline > MAX_DELAY_S
            timeout.reschedule(
                loop.time() + (READ_GRACE_S if was_suspended else 0.0)
            )

        remaining_s = deadline - clock.read_s()
        if remaining_s <= 0:
            timeout.reschedule(loop.time())
            timer = None
        else:
            timer = loop.call_later(remaining_s, expire)
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()
