"""Run times by kind, estimated from answered requests and from long-running ones."""

import collections
import dataclasses

# Enough for a stable median, and few enough that the median follows a change of
# behaviour after 16 requests.
SAMPLES_PER_KIND = 32
# A kind without newer samples counts as unknown. Otherwise an estimate that is too high
# would never be corrected, since all requests of the kind would be refused.
MAX_AGE_S = 30.0


@dataclasses.dataclass(slots=True)
class _KindSamples:
    """Most recent run times of one kind."""

    samples: collections.deque[float]  # seconds, oldest first
    newest_at: float  # event-loop time of the newest sample
    median_s: float = 0.0
    low_s: float = 0.0  # lower quartile


class RunTimes:
    """Estimated run times of one service, by kind."""

    _samples_by_kind: dict[str, _KindSamples]

    def __init__(self) -> None:
        self._samples_by_kind = {}

    def observe(self, kind: str, run_s: float, now: float) -> None:
        """Add the run time of an answered request, or a lower bound of a running one.

        Failures must not be added: a worker that fails fast would make its kinds look
        short.
        """
        kind_samples = self._samples_by_kind.get(kind)
        if kind_samples is None:
            kind_samples = _KindSamples(collections.deque(maxlen=SAMPLES_PER_KIND), now)
            self._samples_by_kind[kind] = kind_samples
        kind_samples.samples.append(run_s)
        kind_samples.newest_at = now
        ordered = sorted(kind_samples.samples)
        kind_samples.median_s = ordered[len(ordered) // 2]
        kind_samples.low_s = ordered[len(ordered) // 4]

    def expected_s(self, kind: str, declared_s: float) -> float:
        """Return the median run time, or the declared one before the first sample."""
        kind_samples = self._samples_by_kind.get(kind)
        return declared_s if kind_samples is None else kind_samples.median_s

    def min_expected_s(self, kind: str, now: float) -> float:
        """Return the lower quartile, which most requests exceed; 0 if not known."""
        kind_samples = self._samples_by_kind.get(kind)
        if kind_samples is None or now - kind_samples.newest_at > MAX_AGE_S:
            return 0.0
        return kind_samples.low_s

    def medians_by_kind(self) -> dict[str, float]:
        """Return the median run times in seconds."""
        return {
            kind: kind_samples.median_s
            for kind, kind_samples in self._samples_by_kind.items()
        }
