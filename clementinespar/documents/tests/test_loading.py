"""Tests of reading and checking documents."""

import copy
import math
import pathlib
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from clementinespar import codes
from clementinespar.documents import loading

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_ResultCode = codes.ResultCode


def _values() -> dict[str, Any]:
    return {
        "user": "u",
        "hosts": {
            f"h{i}": {"data_centre": "d1" if i < 2 else "d2", "rack": f"r{i % 2}"}
            for i in range(4)
        },
        "pools": {
            "p": {"host_ids": ["h0", "h1"], "budget": {"min_available": 1}},
            "q": {"host_ids": ["h2", "h3"], "budget": {"min_available": 1}},
        },
        "services": {"s": {"pool": "p", "kinds": {"k": {}}}},
        "maintenance": {"max_wave_hosts": 1},
    }


def _changed(changes: dict[str, Any]) -> dict[str, Any]:
    """Return valid values with changes by dotted path; None removes a value."""
    values = copy.deepcopy(_values())
    for path, value in changes.items():
        *parents, last = path.split(".")
        table = values
        for parent in parents:
            table = table.setdefault(parent, {})
        if value is None:
            del table[last]
        else:
            table[last] = value
    return values


def _problems(values: dict[str, Any]) -> list[loading.DocumentError]:
    with pytest.raises(ExceptionGroup) as caught:
        loading.parse_document(values, "document")
    found = []
    for error in caught.value.exceptions:
        assert isinstance(error, loading.DocumentError)
        assert error.expected
        found.append(error)
    return found


def test_valid_values_are_accepted() -> None:
    """Guards against checks that reject a valid document."""
    assert loading.parse_document(_values(), "document").user == "u"


@pytest.mark.parametrize(
    ("changes", "location"),
    [
        ({"user": None}, "user"),
        ({"colour": "red"}, "colour"),
        ({"pools.p.budget.min_available": -1}, "pools.p.budget.min_available"),
        ({"pools.p.budget.min_available": 3}, "pools.p.budget.min_available"),
        ({"pools.p.budget.min_available": 2}, "pools.p.budget.min_available"),
        ({"pools.p.host_ids": ["h0", "h1", "h9"]}, "pools.p.host_ids"),
        ({"pools.p.host_ids": ["h0", "h1", "h1"]}, "pools.p.host_ids"),
        ({"pools.p.host_ids": ["h0", "h1", "h2"]}, "pools.q.host_ids"),
        ({"hosts.h9": {"data_centre": "d", "rack": "r"}}, "hosts.h9"),
        ({"hosts.h0.rack": "a b"}, "hosts.h0.rack"),
        ({"hosts.h0.data_centre": ""}, "hosts.h0.data_centre"),
        ({"teams.a/b": {"max_slots": 1}}, "teams"),
        ({"services.s.kinds.-": {}}, "services.s.kinds"),
        ({"services.s.kinds": {}}, "services.s.kinds"),
        ({"services.s.pool": "x"}, "services.s.pool"),
        (
            {
                "pools.e": {"host_ids": [], "budget": {"min_available": 0}},
                "services.s.pool": "e",
            },
            "services.s.pool",
        ),
        ({"services.s.default_deadline_ms": 70_000}, "services.s.default_deadline_ms"),
        (
            {"services.s.kinds.k.declared_run_ms": 70_000},
            "services.s.kinds.k.declared_run_ms",
        ),
        ({"services.s.slots_per_target": 65}, "services.s.connections_per_target"),
        ({"pools.p.spare": True, "pools.q.spare": True}, "pools.q.spare"),
        ({"pools.p.min_hosts": 5, "pools.p.max_hosts": 4}, "pools.p.min_hosts"),
        ({"pools.p.max_hosts": 1}, "pools.p.max_hosts"),
        ({"pools.p.min_hosts": 3}, "pools.p.min_hosts"),
        ({"maintenance.max_wave_hosts": 3}, "maintenance.max_wave_hosts"),
        ({"maintenance.survive": "region"}, "maintenance.survive"),
        ({"maintenance.every_days": math.inf}, "maintenance.every_days"),
        ({"maintenance.every_days": math.nan}, "maintenance.every_days"),
        ({"weights.moves": math.inf}, "weights.moves"),
        ({"weights.moves": math.nan}, "weights.moves"),
        ({"services.s.max_queue": 10**9}, "services.s.max_queue"),
    ],
)
def test_each_problem_is_reported_at_its_location(
    changes: dict[str, Any], location: str
) -> None:
    """Guards against a mistake that is accepted or reported at another location."""
    problems = _problems(_changed(changes))
    assert [p.code for p in problems] == [_ResultCode.DOCUMENT_INVALID] * len(problems)
    assert {p.location for p in problems} == {location}


def test_pool_without_maintenance_needs_maintenance_paused() -> None:
    """Guards against accepting a pool whose hosts can never be taken out."""
    changes: dict[str, Any] = {"pools.p.budget.min_available": 2}
    _problems(_changed(changes))
    loading.parse_document(_changed(changes | {"maintenance.paused": True}), "document")


def test_all_problems_are_reported_at_once() -> None:
    """Guards against reporting only the first of several wrong references."""
    problems = _problems(
        _changed(
            {
                "services.s.pool": "x",
                "pools.p.host_ids": ["h0", "h9"],
                "teams.a b": {"max_slots": 1},
            }
        )
    )
    assert [(p.location, p.value) for p in problems] == [
        ("teams", "a b"),
        ("pools.p.host_ids", "h9"),
        ("hosts.h1", "h1"),
        ("services.s.pool", "x"),
    ]


_PLAIN_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.dates(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)
_LOCATIONS = ["user", "hosts", "hosts.h0", "hosts.h0.rack", "pools.p.host_ids"] + [
    *("pools.p.budget", "pools.q.min_hosts", "services.s.kinds", "services.s.pool"),
    *("services.s", "teams", "maintenance", "weights.moves", "weights"),
]


@hypothesis.given(
    st.dictionaries(st.sampled_from(_LOCATIONS), _PLAIN_VALUES, max_size=3)
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_unexpected_values_raise_only_document_errors(changes: dict[str, Any]) -> None:
    """Guards against other exceptions and documents that JSON cannot represent."""
    values = _values()
    for path, value in changes.items():
        *parents, last = path.split(".")
        table = values
        for parent in parents:
            inner = table.get(parent)
            table = inner if isinstance(inner, dict) else {}
        table[last] = value
    try:
        document = loading.parse_document(values, "document")
    except ExceptionGroup as group:
        for error in group.exceptions:
            assert isinstance(error, loading.DocumentError)
    else:
        again = loading.parse_in_force(loading.dump_document(document))
        assert again == document


@pytest.mark.parametrize(
    ("content", "code"),
    [
        (None, _ResultCode.DOCUMENT_UNREADABLE),
        (b"\xff", _ResultCode.DOCUMENT_UNREADABLE),
        (b"a = ", _ResultCode.DOCUMENT_UNREADABLE),
        (b"a = " + b"[" * 5_000, _ResultCode.DOCUMENT_UNREADABLE),
        (b"#" * (loading.MAX_DOCUMENT_BYTES + 1), _ResultCode.DOCUMENT_TOO_LARGE),
    ],
)
def test_invalid_file_raises_a_document_error(
    tmp_path: pathlib.Path, content: bytes | None, code: codes.ResultCode
) -> None:
    """Guards against other exceptions or unbounded memory for an invalid file."""
    path = tmp_path / "document.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(ExceptionGroup) as caught:
        loading.load_document(path)
    (error,) = caught.value.exceptions
    assert isinstance(error, loading.DocumentError)
    assert error.code == code


def test_document_of_many_hosts_is_too_large_for_a_record() -> None:
    """Guards against a document that passes the checks but exceeds a record's limit."""
    values = _values()
    for i in range(20_000):
        values["hosts"][f"host-{i}"] = {"data_centre": "d1", "rack": f"rack-{i}"}
        values["pools"]["q"]["host_ids"].append(f"host-{i}")
    values["pools"]["q"]["max_hosts"] = 30_000
    assert [p.code for p in _problems(values)] == [_ResultCode.DOCUMENT_TOO_LARGE]


@pytest.mark.parametrize(
    ("name", "pools", "hosts"), [("teranga", 5, 40), ("al-batinah", 5, 30)]
)
def test_examples_are_valid(name: str, pools: int, hosts: int) -> None:
    """Guards against shipped examples that the current version rejects."""
    document = loading.load_document(_EXAMPLES / f"{name}.toml")
    assert len(document.pools) == pools
    assert len(document.hosts) == hosts
    assert sum(pool.spare for pool in document.pools.values()) == 1
    for pool in document.pools.values():
        racks = {
            (document.hosts[i].data_centre, document.hosts[i].rack)
            for i in pool.host_ids
        }
        assert len(racks) == len(pool.host_ids)
