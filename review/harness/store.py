"""Stand-in of the platform's store: partitions of a log, keyed topics and a group."""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Mapping

from harness import web

ANSWER_S = 0.004
PARTS = 24
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
READ_DEFAULT_KB = 1_024
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class Partition:
    """Records of one partition, and what it knows of its producer."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.epoch = -1
        self.sequence = -1
        self.answers: dict[int, bytes] = {}  # of the last five appends, by sequence
        self.changed = asyncio.Event()

    def add(self, content: bytes, is_keyed: bool) -> None:
        """Add one record."""
        if is_keyed:
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
        self.records.append(content)

    def wake(self) -> None:
        """Wake the reads that wait."""
        self.changed.set()
        self.changed = asyncio.Event()


class Member:
    """A member of the group."""

    def __init__(self) -> None:
        self.seen_at = 0.0
        self.ttl_s = 0.0
        self.parts: set[int] = set()
        # Taken from the member, which has not joined with this generation yet.
        self.leaving: dict[int, int] = {}


class Group:
    """Assigns the partitions evenly; one moves only once its member has let it go."""

    def __init__(self, parts: int) -> None:
        self.generation = 0
        self.members: dict[str, Member] = {}
        self._parts = parts

    def expire(self) -> None:
        """Drop members that have not joined for their time to live."""
        now = time.monotonic()
        gone = [n for n, m in self.members.items() if now - m.seen_at > m.ttl_s]
        for name in gone:
            del self.members[name]
        if gone:
            self._assign()

    def join(self, body: Mapping[str, object]) -> dict[str, object]:
        """Add a member or keep it."""
        self.expire()
        name = str(body["member"])
        is_new = name not in self.members
        member = self.members.setdefault(name, Member())
        member.seen_at = time.monotonic()
        member.ttl_s = int(str(body["ttlMs"])) / 1000
        seen = int(str(body.get("generation", 0)))
        released = [p for p, g in member.leaving.items() if seen >= g]
        for part in released:
            del member.leaving[part]
        if is_new or released:
            self._assign()
        return {
            "generation": self.generation,
            "ttlMs": int(member.ttl_s * 1000),
            "parts": [["keyed.progress", p, 0] for p in sorted(member.parts)],
        }

    def leave(self, name: str) -> None:
        """Remove a member at once."""
        if self.members.pop(name, None) is not None:
            self._assign()

    def owners(self) -> list[list[object]]:
        """Return topic, partition, member and offset of each assigned partition."""
        self.expire()
        return [
            ["keyed.progress", part, name, 0]
            for name, member in sorted(self.members.items())
            for part in sorted(member.parts)
        ]

    def owner_of(self, part: int) -> str:
        """Return the member that has a partition, or an empty string."""
        return next((n for n, m in self.members.items() if part in m.parts), "")

    def _assign(self) -> None:
        names = sorted(self.members)
        if not names:
            return
        changed = False
        low, extra = divmod(self._parts, len(names))
        quota = {name: low + (i < extra) for i, name in enumerate(names)}
        for name in names:
            member = self.members[name]
            while len(member.parts) > quota[name]:
                part = max(member.parts)
                member.parts.discard(part)
                member.leaving[part] = self.generation + 1
                changed = True
        held = {p for m in self.members.values() for p in {*m.parts, *m.leaving}}
        for part in sorted(set(range(self._parts)) - held):
            name = min(names, key=lambda n: len(self.members[n].parts) - quota[n])
            self.members[name].parts.add(part)
            changed = True
        if changed:
            self.generation += 1


class Store:
    """The store; a case may set `answer_delay_s`."""

    def __init__(self, parts: int = PARTS) -> None:
        self.group = Group(parts)
        self.answer_delay_s = ANSWER_S
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._server = web.Server(self._handle)

    @property
    def port(self) -> int:
        """Return the port of the store."""
        return self._server.port

    async def open(self) -> None:
        """Start to listen."""
        await self._server.open()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def partition(self, topic: str, number: int) -> Partition:
        """Return a partition, created on first use."""
        return self._partitions.setdefault((topic, number), Partition())

    def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as an operator or another writer does; b"" deletes the key."""
        name = key.encode()
        partition = self.partition(topic, 0)
        partition.add(bytes((len(name),)) + name + value, True)
        partition.wake()

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record in JSON."""
        self.put_raw(topic, key, web.encode(value))

    async def _handle(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        headers: Mapping[str, str],
        body: bytes,
    ) -> web.Answer:
        await asyncio.sleep(self.answer_delay_s)
        call = path.removeprefix("/v1/")
        topic, number = query.get("topic", ""), int(query.get("part", "0"))
        if method == "POST" and call == "log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            return self._append(topic, number, query, body)
        if method == "GET" and call == "log-read":
            return await self._read(topic, number, query)
        if method == "GET" and call == "log-newest":
            return self._list_newest(topic, number, query.get("after", ""))
        if method == "POST" and call == "log-join":
            return 200, web.encode(self.group.join(json.loads(body)))
        if method == "POST" and call == "log-leave":
            self.group.leave(json.loads(body)["member"])
            return 200, b"{}"
        if method == "GET" and call == "log-owners":
            return 200, web.encode({"parts": self.group.owners()})
        return 404, b"{}"

    def _append(
        self, topic: str, number: int, query: Mapping[str, str], body: bytes
    ) -> web.Answer:
        partition = self.partition(topic, number)
        sequence = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            if epoch < partition.epoch:
                return 409, web.encode({"reason": "fenced"})
            if epoch > partition.epoch:
                partition.epoch, partition.answers = epoch, {}
            elif sequence in partition.answers:
                return 200, partition.answers[sequence]
            elif sequence != partition.sequence + 1:
                return 409, web.encode(
                    {"reason": "seq", "expected": partition.sequence + 1}
                )
            partition.sequence = sequence
        offset, position = len(partition.records), 0
        while position < len(body):
            (size,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            partition.add(body[position : position + size], topic.startswith("keyed."))
            position += size
        answer = web.encode({"offset": offset, "end": len(partition.records)})
        if sequence is not None:
            partition.answers[sequence] = answer
            for old in sorted(partition.answers)[:-5]:
                del partition.answers[old]
        partition.wake()
        return 200, answer

    async def _read(
        self, topic: str, number: int, query: Mapping[str, str]
    ) -> web.Answer:
        partition = self.partition(topic, number)
        offset = int(query.get("from", "0"))
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        limit = int(query.get("maxSize", READ_DEFAULT_KB)) * 1024
        while len(partition.records) <= offset and time.monotonic() < end:
            try:
                async with asyncio.timeout(end - time.monotonic()):
                    await partition.changed.wait()
            except TimeoutError:
                break
        parts = [_OFFSETS.pack(len(partition.records), 0)]
        size = 0
        for content in partition.records[offset:]:
            size += len(content) + _LENGTH.size
            if size > limit and len(parts) > 1:
                break
            parts.append(_LENGTH.pack(len(content)) + content)
        return 200, b"".join(parts)

    def _list_newest(self, topic: str, number: int, after: str) -> web.Answer:
        partition = self.partition(topic, number)
        items: list[dict[str, object]] = []
        size = 0
        keys = [key for key in sorted(partition.newest) if key > after]
        for key in keys:
            value, offset = partition.newest[key]
            text = base64.b64encode(value).decode()
            size += len(key) + len(text) + 50
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append({"key": key, "value": text, "offset": offset})
        return 200, web.encode(
            {
                "items": items,
                "hasMore": len(items) < len(keys),
                "end": len(partition.records),
            }
        )


def dump(log: Store, topics: tuple[str, ...]) -> dict[str, object]:
    """Return what a store holds of some topics, for `restore`."""
    return {
        "generation": log.group.generation,
        "partitions": [
            {
                "topic": topic,
                "part": number,
                "epoch": partition.epoch,
                "sequence": partition.sequence,
                "records": [
                    base64.b64encode(content).decode() for content in partition.records
                ],
            }
            for (topic, number), partition in sorted(log._partitions.items())
            if topic in topics and partition.records
        ],
    }


def restore(log: Store, dumped: dict[str, object]) -> None:
    """Let a store hold what another one held."""
    log.group.generation = int(str(dumped["generation"]))
    partitions = dumped["partitions"]
    assert isinstance(partitions, list)
    for fields in partitions:
        partition = log.partition(fields["topic"], fields["part"])
        for text in fields["records"]:
            partition.add(base64.b64decode(text), True)
        partition.epoch, partition.sequence = fields["epoch"], fields["sequence"]
