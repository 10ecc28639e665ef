"""Tests of the difference of documents."""

import dataclasses
import pathlib

import hypothesis
from hypothesis import strategies as st

from clementinespar.documents import difference, loading, model

_EXAMPLE = loading.load_document(
    pathlib.Path(__file__).parents[3] / "examples" / "al-batinah.toml"
)


@st.composite
def _documents(draw: st.DrawFn) -> model.Document:
    """Generate documents with a few hosts, pools and services."""
    host_ids = draw(st.lists(st.sampled_from("abcdef"), min_size=1, unique=True))
    homes = {host_id: draw(st.sampled_from("pqr")) for host_id in host_ids}
    pools = {
        name: model.Pool(
            host_ids=tuple(h for h in host_ids if homes[h] == name),
            budget=model.Budget(min_available=0, max_out_per_rack=draw(_SMALL)),
        )
        for name in sorted(set(homes.values()))
    }
    services = draw(st.lists(st.sampled_from("xyz"), unique=True))
    return model.Document(
        user="u",
        hosts={h: model.Host(draw(st.sampled_from("12")), "r") for h in host_ids},
        pools=pools,
        services={
            name: model.Service(
                pool=draw(st.sampled_from(sorted(pools))),
                kinds={"k": model.Kind(repeatable=draw(st.booleans()))},
            )
            for name in services
        },
    )


_SMALL = st.integers(1, 3)


@hypothesis.given(_documents())
@hypothesis.settings(derandomize=True, deadline=None)
def test_equal_documents_have_no_difference(document: model.Document) -> None:
    """Guards against changes that are reported for equal documents."""
    assert difference.difference(document, document) == []
    same = loading.parse_in_force(loading.dump_document(document))
    assert difference.difference(document, same) == []


@hypothesis.given(_documents(), _documents())
@hypothesis.settings(derandomize=True, deadline=None)
def test_every_change_is_reported_once(
    old: model.Document, new: model.Document
) -> None:
    """Guards against a change that an operator does not see before publishing."""
    changes = difference.difference(old, new)
    lines = [change.line for change in changes]
    assert len(set(lines)) == len(lines)
    assert bool(changes) == (_unordered(old) != _unordered(new))
    backwards = difference.difference(new, old)
    assert len(backwards) == len(changes)


def _unordered(document: model.Document) -> model.Document:
    pools = {
        name: dataclasses.replace(pool, host_ids=tuple(sorted(pool.host_ids)))
        for name, pool in document.pools.items()
    }
    return dataclasses.replace(document, pools=pools)


def test_lines_describe_the_changes() -> None:
    """Guards against lines that do not name the changed host or value."""
    barka = _EXAMPLE.pools["barka"]
    dispatch = _EXAMPLE.pools["dispatch"]
    moved = dispatch.host_ids[0]
    new = dataclasses.replace(
        _EXAMPLE,
        pools={
            **_EXAMPLE.pools,
            "barka": dataclasses.replace(barka, host_ids=(*barka.host_ids, moved)),
            "dispatch": dataclasses.replace(
                dispatch, host_ids=dispatch.host_ids[1:], min_hosts=3
            ),
        },
        teams={"foremen": _EXAMPLE.teams["foremen"], "masons": model.Team(4)},
        maintenance=dataclasses.replace(_EXAMPLE.maintenance, paused=True),
    )
    assert [change.line for change in difference.difference(_EXAMPLE, new)] == [
        f"host {moved}: from pool dispatch to barka",
        "maintenance.paused: False -> True",
        "pools.dispatch.min_hosts: 4 -> 3",
        "teams.contractors: removed",
        "teams.masons: added",
    ]
