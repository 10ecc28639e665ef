"""Amounts of cores, memory and accelerators."""

from typing import NamedTuple

UNLIMITED = -1  # in a limit or a share: no limit for this resource


class Resources(NamedTuple):
    """A vector of cores (in thousandths), memory (in MB) and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may have negative parts."""
        return Resources(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def times(self, count: int) -> "Resources":
        """Return the vector of `count` equal parts."""
        return Resources(self[0] * count, self[1] * count, self[2] * count)

    def max_with(self, other: "Resources") -> "Resources":
        """Return the larger amount of each resource."""
        return Resources(
            max(self[0], other[0]), max(self[1], other[1]), max(self[2], other[2])
        )

    def min_with(self, other: "Resources") -> "Resources":
        """Return the smaller amount of each resource."""
        return Resources(
            min(self[0], other[0]), min(self[1], other[1]), min(self[2], other[2])
        )

    def without_negative(self) -> "Resources":
        """Return the vector with 0 in place of negative amounts."""
        return self.max_with(ZERO)

    def restrict(self, cap: "Resources", other: int) -> "Resources":
        """Return the amounts of what a cap limits, and `other` for the rest."""
        return Resources(
            self[0] if cap[0] else other,
            self[1] if cap[1] else other,
            self[2] if cap[2] else other,
        )


ZERO = Resources()
