"""Names and pools that each queue has had, kept in the store for all nodes.

A job stays in the pool that its queue had when it was submitted. A configuration comes
into force at a node only once the store has its queues, and once the node has read the
queues of all other nodes after that. So each node knows the pools in which a job may
be, whatever has been restarted since. `docs/design/moved-queues.md` has the reasons.
"""

import asyncio
import hashlib
import json
import random
from collections.abc import Iterable

from clementinespar import decoding
from clementinespar.jobs import model, moved_queues, services, telemetry

PARTITION = 0  # of the topic; the records are few
QUEUES_PER_RECORD = 200  # a record may have 256 KB
# All nodes read a new configuration at the same moment. Most of them then find its
# queues stored by those that come first.
SPREAD_S = 0.2

# Host and path prefix, name and pool of a queue.
_Row = tuple[str, str, str, str]


class QueueHistory:
    """The queues of all configurations that were in force at any node.

    Parameters
    ----------
    spread : random.Random
        Chooses when this node stores queues that others may store as well.
    """

    # Names and pools by host and path prefix, each with the newest version of a
    # configuration with which it was stored.
    _versions_by_place: dict[tuple[str, str], dict[tuple[str, str], int]]
    _read_keys: set[str]  # of the records that are included

    def __init__(
        self,
        store: services.JobStore,
        spread: random.Random,
        log_event: services.EventLog,
    ) -> None:
        self._store = store
        self._spread = spread
        self._log_event = log_event
        self._versions_by_place = {}
        self._read_keys = set()

    async def include(
        self, configuration: model.JobConfiguration
    ) -> model.JobConfiguration | None:
        """Store the queues of a configuration, and return it with their earlier pools.

        None if it is outdated: another node has stored a queue of a later version. No
        job may be stored by it any more, as that node did not find its queues.

        Raises
        ------
        errors.ClementinesparError
            The store did not answer, so that the configuration may not be used yet.
        """
        await self._read()
        if self._find_missing(configuration):
            await asyncio.sleep(self._spread.uniform(0.0, SPREAD_S))
            await self._read()
        missing = self._find_missing(configuration)
        if missing:
            records = encode(missing, configuration.version)
            await self._store.append(services.Topic.QUEUES, PARTITION, records)
            # Of two nodes that store different queues, one reads those of the other.
            await self._read()
            self._log_event(
                "queues_stored", version=configuration.version, queues=len(missing)
            )
        if self._is_outdated(configuration):
            self._log_event("configuration_outdated", version=configuration.version)
            return None
        return moved_queues.with_history(configuration, self._versions_by_place)

    async def _read(self) -> None:
        page = await self._store.list_newest(services.Topic.QUEUES, PARTITION)
        for record in page.records:
            if record.key in self._read_keys or not record.value:
                continue
            self._read_keys.add(record.key)
            try:
                version, rows = decode(record.value)
            except decoding.ERRORS as error:
                telemetry.log_invalid_entry(self._log_event, record.key, error)
                continue
            for host, path_prefix, name, pool in rows:
                known = self._versions_by_place.setdefault((host, path_prefix), {})
                known[name, pool] = max(version, known.get((name, pool), version))

    def _find_missing(self, configuration: model.JobConfiguration) -> list[_Row]:
        """Return the queues of a configuration that were not read from the store."""
        return sorted(
            (queue.host, queue.path_prefix, queue.name, queue.pool)
            for queue in configuration.queues_by_name.values()
            if (queue.name, queue.pool) not in self._find_known(queue)
        )

    def _is_outdated(self, configuration: model.JobConfiguration) -> bool:
        return any(
            version > configuration.version
            for queue in configuration.queues_by_name.values()
            for name_and_pool, version in self._find_known(queue).items()
            if name_and_pool != (queue.name, queue.pool)
        )

    def _find_known(self, queue: model.Queue) -> dict[tuple[str, str], int]:
        return self._versions_by_place.get((queue.host, queue.path_prefix), {})


def encode(rows: Iterable[_Row], version: int) -> list[services.KeyedRecord]:
    """Return records of queues; equal ones have equal keys.

    Parameters
    ----------
    rows : iterable of tuple of str
        Host, path prefix, name and pool of each queue.
    version : int
        Version of their configuration.
    """
    ordered = list(rows)
    records = []
    for begin in range(0, len(ordered), QUEUES_PER_RECORD):
        fields = {
            "version": version,
            "queues": ordered[begin : begin + QUEUES_PER_RECORD],
        }
        value = json.dumps(fields, separators=(",", ":")).encode()
        key = hashlib.sha256(value).hexdigest()[:32]
        records.append(services.KeyedRecord(key, value))
    return records


def decode(value: bytes) -> tuple[int, list[_Row]]:
    """Return the version and the queues of a record.

    Raises one of `decoding.ERRORS`.
    """
    fields = decoding.parse_object(value)
    rows = [
        (str(host), str(path_prefix), str(name), str(pool))
        for host, path_prefix, name, pool in fields["queues"]
    ]
    return int(fields["version"]), rows
