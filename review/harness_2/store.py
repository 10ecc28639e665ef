"""The platform's store: topics, keyed topics and groups."""

import asyncio
import base64
import dataclasses
import json
import struct
import time
from typing import Any

from harness_2 import web

ANSWER_S = 0.004
PARTS = 24
TTL_MIN_MS = 1000


@dataclasses.dataclass
class Partition:
    """Records of one partition."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = dataclasses.field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    replies: dict[int, tuple[int, int]] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def add(self, content: bytes, is_keyed: bool) -> None:
        """Append one record and wake the readers."""
        if is_keyed:
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
        self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()


@dataclasses.dataclass
class Member:
    """A member of a group."""

    seen_at: float
    ttl_s: float
    parts: set[int] = dataclasses.field(default_factory=set)
    # Taken away in a generation, and not given up by the member yet.
    leaving: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Group:
    """A group whose members share the partitions of a topic."""

    topic: str = ""
    generation: int = 0
    members: dict[str, Member] = dataclasses.field(default_factory=dict)

    def review(self) -> None:
        """Drop silent members and deal free partitions evenly."""
        now = time.monotonic()
        changed = False
        for name, member in list(self.members.items()):
            if now - member.seen_at > member.ttl_s:
                del self.members[name]
                changed = True
        if self.members:
            changed |= self._deal()
        if changed:
            self.generation += 1

    def _deal(self) -> bool:
        changed = False
        members = [self.members[name] for name in sorted(self.members)]
        held = {p for member in members for p in (*member.parts, *member.leaving)}
        for part in range(PARTS):
            if part not in held:
                min(members, key=lambda m: len(m.parts)).parts.add(part)
                changed = True
        while True:
            most = max(members, key=lambda m: len(m.parts))
            least = min(members, key=lambda m: len(m.parts) + self._coming(m))
            if len(most.parts) <= len(least.parts) + self._coming(least) + 1:
                return changed
            most.leaving[most.parts.pop()] = self.generation + 1
            changed = True

    def _coming(self, member: Member) -> int:
        """Return the partitions on their way to a member, the smallest one."""
        smallest = min(self.members.values(), key=lambda m: len(m.parts))
        if member is not smallest:
            return 0
        return sum(len(other.leaving) for other in self.members.values())

    def join(self, name: str, ttl_s: float, generation: int) -> list[int]:
        """Add or keep a member; returns its partitions."""
        now = time.monotonic()
        member = self.members.get(name)
        if member is None:
            self.review()
            member = self.members[name] = Member(now, ttl_s)
            self.generation += 1
        member.seen_at = now
        for part, since in list(member.leaving.items()):
            if generation >= since:
                del member.leaving[part]
        self.review()
        return sorted(member.parts)


class Store:
    """The store; `gate` may delay, refuse or close a call before it has an effect."""

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.groups: dict[str, Group] = {}
        self.server = web.Server(self._handle)
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        await self.server.open("127.0.0.1")
        self.address = f"127.0.0.1:{self.server.port}"

    def partition(self, topic: str, number: int = 0) -> Partition:
        """Return a partition, created on first use."""
        return self.partitions.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write an entry as the operator or a minion does; None removes it."""
        name = key.encode()
        content = b"" if value is None else json.dumps(value).encode()
        self.partition(topic).add(bytes((len(name),)) + name + content, True)

    def holder(self, part: int) -> str:
        """Return the member that holds a partition, or an empty string."""
        for group in self.groups.values():
            for name, member in group.members.items():
                if part in member.parts or part in member.leaving:
                    return name
        return ""

    async def _handle(self, request: web.Request) -> web.Reply:
        await asyncio.sleep(ANSWER_S)
        call = request.path.rpartition("/")[2]
        if call == "log-append":
            return self._append(request)
        if call == "log-read":
            return await self._read(request)
        if call == "log-newest":
            return self._newest(request)
        if call == "log-trim":
            return web.reply_json(200, {})
        if call == "log-owners":
            group = self.groups.setdefault(request.query["group"], Group())
            group.review()
            rows = [
                [group.topic, part, name, 0]
                for name, member in group.members.items()
                for part in sorted({*member.parts, *member.leaving})
            ]
            return web.reply_json(200, {"parts": rows})
        if call == "log-join":
            body = request.json()
            group = self.groups.setdefault(body["group"], Group(body["topics"][0]))
            group.topic = body["topics"][0]
            ttl_s = max(body["ttlMs"], TTL_MIN_MS) / 1000
            parts = group.join(body["member"], ttl_s, body.get("generation", 0))
            fields = {
                "generation": group.generation,
                "ttlMs": body["ttlMs"],
                "parts": [[group.topic, part, 0] for part in parts],
            }
            return web.reply_json(200, fields)
        if call == "log-leave":
            body = request.json()
            group = self.groups.setdefault(body["group"], Group())
            if group.members.pop(body["member"], None) is not None:
                group.generation += 1
            group.review()
            return web.reply_json(200, {})
        return web.reply_json(404, {})

    def _append(self, request: web.Request) -> web.Reply:
        topic = request.query["topic"]
        partition = self.partition(topic, request.number("part"))
        sequence = None
        if "producer" in request.query:
            epoch, sequence = request.number("epoch"), request.number("seq")
            if epoch < partition.epoch:
                return web.reply_json(409, {"reason": "fenced"})
            if epoch == partition.epoch and request.body:
                if sequence in partition.replies:
                    offset, end = partition.replies[sequence]
                    return web.reply_json(200, {"offset": offset, "end": end})
                if sequence != partition.sequence + 1:
                    body = {"reason": "seq", "expected": partition.sequence + 1}
                    return web.reply_json(409, body)
            if epoch > partition.epoch:
                partition.replies.clear()
            partition.epoch, partition.sequence = epoch, sequence
        offset, position = len(partition.records), 0
        while position < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, position)
            content = request.body[position + 4 : position + 4 + size]
            partition.add(content, topic.startswith("keyed."))
            position += 4 + size
        end = len(partition.records)
        if sequence is not None:
            partition.replies[sequence] = (offset, end)
            for old in sorted(partition.replies)[:-5]:
                del partition.replies[old]
        return web.reply_json(200, {"offset": offset, "end": end})

    async def _read(self, request: web.Request) -> web.Reply:
        partition = self.partition(request.query["topic"], request.number("part"))
        start = request.number("from")
        until = time.monotonic() + request.number("waitMs") / 1000
        while len(partition.records) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await partition.changed.wait()
            except TimeoutError:
                break
        data = struct.pack(">QQ", len(partition.records), 0)
        for content in partition.records[start : start + 2000]:
            data += struct.pack(">I", len(content)) + content
        return web.Reply(200, data)

    def _newest(self, request: web.Request) -> web.Reply:
        partition = self.partition(request.query["topic"], request.number("part"))
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items: list[dict[str, Any]] = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[:500]
        ]
        body = {
            "items": items,
            "hasMore": len(keys) > 500,
            "end": len(partition.records),
        }
        return web.reply_json(200, body)
