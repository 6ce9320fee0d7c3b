"""Event loop whose time passes only while all tasks wait."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self.now_s += timeout or 0.0
        return super().select(0)


class EventLoop(asyncio.SelectorEventLoop):
    """Event loop that plays long loads in a short time, without a network."""

    def __init__(self) -> None:
        self._virtual_selector = _JumpingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_s

    def advance(self, duration_s: float) -> None:
        """Lets time pass as if a callback had taken it."""
        self._virtual_selector.now_s += duration_s
