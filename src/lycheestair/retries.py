"""Retry budget: limits retries to a small share of the requests."""

import threading
import time
from typing import Final

from lycheestair import settings as settings_lib

# Earned tokens are capped at what the floor rate yields in this time.
BURST_WINDOW_S: Final = 10.0


class RetryBudget:
    """Token bucket filled by requests and a minimum rate, spent by retries."""

    def __init__(self, settings: settings_lib.RequestSettings):
        self._tokens_per_request = settings.retry_budget_percent / 100
        self._floor_per_s = settings.retry_budget_floor_per_s
        self._lock = threading.Lock()
        self._refilled_at = time.monotonic()
        self._floor_tokens = self._floor_per_s
        self._earned_tokens = 0.0
        self._max_earned_tokens = max(1.0, BURST_WINDOW_S * self._floor_per_s)

    def add_request(self) -> None:
        """Adds the tokens earned by one request."""
        with self._lock:
            self._earned_tokens = min(
                self._max_earned_tokens,
                self._earned_tokens + self._tokens_per_request,
            )

    def try_spend(self) -> bool:
        """Spends the token of one retry; False if there is none."""
        with self._lock:
            now = time.monotonic()
            self._floor_tokens = min(
                max(1.0, self._floor_per_s),
                self._floor_tokens
                + (now - self._refilled_at) * self._floor_per_s,
            )
            self._refilled_at = now
            if self._earned_tokens >= 1.0:
                self._earned_tokens -= 1.0
                return True
            if self._floor_tokens >= 1.0:
                self._floor_tokens -= 1.0
                return True
            return False
