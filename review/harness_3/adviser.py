"""Stand-in of the service that says which minions may run a step."""

import asyncio
import time
from collections.abc import Callable

import minions
import scene
import wire

MAX_WORKERS = 100


class Adviser:
    """Answers after the time that the queue's configuration tells."""

    def __init__(
        self,
        record: scene.Record,
        decide_ms: int,
        each_ms: int,
        valid_ms: int,
        allows: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.note = record
        self.decide_ms = decide_ms
        self.each_ms = each_ms
        self.valid_ms = valid_ms
        self.server = wire.Server(self.handle)
        self._allows = allows  # by the id of a minion
        self._until: dict[tuple[str, str], float] = {}  # by step and ticket

    def describe(self) -> dict[str, int]:
        """Return the `advice` of the queue."""
        return {
            "decideMs": self.decide_ms,
            "eachMs": self.each_ms,
            "validMs": self.valid_ms,
        }

    async def handle(self, call: wire.Call) -> wire.Reply | None:
        """Answer one call."""
        fields = call.fields()
        step, names = fields["step"], fields["workers"]
        self.note("advise", step=step, workers=len(names))
        if len(names) > MAX_WORKERS:
            return wire.reply(400, {})
        await asyncio.sleep((self.decide_ms + self.each_ms * len(names)) / 1000)
        good = []
        for name in filter(self._allows, names):
            ticket = f"t-{name}"
            self._until[step, ticket] = time.monotonic() + self.valid_ms / 1000
            good.append([name, ticket])
        self.note("advised", step=step, good=[name for name, _ in good])
        return wire.reply(200, {"good": good, "validMs": self.valid_ms})

    def check(self, task: str, minion: minions.Minion, ticket: str) -> str:
        """Return why a minion refuses a start, or an empty string."""
        until = self._until.get((task.rpartition(".")[0], ticket), 0.0)
        is_own = ticket == f"t-{minion.id}"
        return "" if is_own and time.monotonic() < until else "ticket"
