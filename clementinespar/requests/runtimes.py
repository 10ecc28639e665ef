"""Run times of requests, learned by kind from finished and outliving requests."""

import collections
import dataclasses

# Enough for a stable median; few enough that a change of behaviour shows after 16
# requests.
SAMPLES_PER_KIND = 32
# A kind without newer samples is treated as unknown again, so a wrong estimate cannot
# keep itself in force by having all its requests refused.
MAX_AGE_S = 30.0


@dataclasses.dataclass(slots=True)
class _KindSamples:
    """Newest run times of one kind."""

    samples: collections.deque[float]  # seconds, oldest first
    newest_at: float  # event-loop time of the newest sample
    median_s: float = 0.0
    low_s: float = 0.0  # lower quartile


class RunTimes:
    """Learned run times of one service, by kind."""

    _samples_by_kind: dict[str, _KindSamples]

    def __init__(self) -> None:
        self._samples_by_kind = {}

    def observe(self, kind: str, run_s: float, now: float) -> None:
        """Add the run time of an answered request, or a lower bound of a running one.

        Failures are not observed: a worker that fails fast would make its kinds look
        short.
        """
        learned = self._samples_by_kind.get(kind)
        if learned is None:
            learned = _KindSamples(collections.deque(maxlen=SAMPLES_PER_KIND), now)
            self._samples_by_kind[kind] = learned
        learned.samples.append(run_s)
        learned.newest_at = now
        ordered = sorted(learned.samples)
        learned.median_s = ordered[len(ordered) // 2]
        learned.low_s = ordered[len(ordered) // 4]

    def expected_s(self, kind: str, declared_s: float) -> float:
        """Return the median run time, or the declared one before the first sample."""
        learned = self._samples_by_kind.get(kind)
        return declared_s if learned is None else learned.median_s

    def min_expected_s(self, kind: str, now: float) -> float:
        """Return a run time that most requests of a kind exceed; 0 when not known."""
        learned = self._samples_by_kind.get(kind)
        if learned is None or now - learned.newest_at > MAX_AGE_S:
            return 0.0
        return learned.low_s

    def medians_by_kind(self) -> dict[str, float]:
        """Return the learned medians in seconds."""
        return {
            kind: learned.median_s for kind, learned in self._samples_by_kind.items()
        }
