"""Helpers that run owners of pools on fakes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from clementinespar.jobs import model, pool_owner, services, state, telemetry
from clementinespar.jobs.tests import fake_adviser, fakes

PARTITION = 3
LEASE_MAX_S = 6.0


def make_spec(
    job_id: str,
    task_count: int = 2,
    cpu: int = 1000,
    is_lasting: bool = False,
    pool: str = "quotes",
    may_miss: int | None = None,
    max_attempts: int = 3,
) -> model.JobSpec:
    """Return a job of one step."""
    step = model.StepSpec(
        task_count,
        cpu,
        100,
        estimate_ms=500,
        is_lasting=is_lasting,
        may_miss=may_miss,
        max_per_worker=1 if is_lasting else 0,
    )
    return model.JobSpec(
        job_id,
        "q",
        pool,
        "payload",
        (step,),
        max_attempts=max_attempts,
        objective_ms=600,
        stretch=1.6,
    )


async def submit(
    store: fakes.FakeStore, workers: fakes.FakeWorkers, spec: model.JobSpec
) -> None:
    """Store a job as a node does on submission."""
    for number, step in enumerate(spec.steps):
        workers.cpu_by_step[spec.job_id, number] = step.cpu_millis
        if step.is_lasting:
            workers.lasting_jobs.add(spec.job_id)
    await store.append(
        services.Topic.COMMANDS,
        PARTITION,
        [services.KeyedRecord("j" + spec.job_id, state.encode_spec(spec))],
    )


class OwnerHarness:
    """A store, workers and a sequence of owners."""

    store: fakes.FakeStore
    workers: fakes.FakeWorkers
    adviser: fake_adviser.FakeAdviser
    confirmed_at: float | None  # None: ownership counts as confirmed just now
    owner: pool_owner.PoolOwner
    epoch: int
    events: list[tuple[str, dict[str, object]]]  # that the owners have logged
    owns_pool: Callable[[str], bool]
    weights: dict[str, float]  # of teams; 1.0 for others
    _frozen_by_epoch: dict[int, float]

    def __init__(self, workers: fakes.FakeWorkers) -> None:
        self.store = fakes.FakeStore()
        self.adviser = fake_adviser.FakeAdviser()
        self.workers = workers
        self.confirmed_at = None
        self.epoch = 0
        self.events = []
        self.owns_pool = lambda pool: True
        self.weights = {}
        self._frozen_by_epoch = {}

    def make_owner(self) -> pool_owner.PoolOwner:
        """Return the next owner, with a later epoch."""
        self.epoch += 1
        epoch = self.epoch
        loop = asyncio.get_running_loop()

        def confirmed_at() -> float:
            if epoch in self._frozen_by_epoch:
                return self._frozen_by_epoch[epoch]
            return loop.time() if self.confirmed_at is None else self.confirmed_at

        self.owner = pool_owner.PoolOwner(
            PARTITION,
            self.epoch,
            self.owns_pool,
            confirmed_at,
            lambda owner: None,
            self.store,
            self.workers,
            self.workers,
            fake_adviser.make_calls(self.adviser),
            self.workers,
            pool_owner.OwnerSettings(LEASE_MAX_S),
            self._log_event,
            telemetry.JobMetrics(),
            None,
            lambda team: self.weights.get(team, 1.0),
        )
        return self.owner

    def _log_event(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def freeze_confirmation(self, now: float, epoch: int | None = None) -> None:
        """Fix the time of the confirmation of an owner, so that it ages.

        That of the current owner is fixed once; another one's is replaced.
        """
        if epoch is None:
            self._frozen_by_epoch.setdefault(self.epoch, now)
        else:
            self._frozen_by_epoch[epoch] = now

    async def submit(self, spec: model.JobSpec) -> None:
        """Store a job as a node does on submission."""
        await submit(self.store, self.workers, spec)

    async def cancel(self, job_id: str) -> None:
        """Store a cancellation."""
        await self.store.append(
            services.Topic.COMMANDS,
            PARTITION,
            [services.KeyedRecord("c" + job_id, b"1")],
        )

    async def wait_state(
        self, job_id: str, wanted: model.JobState, timeout_s: float = 30.0
    ) -> None:
        """Wait until the owner reports a state."""
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(Exception):
                    if self.owner.describe(job_id) is wanted:
                        return
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_owner(harness: OwnerHarness) -> AsyncIterator[pool_owner.PoolOwner]:
    """Run the next owner inside the context."""
    owner = harness.make_owner()
    async with pool_owner.own_partition(owner):
        yield owner
