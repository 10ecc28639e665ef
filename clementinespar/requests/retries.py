"""Retry budget, so that retries cannot multiply the load during an overload."""

import collections

WINDOW_S = 10.0
RETRY_SHARE = 0.1  # retries per request within the window
MIN_RETRIES = 2  # lets one request of an idle service use all its attempts
MAX_ATTEMPTS = 3


class RetryBudget:
    """Limits the retries of one service by its requests within the last `WINDOW_S`."""

    _requests: collections.deque[float]  # event-loop times of accepted requests
    _retries: collections.deque[float]  # event-loop times of retries

    def __init__(self) -> None:
        self._requests = collections.deque()
        self._retries = collections.deque()

    def record_request(self, now: float) -> None:
        """Record an accepted request."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_acquire(self, now: float) -> bool:
        """Use one retry of the budget; False if it is exhausted."""
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        return True

    def remaining(self, now: float) -> int:
        """Return how many retries the budget still allows."""
        self._drop_expired(now)
        allowed = max(MIN_RETRIES, int(len(self._requests) * RETRY_SHARE))
        return allowed - len(self._retries)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - WINDOW_S:
                times.popleft()
