"""Finds the partition that has a job whose queue may have been moved."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from clementinespar import errors
from clementinespar.jobs import model, moved_queues, partitions, services

PRESENT_TIMEOUT_S = 0.5  # a change of owner takes longer, and the job is seldom moved


@dataclasses.dataclass(frozen=True, slots=True)
class FoundJob:
    """A job at its owner."""

    partition: int
    state: model.JobState


class JobLocator:
    """Asks the owners of partitions for a job.

    Parameters
    ----------
    ask : callable
        Returns the answer of the owner of a partition to a query; takes the partition,
        the path and the timeout in seconds.
    """

    def __init__(
        self,
        partition_map: partitions.PartitionMap,
        moved: moved_queues.MovedQueues,
        configuration: services.ConfigurationSource,
        ask: Callable[[int, str, float], Awaitable[dict[str, Any]]],
    ) -> None:
        self._partition_map = partition_map
        self._moved = moved
        self._configuration = configuration
        self._ask = ask

    def other_partitions(
        self, pool: str, former: Iterable[tuple[str, str]]
    ) -> frozenset[int]:
        """Return all partitions that may have jobs, except that of a pool.

        Parameters
        ----------
        former : iterable of tuple of str
            Earlier names and pools of the queue.
        """
        configuration = self._configuration.current
        pools = () if configuration is None else configuration.pools_by_name
        found = self._moved.find_partitions(pool, former)
        return found.union(map(self._partition_map.find, pools)) - {
            self._partition_map.find(pool)
        }

    async def find(
        self, asked: Iterable[int], job_id: str, timeout_s: float
    ) -> FoundJob | None:
        """Return a job that one of some partitions has, or None.

        Raises
        ------
        errors.ClementinesparError
            No partition that answered has it, and the owner of one did not answer.
        """
        failure: errors.ClementinesparError | None = None
        replies = {
            partition: asyncio.ensure_future(
                self._ask(partition, f"/jobs/{job_id}", timeout_s)
            )
            for partition in sorted(asked)
        }
        try:
            for partition, reply in replies.items():
                try:
                    state = (await reply)["state"]
                except errors.ClementinesparError as error:
                    failure = error
                    continue
                if state is not None:
                    return FoundJob(partition, model.JobState(state))
        finally:
            for reply in replies.values():
                reply.cancel()
            await asyncio.gather(*replies.values(), return_exceptions=True)
        if failure is not None:
            raise failure
        return None

    async def find_elsewhere(
        self,
        pool: str,
        former: Iterable[tuple[str, str]],
        job_id: str,
        timeout_s: float,
    ) -> FoundJob | None:
        """Return a job that is in another partition than that of its queue, or None.

        Raises
        ------
        errors.ClementinesparError
            A partition that probably has the job has not answered in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        present = self._partition_map.find(pool)
        moved = self._moved.find_partitions(pool, former)
        try:
            if await self.find({present}, job_id, PRESENT_TIMEOUT_S) is not None:
                return None
        except errors.ClementinesparError:
            if not moved:
                return None
        if moved:
            found = await self.find(moved, job_id, end - loop.time())
            if found is not None:
                return found
        others = self.other_partitions(pool, former) - moved
        try:
            return await self.find(others, job_id, PRESENT_TIMEOUT_S)
        except errors.ClementinesparError:
            return None
