"""Stateful test of the decisions about quotas, with messages in any order.

There is no clock: each message stays in flight until a rule delivers or drops it.
"""

import dataclasses
import functools
import types
from collections.abc import Callable

import hypothesis
from hypothesis import stateful, strategies

from clementinespar.jobs import (
    model,
    quota_ledger,
    quota_messages,
    quota_shares,
    resources,
    team_use,
)

TEAM = "a"
CAP = resources.Resources(8, 12, 0)
LOWERED_CAP = resources.Resources(4, 12, 0)
PARTITIONS = 3
WORKERS = 2
SPECS = [model.StepSpec(1, 1, 1), model.StepSpec(1, 1, 3), model.StepSpec(1, 2, 1)]

NUMBERS = strategies.integers(0, 63)


@dataclasses.dataclass
class Job:
    """A job whose tasks need no order."""

    job_id: str
    spec: model.StepSpec
    count: int
    adopted_epoch: int
    stored_done: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Worker:
    """What executes, with the fence of the last owner that called."""

    fence: int = 0
    running: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    ended: set[tuple[str, int]] = dataclasses.field(default_factory=set)


class Owner:
    """An owner as it decides; it may be replaced and not know it."""

    def __init__(self, epoch: int, partition: "Partition", version: int) -> None:
        self.epoch = epoch
        self.partition = partition
        self.use = team_use.TeamUse()
        self.shares = quota_shares.QuotaShares(self.use)
        self.runs: dict[tuple[str, int], types.SimpleNamespace] = {}
        self.sent: set[tuple[str, int]] = set()  # orders that have not arrived
        self.done: set[tuple[str, int]] = set()
        self.reached: set[int] = set()
        self.version = version
        self.known_jobs = dict(partition.jobs)
        self.update()

    def update(self) -> None:
        """Count as `owner_quotas.OwnerQuotas` does."""
        is_settled = len(self.reached) == WORKERS
        bounds = {}
        for job in self.known_jobs.values():
            if job.adopted_epoch != self.epoch and not is_settled:
                left = sum(
                    index not in job.stored_done
                    and (job.job_id, index) not in self.done
                    for index in range(job.count)
                )
                bounds[job.job_id] = (TEAM, team_use.needs(job.spec).times(left))
        self.use.rebuild(self.runs.values(), bounds)
        if is_settled:
            self.shares.settle()

    def add_run(self, job: Job, index: int) -> None:
        key = model.TaskKey(job.job_id, 0, 0, index)
        run = types.SimpleNamespace(key=key, spec=job.spec, team=TEAM)
        self.runs[job.job_id, index] = run
        self.use.add(run)

    def drop_run(self, task: tuple[str, int]) -> None:
        run = self.runs.pop(task, None)
        if run is not None:
            self.use.drop(run)


class Partition:
    """Workers and jobs of one partition, and all its owners."""

    def __init__(self) -> None:
        self.workers = [Worker() for _ in range(WORKERS)]
        self.jobs: dict[str, Job] = {}
        self.owners: list[Owner] = []


class QuotaProtocol(stateful.RuleBasedStateMachine):
    """Guards against shares that exceed a cap in sum, and starts above a cap."""

    def __init__(self) -> None:
        super().__init__()
        self.epoch = 0
        self.count = 0
        self.version = 1
        self.cap = CAP
        self.was_lowered = False
        self.caps_by_version = {1: CAP}
        self.messages: list[Callable[[], None]] = []
        self.recalls: list[Callable[[], None]] = []  # time-outs of those in flight
        self.partitions = [Partition() for _ in range(PARTITIONS)]
        for number in range(PARTITIONS):
            self.change_owner(number)
            for worker in range(WORKERS):
                self.contact(number, worker, 0)
        self.change_ledger()
        self.settle_ledger()

    # Owners and workers.

    def pick_owner(self, number: int, back: int) -> Owner:
        """Return the owner of a partition, or an earlier one that does not know it."""
        owners = self.partitions[number % PARTITIONS].owners
        return owners[-1 - back % min(2, len(owners))]

    @stateful.rule(number=NUMBERS)
    def replace_owner(self, number: int) -> None:
        """Change an owner; the next one reaches one worker."""
        self.change_owner(number)
        self.contact(number, number, 0)

    @stateful.rule(number=NUMBERS)
    def change_owner(self, number: int) -> None:
        self.epoch += 1
        partition = self.partitions[number % PARTITIONS]
        owner = Owner(self.epoch, partition, self.version)
        owner.shares.set_caps({TEAM: self.cap}, self.version)
        partition.owners.append(owner)

    @stateful.rule(number=NUMBERS, worker=NUMBERS, back=NUMBERS)
    def contact(self, number: int, worker: int, back: int) -> None:
        owner = self.pick_owner(number, back)
        found = owner.partition.workers[worker % WORKERS]
        if found.fence > owner.epoch:
            return
        found.fence = owner.epoch
        owner.reached.add(worker % WORKERS)
        for task in found.ended:
            owner.done.add(task)
            owner.drop_run(task)
        for task in found.running:
            if task not in owner.runs:
                owner.add_run(owner.partition.jobs[task[0]], task[1])
        owner.update()

    @stateful.rule(number=NUMBERS, spec=NUMBERS, count=strategies.integers(1, 6))
    def adopt(self, number: int, spec: int, count: int) -> None:
        owner = self.pick_owner(number, 0)
        self.count += 1
        job = Job(f"j{self.count}", SPECS[spec % len(SPECS)], count, owner.epoch)
        owner.partition.jobs[job.job_id] = owner.known_jobs[job.job_id] = job

    @stateful.rule(number=NUMBERS, worker=NUMBERS, back=NUMBERS, first=NUMBERS)
    def start(self, number: int, worker: int, back: int, first: int) -> None:
        """Start what fits, and ask for what does not."""
        owner = self.pick_owner(number, back)
        is_settled = len(owner.reached) == WORKERS
        owner.shares.begin_round()
        owner.update()
        if worker % WORKERS not in owner.reached:
            return
        jobs = list(owner.known_jobs.values())
        for job in (*jobs[first % (len(jobs) or 1) :], *jobs):
            if job.adopted_epoch != owner.epoch and not is_settled:
                continue
            for index in range(job.count):
                task = (job.job_id, index)
                if task in owner.done or task in owner.runs or index in job.stored_done:
                    continue
                if not owner.shares.fits(TEAM, job.spec):
                    need = team_use.needs(job.spec)
                    owner.shares.note_lack(TEAM, need.times(job.count), need)
                    break
                owner.add_run(job, index)
                owner.sent.add(task)
                cap = self.find_cap()
                self.messages.append(
                    functools.partial(self.execute, owner, task, worker % WORKERS, cap)
                )

    def execute(
        self, owner: Owner, task: tuple[str, int], number: int, cap: resources.Resources
    ) -> None:
        """Carry out a start; `cap` is the highest one when it was decided."""
        if task not in owner.sent:
            return  # delivered twice
        owner.sent.discard(task)
        worker = owner.partition.workers[number]
        if worker.fence > owner.epoch:
            owner.drop_run(task)
            return
        worker.fence = owner.epoch
        worker.running.add(task)
        use = resources.ZERO
        for partition in self.partitions:
            for other in partition.workers:
                for job_id, _ in other.running:
                    use = use.plus(team_use.needs(partition.jobs[job_id].spec))
        limit = cap.max_with(self.find_cap())
        assert use[0] <= limit[0] and use[1] <= limit[1], (use, limit)

    @stateful.rule(
        number=NUMBERS, spec=NUMBERS, worker=NUMBERS, count=strategies.integers(0, 6)
    )
    def work(self, number: int, spec: int, worker: int, count: int) -> None:
        """Adopt a job, start what fits and ask for more."""
        self.adopt(number, spec, 5)
        self.start(number, worker, 0, 0)
        self.request(number, 0)
        self.deliver_in_order(count)

    @stateful.rule(number=NUMBERS, worker=NUMBERS, count=strategies.integers(0, 6))
    def work_on(self, number: int, worker: int, count: int) -> None:
        """Start what fits and ask for more."""
        self.contact(number, worker, 0)
        self.start(number, worker, 0, 0)
        self.request(number, 0)
        self.deliver_in_order(count)

    @stateful.rule(number=NUMBERS, worker=NUMBERS)
    def end_all(self, number: int, worker: int) -> None:
        for _ in range(8):
            self.end(number, worker, 0)
        self.contact(number, worker, 0)

    @stateful.rule(number=NUMBERS, worker=NUMBERS, task=NUMBERS)
    def end(self, number: int, worker: int, task: int) -> None:
        found = self.partitions[number % PARTITIONS].workers[worker % WORKERS]
        if found.running:
            ended = sorted(found.running)[task % len(found.running)]
            found.running.discard(ended)
            found.ended.add(ended)

    @stateful.rule(number=NUMBERS)
    def store_progress(self, number: int) -> None:
        owner = self.pick_owner(number, 0)
        for job_id, index in owner.done:
            owner.partition.jobs[job_id].stored_done.add(index)

    # Caps.

    def find_cap(self) -> resources.Resources:
        """Return the highest cap that a node has."""
        caps = [self.ledger.caps[TEAM]]
        for partition in self.partitions:
            caps.extend(owner.shares.caps[TEAM] for owner in partition.owners[-2:])
        return functools.reduce(resources.Resources.max_with, caps)

    @stateful.rule(is_lowered=strategies.booleans())
    def set_cap(self, is_lowered: bool) -> None:
        self.version += 1
        self.was_lowered = True
        self.cap = LOWERED_CAP if is_lowered else CAP

    @stateful.rule(number=NUMBERS, back=NUMBERS)
    def read_cap(self, number: int, back: int) -> None:
        owner = self.pick_owner(number, back)
        owner.shares.set_caps({TEAM: self.cap}, self.version)

    @stateful.rule()
    def read_cap_at_ledger(self) -> None:
        self.ledger.set_policy({TEAM: self.cap}, frozenset(range(PARTITIONS)))
        self.ledger.version = self.version

    # Messages.

    @stateful.rule(number=NUMBERS, back=NUMBERS)
    def request(self, number: int, back: int) -> None:
        owner = self.pick_owner(number, back)
        request = owner.shares.make_request(number % PARTITIONS, owner.epoch, [TEAM])
        if request is not None:
            self.messages.append(
                functools.partial(self.handle_request, self.ledger, owner, request)
            )

    def handle_request(
        self,
        ledger: quota_ledger.QuotaLedger,
        owner: Owner,
        request: quota_messages.Request,
    ) -> None:
        if ledger is not self.ledger or not ledger.accept(request):
            return
        self.send_recalls(ledger.find_sources(request))
        self.messages.append(functools.partial(self.grant, ledger, owner, request))

    def grant(
        self,
        ledger: quota_ledger.QuotaLedger,
        owner: Owner,
        request: quota_messages.Request,
    ) -> None:
        if ledger is self.ledger:
            response = ledger.grant(request)
            ledger.end_request(request)
            if response is not None:
                self.messages.append(
                    functools.partial(
                        owner.shares.apply_response, request.number, response
                    )
                )

    def send_recalls(self, teams_by_partition: dict[int, list[str]]) -> None:
        ledger = self.ledger
        for partition, teams in teams_by_partition.items():
            begun = ledger.begin_recall(partition, teams)
            if begun:
                call = RecallCall(ledger, partition, tuple(begun))
                self.recalls.append(functools.partial(call.end, None))
                self.messages.append(functools.partial(self.handle_recall, call))

    def handle_recall(self, call: "RecallCall") -> None:
        """Answer as the owner; earlier ones are not confirmed and do not answer."""
        owner = self.partitions[call.partition].owners[-1]
        owner.update()
        recall = quota_messages.Recall(call.ledger.epoch, call.teams)
        waiting = {TEAM: quota_shares.Waiting(1, resources.ZERO)}
        try:
            response = owner.shares.recall(owner.epoch, recall, waiting)
        except quota_shares.StaleLedgerError:
            return
        self.messages.append(functools.partial(call.end, response))

    @stateful.rule()
    def change_ledger(self) -> None:
        self.epoch += 1
        self.ledger = quota_ledger.QuotaLedger(self.epoch)
        self.read_cap_at_ledger()

    @stateful.rule()
    def tick_ledger(self) -> None:
        due = self.ledger.find_excess()
        for partition in range(PARTITIONS):
            if unknown := self.ledger.find_unknown(partition):
                due.setdefault(partition, []).extend(unknown)
        self.send_recalls(due)

    @stateful.rule(number=NUMBERS, is_doubled=strategies.booleans())
    def deliver(self, number: int, is_doubled: bool) -> None:
        if self.messages:
            index = number % len(self.messages)
            message = self.messages[index]
            if not is_doubled:
                del self.messages[index]
            message()

    @stateful.rule(count=strategies.integers(1, 12))
    def deliver_in_order(self, count: int) -> None:
        for _ in range(count):
            self.deliver(0, False)

    @stateful.rule()
    def settle_ledger(self) -> None:
        """Let the ledger learn all shares, as far as the owners know them."""
        self.tick_ledger()
        self.deliver_in_order(12)

    @stateful.rule(number=NUMBERS)
    def drop(self, number: int) -> None:
        if self.messages:
            message = self.messages[number % len(self.messages)]
            if message.func != self.execute:  # type: ignore[attr-defined]
                self.messages.remove(message)

    @stateful.rule(number=NUMBERS)
    def time_out_recall(self, number: int) -> None:
        if self.recalls:
            self.recalls.pop(number % len(self.recalls))()

    @stateful.rule(number=NUMBERS, back=NUMBERS)
    def time_out_request(self, number: int, back: int) -> None:
        self.pick_owner(number, back).shares.abandon()

    @stateful.invariant()
    def shares_fit_the_cap(self) -> None:
        if self.was_lowered:
            return
        total = resources.ZERO
        for partition in self.partitions:
            share = partition.owners[-1].shares.shares.get(TEAM, resources.ZERO)
            total = total.plus(share.without_negative())
        assert total[0] <= CAP[0] and total[1] <= CAP[1], total


class RecallCall:
    """A recall in flight; its first response counts, unless it has timed out."""

    def __init__(
        self, ledger: quota_ledger.QuotaLedger, partition: int, teams: tuple[str, ...]
    ) -> None:
        self.ledger = ledger
        self.partition = partition
        self.teams = teams
        self.is_open = True

    def end(self, response: quota_messages.RecallResponse | None) -> None:
        if self.is_open:
            self.is_open = False
            self.ledger.end_recall(self.partition, self.teams, response)


TestQuotaProtocol = QuotaProtocol.TestCase
TestQuotaProtocol.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=60, deadline=None, derandomize=True
)
