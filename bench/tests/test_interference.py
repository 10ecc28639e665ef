"""Tests of the figures from decision lines on interference."""

import json

import pytest

from bench import interference


def test_lines_of_all_nodes_are_added_up() -> None:
    """Guards against lines that are missed for their prefix, or read though cut."""
    row = ["run_time", "a", "b", 10, 1.2, 0.5, 0.1]
    other = ["run_time", "a", "b", 30, 1.4, 1.0, 0.3]
    verdict = {"measure": "run_time", "victim": "a", "neighbour": "b"}
    events: list[dict[str, object]] = [
        {"event": "interference_evidence", "pool": "p", "pairs": [row]},
        {"event": "interference_evidence", "pool": "p", "pairs": [other]},
        {"event": "interference", "pool": "p", "is_verdict": True, **verdict},
        {"event": "start", "job": "interference"},
    ]
    lines = [f"  4.946 node-{n} {json.dumps(event)}" for n, event in enumerate(events)]
    lines += [lines[0][:-5], "interference without a line", ""]
    sums = interference.add_events(interference.read_events(lines))
    pair = sums["p", "run_time", "a", "b"]
    assert pair.count == 40
    assert pair.ratio == pytest.approx(1.35)
    assert pair.exposure == pytest.approx(0.875)
    assert (pair.last_effect, pair.reached, pair.gone) == (0.3, 1, 0)
