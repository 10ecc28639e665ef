"""Finds the partition that has a job whose queue may have been moved."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from clementinespar import codes, errors
from clementinespar.jobs import model, moved_queues, partitions, services

PRESENT_TIMEOUT_S = 0.5  # a change of owner takes longer, and the job is seldom moved
# A release takes one append, usually a few milliseconds.
RELEASE_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class FoundJob:
    """A job at its owner."""

    partition: int
    state: model.JobState
    is_held: bool  # only its command is there, and another partition may have the job


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

    def partitions_with_pools(self) -> frozenset[int]:
        """Return the partitions of the pools in which jobs may be.

        It is empty before the first configuration.
        """
        configuration = self._configuration.current
        pools = () if configuration is None else configuration.pools_with_jobs()
        return frozenset(map(self._partition_map.find, pools))

    def other_partitions(
        self, pool: str, former: Iterable[tuple[str, str]]
    ) -> frozenset[int]:
        """Return all partitions that may have jobs, except that of a pool.

        Parameters
        ----------
        former : iterable of tuple of str
            Earlier names and pools of the queue.
        """
        found = self._moved.find_partitions(pool, former)
        found |= self.partitions_with_pools()
        return found - {self._partition_map.find(pool)}

    async def claim(
        self,
        pool: str,
        former: Iterable[tuple[str, str]],
        job_id: str,
        timeout_s: float,
    ) -> FoundJob | None:
        """Return a job that an earlier pool of its queue has, or None.

        If it is None and the queue was moved recently, the earlier pools will not start
        the job any more, so that `pool` may.

        Raises
        ------
        errors.ClementinesparError
            An earlier pool could not be asked in time.
        """
        asked = self._moved.find_partitions(pool, former)
        self._moved.note_configuration(self._configuration.current)
        is_recent = self._moved.is_recent(pool)
        asking = self._partition_map.find(pool) if is_recent else None
        return await self.find(asked, job_id, timeout_s, asking)

    async def _ask_release(
        self, partition: int, job_id: str, timeout_s: float, asking: int
    ) -> dict[str, Any]:
        """Return the answer of an owner that has the job or has released its id."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        path = f"/release/{job_id}?asking={asking}"
        while True:
            reply = await self._ask(partition, path, end - loop.time())
            if reply["state"] is not None or reply["is_released"]:
                return reply
            if loop.time() + RELEASE_POLL_S > end:
                raise errors.ClementinesparError(
                    codes.ResultCode.JOB_OWNER_UNKNOWN,
                    "the owner has not stored the release of the job in time",
                )
            await asyncio.sleep(RELEASE_POLL_S)

    async def find(
        self,
        asked: Iterable[int],
        job_id: str,
        timeout_s: float,
        asking: int | None = None,
    ) -> FoundJob | None:
        """Return a job that one of some partitions has, or None.

        Parameters
        ----------
        asking : int, optional
            The partition for which the others have to release the job if they do not
            have it.

        Raises
        ------
        errors.ClementinesparError
            No partition that answered has it, and the owner of one did not answer.
        """
        failure: errors.ClementinesparError | None = None
        replies = {
            partition: asyncio.ensure_future(
                self._ask(partition, f"/jobs/{job_id}", timeout_s)
                if asking is None
                else self._ask_release(partition, job_id, timeout_s, asking)
            )
            for partition in sorted(asked)
        }
        try:
            for partition, reply in replies.items():
                try:
                    found = await reply
                except errors.ClementinesparError as error:
                    failure = error
                    continue
                if found["state"] is not None:
                    state = model.JobState(found["state"])
                    return FoundJob(partition, state, bool(found.get("is_held")))
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

        It is None if the partition of its queue has the job, or if all others have
        answered that they do not.

        Raises
        ------
        errors.ClementinesparError
            Neither is known in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        present = {self._partition_map.find(pool)}
        # Without an answer, what the others know decides.
        with contextlib.suppress(errors.ClementinesparError):
            found = await self.find(present, job_id, PRESENT_TIMEOUT_S)
            if found is not None and not found.is_held:
                return None
        others = self.other_partitions(pool, former)
        return await self.find(others, job_id, end - loop.time())
