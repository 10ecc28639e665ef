"""Where jobs may be whose queue the configuration has sent to another pool since.

A job stays in the partition of the pool that its queue had when it was submitted. A
repeated submission or a cancellation has to find it there. The store keeps the earlier
pools of a queue; see `queue_history` and `model.Queue.former`. Queues that were moved
while all nodes were of a version without that record are in none. For these, a node
that has just started asks the owners, which compare their jobs with the configuration.
"""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import Any

from clementinespar import errors
from clementinespar.jobs import model, partitions, state

RETRY_S = 2.0  # between requests; a list of owners is used for as long
# A partition without an owner for longer is not asked any more.
ASK_LIMIT_S = 15.0
# How long a submission may be repeated: final states are kept for as long.
REPEAT_MAX_S = 150.0


def with_history(
    configuration: model.JobConfiguration,
    known: Mapping[tuple[str, str], Collection[tuple[str, str]]],
) -> model.JobConfiguration:
    """Return a configuration whose queues have the names and pools of before.

    Parameters
    ----------
    known : mapping of tuple to collection of tuple
        Names and pools by the host and the path prefix, which identify a queue for its
        callers.
    """
    queues = {
        queue.name: model.with_former(
            queue, known.get((queue.host, queue.path_prefix), ())
        )
        for queue in configuration.queues_by_name.values()
    }
    earlier = {pool for queue in queues.values() for _, pool in queue.former}
    return dataclasses.replace(
        configuration,
        queues_by_name=queues,
        earlier_pools=frozenset(earlier),
        recorded_queues=frozenset().union(*known.values()),
    )


def holds_unrecorded_jobs(
    jobs: Iterable[state.JobProgress], configuration: model.JobConfiguration | None
) -> bool:
    """Whether a job has a queue and a pool that the record of queues does not have.

    Its queue was moved while no node kept that record.
    """
    if configuration is None:
        return False
    return any(
        (job.spec.queue, job.spec.pool) not in configuration.recorded_queues
        for job in jobs
        if job.spec.queue  # unknown once the command of a final job is deleted
    )


class MovedQueues:
    """The partitions that a node has to ask for a job before it stores it.

    Parameters
    ----------
    ask : callable
        Returns the answer of the owner of a partition to a query; takes the partition
        and the path.
    """

    _stray_partitions: frozenset[int]  # that held moved jobs when this node started
    _strays_until: float  # event-loop time
    _noted: model.JobConfiguration | None
    # By host and path prefix: name, pool, and the earlier ones.
    _histories: dict[tuple[str, str], tuple[str, str, frozenset[tuple[str, str]]]]
    _moved_at: dict[str, float]  # by pool: when a queue was last moved to it

    def __init__(
        self,
        partition_map: partitions.PartitionMap,
        ask: Callable[[int, str], Awaitable[dict[str, Any]]],
    ) -> None:
        self._partition_map = partition_map
        self._ask = ask
        self._stray_partitions = frozenset()
        self._strays_until = 0.0
        self._noted = None
        self._histories = {}
        self._moved_at = {}

    def find_partitions(
        self, pool: str, former: Iterable[tuple[str, str]]
    ) -> frozenset[int]:
        """Return the partitions beside that of `pool` that may have a job.

        Parameters
        ----------
        former : iterable of tuple of str
            Earlier names and pools of the queue.
        """
        found = frozenset(
            self._partition_map.find(former_pool) for _, former_pool in former
        )
        if asyncio.get_running_loop().time() < self._strays_until:
            found |= self._stray_partitions
        return found - {self._partition_map.find(pool)}

    def note_configuration(self, configuration: model.JobConfiguration | None) -> None:
        """Record when this node saw a queue move; idempotent."""
        if configuration is None or configuration is self._noted:
            return
        self._noted = configuration
        for queue in configuration.queues_by_name.values():
            place = queue.host, queue.path_prefix
            history = queue.name, queue.pool, queue.former
            if queue.former and history != self._histories.get(place):
                self._moved_at[queue.pool] = asyncio.get_running_loop().time()
            self._histories[place] = history

    def is_recent(self, pool: str) -> bool:
        """Whether a job may be on its way to a pool that its queue had before `pool`.

        That is so for a while after a queue was moved to `pool`.
        """
        now = asyncio.get_running_loop().time()
        return now < self._strays_until or self._was_moved_recently(pool, now)

    def _was_moved_recently(self, pool: str, now: float) -> bool:
        return now - self._moved_at.get(pool, -math.inf) < REPEAT_MAX_S

    async def learn(self, wanted: Callable[[], frozenset[int]]) -> None:
        """Ask all owners once for jobs that were moved before this node started.

        Parameters
        ----------
        wanted : callable
            Returns the partitions with pools; empty before the first configuration.
        """
        loop = asyncio.get_running_loop()
        while not wanted():
            await asyncio.sleep(RETRY_S)
        end = loop.time() + ASK_LIMIT_S
        unasked = set(wanted())
        while unasked and loop.time() < end:
            for partition in sorted(unasked):
                try:
                    reply = await self._ask(partition, "/moved/")
                except errors.ClementinesparError:
                    continue
                unasked.discard(partition)
                if reply["has_moved"]:
                    self._stray_partitions |= {partition}
                    self._strays_until = loop.time() + REPEAT_MAX_S
            await asyncio.sleep(RETRY_S)
