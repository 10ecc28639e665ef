"""The difference of two documents, as typed changes with one line of text each."""

import dataclasses
from collections.abc import Iterator, Mapping

import pydantic

from clementinespar.documents import model
from clementinespar.documents import state as documents_state

JsonValue = object


@dataclasses.dataclass(frozen=True, slots=True)
class HostAdded:
    """A host that only the new document names."""

    host_id: str
    pool: str

    @property
    def line(self) -> str:
        """One line for operators."""
        return f"host {self.host_id}: added to pool {self.pool}"


@dataclasses.dataclass(frozen=True, slots=True)
class HostRemoved:
    """A host that only the old document names."""

    host_id: str
    pool: str

    @property
    def line(self) -> str:
        """One line for operators."""
        return f"host {self.host_id}: removed from pool {self.pool}"


@dataclasses.dataclass(frozen=True, slots=True)
class HostRehomed:
    """A host whose home pool differs."""

    host_id: str
    from_pool: str
    to_pool: str

    @property
    def line(self) -> str:
        """One line for operators."""
        return f"host {self.host_id}: from pool {self.from_pool} to {self.to_pool}"


@dataclasses.dataclass(frozen=True, slots=True)
class ItemAdded:
    """A pool, service, team or kind that only the new document has."""

    location: str

    @property
    def line(self) -> str:
        """One line for operators."""
        return f"{self.location}: added"


@dataclasses.dataclass(frozen=True, slots=True)
class ItemRemoved:
    """A pool, service, team or kind that only the old document has."""

    location: str

    @property
    def line(self) -> str:
        """One line for operators."""
        return f"{self.location}: removed"


@dataclasses.dataclass(frozen=True, slots=True)
class ValueChanged:
    """A value that differs between the documents."""

    location: str
    old: JsonValue
    new: JsonValue

    @property
    def line(self) -> str:
        """One line for operators."""
        return f"{self.location}: {self.old} -> {self.new}"


Change = HostAdded | HostRemoved | HostRehomed | ItemAdded | ItemRemoved | ValueChanged

_ADAPTER = pydantic.TypeAdapter(model.Document)


def difference(old: model.Document, new: model.Document) -> list[Change]:
    """Return what changes when a new document replaces an old one.

    The order of hosts within a pool has no meaning and is not a change.
    """
    changes: list[Change] = list(_host_changes(old, new))
    changes.extend(_value_changes("", _dump_values(old), _dump_values(new)))
    return changes


def _host_changes(old: model.Document, new: model.Document) -> Iterator[Change]:
    old_home = documents_state.home_pool_by_host(old)
    new_home = documents_state.home_pool_by_host(new)
    for host_id in sorted(old_home.keys() | new_home.keys()):
        before, after = old_home.get(host_id), new_home.get(host_id)
        if before is None and after is not None:
            yield HostAdded(host_id, after)
        elif before is not None and after is None:
            yield HostRemoved(host_id, before)
        elif before is not None and after is not None and before != after:
            yield HostRehomed(host_id, before, after)


def _dump_values(document: model.Document) -> dict[str, JsonValue]:
    """Return the values of a document except those that `_host_changes` compares."""
    values: dict[str, JsonValue] = _ADAPTER.dump_python(
        document, mode="json", exclude={"pools": {"__all__": {"host_ids"}}}
    )
    return values


def _value_changes(
    location: str, old: Mapping[str, JsonValue], new: Mapping[str, JsonValue]
) -> Iterator[Change]:
    for key in sorted(old.keys() | new.keys()):
        child_location = f"{location}.{key}" if location else key
        before, after = old.get(key), new.get(key)
        is_host = location == "hosts" and (before is None or after is None)
        if is_host or before == after:
            continue  # `_host_changes` reports added and removed hosts
        if isinstance(before, dict) and isinstance(after, dict):
            yield from _value_changes(child_location, before, after)
        elif isinstance(before, dict):
            yield ItemRemoved(child_location)
        elif isinstance(after, dict):
            yield ItemAdded(child_location)
        else:
            yield ValueChanged(child_location, before, after)
