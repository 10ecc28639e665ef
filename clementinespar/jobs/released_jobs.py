"""Ids of jobs that one partition has left to others, for the owner of the partition.

A job whose queue has been moved is stored in its new partition only after the earlier
ones have released its id. A command that reaches a released id later is held: its job
does not start before all other partitions have released the id in turn.
`docs/design/moved-queues.md` has the protocol.
"""

import asyncio
import json
import time
from collections.abc import Callable, Iterable, Mapping

from clementinespar import decoding
from clementinespar.jobs import model, services, telemetry

# Longer than a submission may be repeated, and than an append may take effect late.
RETENTION_MS = 150_000
# An append confirms for this long that no later owner of the partition has begun, which
# may take a job back. The one that asks comes again after `RELEASE_POLL_S`.
CONFIRMATION_MAX_AGE_S = 1.0


class Release:
    """The release of one id."""

    __slots__ = (
        "partitions",
        "released_ms",
        "stored_at",
        "is_pending",
        "request_count",
        "held",
    )

    partitions: set[int]  # that may have the job since
    released_ms: int  # Unix ms of the newest request
    # Event-loop time at which the store had it; None: no request may be answered by it.
    stored_at: float | None
    is_pending: bool  # the next append, or one that is not answered, has it
    request_count: int
    held: bytes | None  # the job, if its command came after the release

    def __init__(self, partitions: Iterable[int], released_ms: int) -> None:
        self.partitions = set(partitions)
        self.released_ms = released_ms
        self.stored_at = None
        self.is_pending = False
        self.request_count = 0
        self.held = None


class ReleasedJobs:
    """The released ids of a partition.

    Parameters
    ----------
    finished_commands : set of str
        Ids of jobs whose commands are to be deleted.
    flush_wanted : asyncio.Event
        Requests an append.
    """

    _by_id: dict[str, Release]
    _held_ids: set[str]
    _dirty: set[str]  # ids to store with the next append

    def __init__(
        self, finished_commands: set[str], flush_wanted: asyncio.Event
    ) -> None:
        self._finished_commands = finished_commands
        self._flush_wanted = flush_wanted
        self._by_id = {}
        self._held_ids = set()
        self._dirty = set()

    def answer(
        self,
        job_id: str,
        partition: int,
        asking: int,
        describe: Callable[[str], model.JobState | None],
    ) -> dict[str, object]:
        """Return the state of a job that is here, else whether its id is released.

        The release counts once it is stored; until then, the caller has to ask again.

        Parameters
        ----------
        partition : int
            This partition.
        asking : int
            The partition that wants the job.
        describe : callable
            Returns the state of a job that the owner knows.
        """
        if not self.holds(job_id):
            state = describe(job_id)
        else:  # of two partitions that hold a command, the lower one gets the job
            state = model.JobState.QUEUED if partition < asking else None
        if state is not None:
            return {"state": state.value, "is_released": False}
        return {"state": None, "is_released": self._release(job_id, asking)}

    def _release(self, job_id: str, asking: int) -> bool:
        """Record a request; True if an append since the first one has succeeded."""
        release = self._by_id.setdefault(job_id, Release((), 0))
        release.released_ms = int(time.time() * 1000)
        release.request_count += 1
        if asking in release.partitions:
            stored_at, release.stored_at = release.stored_at, None
            now = asyncio.get_running_loop().time()
            if stored_at is not None and now - stored_at < CONFIRMATION_MAX_AGE_S:
                return True
            if release.is_pending:
                return False
        release.partitions.add(asking)
        release.stored_at = None
        release.is_pending = True
        self._dirty.add(job_id)
        self._flush_wanted.set()
        return False

    def hold(self, job_id: str, value: bytes) -> bool:
        """Hold the command of a released job; False if the id is not released."""
        release = self._by_id.get(job_id)
        if release is None:
            return False
        release.held = value
        self._held_ids.add(job_id)
        self._finished_commands.discard(job_id)
        return True

    def holds(self, job_id: str) -> bool:
        """Whether a command of the released job is held."""
        return job_id in self._held_ids

    def find_held(self) -> dict[str, Release]:
        """Return the releases after which a command came, by the id of the job."""
        return {job_id: self._by_id[job_id] for job_id in self._held_ids}

    def take_back(self, job_id: str) -> services.KeyedRecord:
        """End a release and return the held command."""
        value = self._by_id.pop(job_id).held
        self._held_ids.discard(job_id)
        self._dirty.add(job_id)
        return services.KeyedRecord("j" + job_id, value or b"")

    def drop_held(self, job_id: str) -> None:
        """Delete the command of a job that another partition has."""
        self._by_id[job_id].held = None
        self._held_ids.discard(job_id)
        self._finished_commands.add(job_id)

    # Storage, by `progress_writer.ProgressWriter`.

    def take_changes(self) -> set[str]:
        """Return the ids to store with the next append."""
        changes = self._dirty
        self._dirty = set()
        return changes

    def encode(self, job_ids: Iterable[str]) -> list[services.KeyedRecord]:
        """Return the stored form of some releases; that of an ended one is empty."""
        records = []
        for job_id in sorted(job_ids):
            release = self._by_id.get(job_id)
            value = b""
            if release is not None:
                fields = {
                    "partitions": sorted(release.partitions),
                    "released_ms": release.released_ms,
                }
                value = json.dumps(fields, separators=(",", ":")).encode()
            records.append(services.KeyedRecord("r" + job_id, value))
        return records

    def mark_stored(self, job_ids: Iterable[str]) -> None:
        """Record that the releases which were taken are stored."""
        now = asyncio.get_running_loop().time()
        for job_id in job_ids:
            release = self._by_id.get(job_id)
            if release is not None and job_id not in self._dirty:
                release.stored_at = now
                release.is_pending = False

    def restore(
        self, progress: Mapping[str, bytes], log_event: services.EventLog
    ) -> None:
        """Restore the releases of previous owners from the newest progress records.

        One that cannot be read counts as a release to a partition that is not known.
        """
        for key, value in progress.items():
            if not key.startswith("r"):
                continue
            release = Release((), int(time.time() * 1000))
            try:
                fields = decoding.parse_object(value)
                release.partitions = set(map(int, fields["partitions"]))
                release.released_ms = int(fields["released_ms"])
            except decoding.ERRORS as error:
                telemetry.log_invalid_entry(log_event, key, error)
            self._by_id[key[1:]] = release

    def drop_expired(self, now_ms: float) -> list[str]:
        """Forget releases that are old enough, and return their ids."""
        expired = [
            job_id
            for job_id, release in self._by_id.items()
            if now_ms - release.released_ms > RETENTION_MS
            and release.held is None
            and job_id not in self._finished_commands
            and job_id not in self._dirty
        ]
        for job_id in expired:
            del self._by_id[job_id]
        return expired
