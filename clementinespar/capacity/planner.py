"""Pure decisions of the capacity planner."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityPlan:
    """What the next round would do."""

    because: tuple[str, ...] = ()  # plain sentences
