"""The record of a case, and the checks of the rules on tasks."""

import dataclasses
import json
import pathlib
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from harness import minions


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass
class DoneEnd:
    """A run that has ended `done`."""

    minion: "minions.Minion"
    number: int  # of the run
    end_number: int
    ended_at: float
    acknowledged_at: float | None = None


class Checks:
    """Records starts and ends, and finds the starts that break a rule."""

    def __init__(self, notes: Record) -> None:
        self.record = notes
        self.specs: dict[str, dict[str, Any]] = {}  # jobs as handed in, by id
        self.starts: dict[str, list[tuple[float, str, int, int]]] = {}
        self.done: dict[str, list[DoneEnd]] = {}
        self.problems: list[str] = []

    def add_problem(self, rule: str, text: str) -> None:
        """Note that a rule was broken."""
        self.problems.append(f"{rule}: {text}")
        self.record.write(f"BROKEN {rule}", what=text)

    def on_start(
        self, minion: "minions.Minion", run: "minions.Run", order: dict[str, Any]
    ) -> None:
        """Check a task that starts."""
        task = run.task
        now = self.record.now()
        self.record.write(
            "start", task=task, run=run.number, minion=minion.minion_id, fence=run.fence
        )
        self.starts.setdefault(task, []).append(
            (now, minion.minion_id, run.number, run.fence)
        )
        job_id, occurrence, step, index = task.split(".")
        spec = self.specs.get(job_id)
        if spec is None:
            self.add_problem("UNASKED", f"{task} starts, but nobody sent its job")
            return
        if order.get("spec", "") != spec.get("spec", ""):
            self.add_problem("UNASKED", f"{task} starts with another spec")
        minion.advance()
        for other in minion.fleet.minions:
            if other.is_up and task in other.runs:
                other.advance()
                if task in other.runs and not spec["steps"][int(step)].get(
                    "speculative"
                ):
                    self.add_problem(
                        "TWICE",
                        f"{task} run {run.number} starts on {minion.minion_id} while"
                        f" run {other.runs[task].number} runs on {other.minion_id}",
                    )
        for number in spec["steps"][int(step)].get("after", ()):
            for i in range(spec["steps"][number]["count"]):
                if f"{job_id}.{occurrence}.{number}.{i}" not in self.done and not (
                    spec["steps"][number].get("gang")
                ):
                    self.add_problem("ORDER", f"{task} starts before step {number}")
                    break
        if spec.get("repeatCount"):
            due = spec.get("firstMs", 0) + int(occurrence) * spec.get("periodMs", 0)
            if time.time() * 1000 < due - 250:
                self.add_problem("ORDER", f"{task} starts before its time")
        used = dict.fromkeys(("cpu", "memMb", "gpu"), 0)
        for name in [*minion.runs, task]:
            other_id, _, other_step, _ = name.split(".")
            other_spec = self.specs[other_id]["steps"][int(other_step)]
            for key in used:
                if key != "cpu" or not other_spec.get("fills"):
                    used[key] += other_spec.get(key, 0)
        if any(used[key] > minion.capacity[key] for key in used):
            self.add_problem("LIMIT", f"{task} brings {minion.minion_id} to {used}")

    def on_end(
        self, minion: "minions.Minion", run: "minions.Run", how: str, number: int
    ) -> None:
        """Record the end of a run."""
        self.record.write(
            "end",
            task=run.task,
            run=run.number,
            minion=minion.minion_id,
            how=how,
            number=number,
        )
        if how == "done":
            self.done.setdefault(run.task, []).append(
                DoneEnd(minion, run.number, number, self.record.now())
            )

    def on_acknowledged(self, minion: "minions.Minion", row: list[object]) -> None:
        """Record that an end was taken note of."""
        for end in self.done.get(str(row[1]), ()):
            if (
                end.minion is minion
                and end.end_number == row[0]
                and end.acknowledged_at is None
                and minion.lapsed_at < end.ended_at
            ):
                end.acknowledged_at = self.record.now()
        self.record.write(
            "end taken note of", task=row[1], run=row[2], minion=minion.minion_id
        )

    def find_repeated(self) -> list[str]:
        """Return the tasks started after an end `done` that was taken note of."""
        found = []
        for task, ends in self.done.items():
            job_id, _, step, _ = task.split(".")
            if self.specs[job_id]["steps"][int(step)].get("speculative"):
                continue
            for end in ends:
                if end.acknowledged_at is None:
                    continue
                for at, minion_id, number, _ in self.starts[task]:
                    if at > end.ended_at:
                        found.append(
                            f"{task}: run {end.number} ended done on"
                            f" {end.minion.minion_id} at {end.ended_at:.3f}, taken note"
                            f" of at {end.acknowledged_at:.3f}; run {number} starts on"
                            f" {minion_id} at {at:.3f}"
                        )
        return found


def dump(value: object) -> str:
    """Return a value as JSON for a line."""
    return json.dumps(value, separators=(",", ":"))
