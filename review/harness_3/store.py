"""Stand-in of the platform's store: the log, keyed topics and groups."""

import asyncio
import base64
import bisect
import dataclasses
import json
import struct
import time
import urllib.parse
from typing import Any

import wire

POLL_S = 0.005
PAGE_ITEMS = 500


@dataclasses.dataclass
class Partition:
    """Records of one partition; histories are kept whole."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = dataclasses.field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    recent: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    sorted_keys: list[str] = dataclasses.field(default_factory=list)
    sorted_at: int = -1  # number of records at which the keys were sorted

    def append(self, content: bytes) -> None:
        """Append one record of a keyed topic."""
        size = content[0]
        key, value = content[1 : 1 + size].decode(), content[1 + size :]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(content)


@dataclasses.dataclass
class Member:
    """One member of the group."""

    seen_at: float
    ttl_s: float
    generation: int = 0  # the newest that it has named


class Store:
    """State of the stand-in; `parts` partitions for each topic of the system."""

    def __init__(self, parts: int, answer_s: float = 0.004) -> None:
        self.parts = parts
        self.answer_s = answer_s
        self.generation = 0
        self.members: dict[str, Member] = {}
        self.holders: dict[int, str] = {}
        self.targets: dict[int, str] = {}
        self._told: dict[int, int] = {}  # by partition: generation of its removal
        self._partitions: dict[tuple[str, int], Partition] = {}
        self.server = wire.Server(self.handle)

    def partition(self, topic: str, number: int) -> Partition:
        """Return a partition, created on first use."""
        return self._partitions.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, fields: object) -> None:
        """Write an entry as an operator or a minion does."""
        name = key.encode()
        value = b"" if fields is None else json.dumps(fields).encode()
        self.partition(topic, 0).append(bytes((len(name),)) + name + value)

    def status(self, key: str) -> dict[str, Any] | None:
        """Return an entry that the system has written for the operators."""
        found = self.partition("keyed.status", 0).newest.get(key)
        return None if found is None else json.loads(found[0])

    async def handle(self, call: wire.Call) -> wire.Reply | None:
        """Answer one call."""
        await asyncio.sleep(self.answer_s)
        name = call.path.removeprefix("/v1/")
        query = {k: urllib.parse.unquote(v) for k, v in call.query.items()}
        if name == "log-append":
            return self._append(query, call.body)
        if name == "log-read":
            return await self._read(query)
        if name == "log-newest":
            return self._list(query)
        if name == "log-join":
            return wire.reply(200, self._join(call.fields()))
        if name == "log-leave":
            self.members.pop(call.fields()["member"], None)
            self._deal()
            return wire.reply(200, {})
        if name == "log-owners":
            self._deal()
            rows = [["keyed.progress", p, m, 0] for p, m in self.holders.items()]
            return wire.reply(200, {"parts": rows})
        return wire.reply(404, {})

    def _append(self, query: dict[str, str], body: bytes) -> wire.Reply:
        topic, number = query["topic"], int(query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return wire.reply(403, {})
        found = self.partition(topic, number)
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            if epoch < found.epoch:
                return wire.reply(409, {"reason": "fenced"})
            if epoch == found.epoch:
                if sequence in found.recent:
                    return wire.reply(200, found.recent[sequence])
                if sequence != found.sequence + 1:
                    return wire.reply(
                        409, {"reason": "seq", "expected": found.sequence + 1}
                    )
            else:
                found.recent.clear()
            found.epoch, found.sequence = epoch, sequence
        first, position = len(found.records), 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            found.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        answer = {"offset": first, "end": len(found.records)}
        if "producer" in query:
            found.recent[int(query["seq"])] = answer
            for old in sorted(found.recent)[:-5]:
                del found.recent[old]
        return wire.reply(200, answer)

    async def _read(self, query: dict[str, str]) -> wire.Reply:
        found = self.partition(query["topic"], int(query["part"]))
        offset = int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(found.records) <= offset and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
        data = struct.pack(">QQ", len(found.records), 0)
        for record in found.records[offset:]:
            if len(data) + len(record) > 1_000_000:
                break
            data += struct.pack(">I", len(record)) + record
        return 200, data

    def _list(self, query: dict[str, str]) -> wire.Reply:
        found = self.partition(query["topic"], int(query["part"]))
        if found.sorted_at != len(found.records):
            found.sorted_at = len(found.records)
            found.sorted_keys = sorted(found.newest)
        begin = bisect.bisect_right(found.sorted_keys, query.get("after", ""))
        keys = found.sorted_keys[begin : begin + PAGE_ITEMS + 1]
        items = [
            {
                "key": key,
                "value": base64.b64encode(found.newest[key][0]).decode(),
                "offset": found.newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        return wire.reply(
            200,
            {
                "items": items,
                "hasMore": len(keys) > PAGE_ITEMS,
                "end": len(found.records),
            },
        )

    def _join(self, body: dict[str, Any]) -> dict[str, object]:
        now = time.monotonic()
        member = self.members.setdefault(body["member"], Member(now, 0.0))
        member.seen_at, member.ttl_s = now, body["ttlMs"] / 1000
        member.generation = max(member.generation, body["generation"])
        self._deal()
        parts = [
            p
            for p, holder in sorted(self.holders.items())
            if holder == body["member"] == self.targets.get(p)
        ]
        return {
            "generation": self.generation,
            "parts": [["keyed.progress", p, 0] for p in parts],
        }

    def _deal(self) -> None:
        """Deal the partitions evenly; those that move wait for their holder."""
        now = time.monotonic()
        for name, member in list(self.members.items()):
            if now - member.seen_at > member.ttl_s:
                del self.members[name]
        names = sorted(self.members)
        wanted = self._plan(names)
        if wanted != self.targets:
            self.generation += 1
            for part in range(self.parts):
                holder = self.holders.get(part)
                if holder is not None and holder != wanted.get(part):
                    self._told.setdefault(part, self.generation)
            self.targets = wanted
        changed = False
        for part in range(self.parts):
            holder, target = self.holders.get(part), wanted.get(part)
            if holder == target:
                self._told.pop(part, None)
                continue
            is_free = holder is None or holder not in self.members
            if not is_free:
                is_free = self.members[holder].generation >= self._told.get(part, 0)
            if is_free:
                if target is None:
                    self.holders.pop(part, None)
                else:
                    self.holders[part] = target
                self._told.pop(part, None)
                changed = True
        if changed:
            self.generation += 1

    def _plan(self, names: list[str]) -> dict[int, str]:
        if not names:
            return {}
        counts = dict.fromkeys(names, 0)
        most = -(-self.parts // len(names))
        plan: dict[int, str] = {}
        for part in range(self.parts):
            holder = self.targets.get(part)
            if holder in counts and counts[holder] < most:
                plan[part] = holder
                counts[holder] += 1
        for part in range(self.parts):
            if part not in plan:
                plan[part] = min(names, key=lambda n: counts[n])
                counts[plan[part]] += 1
        return plan
