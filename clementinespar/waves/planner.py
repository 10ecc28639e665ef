"""Pure decisions of the waves planner."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WavePlan:
    """What the next round would do."""

    because: tuple[str, ...] = ()  # plain sentences
