"""Tests of the choice of connections and messages that lose under pressure."""

import pytest

from clementinespar import intake

LIMITS = intake.Limits(connections=20, held_bytes=100_000)
CALLER_LIMITS = intake.CallerLimits(header_timeout_s=3.0, idle_timeout_s=15.0)


def open_body(state: intake.Intake, size: int, now: float) -> intake.Connection:
    """Return a connection on which part of a body has arrived."""
    connection = state.open(now)
    state.receive(connection, 100, now)
    state.begin_body(connection, 1)
    state.receive(connection, size, now)
    return connection


def test_message_that_cost_most_loses() -> None:
    """Guards against a crowd that holds everything and keeps small requests out."""
    state = intake.Intake(LIMITS)
    stopped = open_body(state, 50_000, 0.0)
    slow = open_body(state, 50_000, 8.0)
    small = open_body(state, 500, 10.0)
    assert state.is_over_memory()
    assert state.choose_messages(10.0) == [stopped]
    state.refuse(stopped, intake.Reason.MEMORY, 10.0)
    assert not state.is_over_memory()
    state.begin_answer(slow, 10.0)
    open_body(state, 60_000, 10.0)
    assert slow not in state.choose_messages(20.0)
    assert small in state.connections


def test_nothing_is_held_after_all_have_left() -> None:
    """Guards against a sum that drifts until every caller is refused."""
    state = intake.Intake(LIMITS)
    left, refused, whole = (open_body(state, 1_000, 0.0) for _ in range(3))
    state.close(left)
    state.refuse(refused, intake.Reason.MEMORY, 1.0)
    state.receive(refused, 5_000, 2.0)
    state.begin_answer(whole, 1.0)
    state.receive(whole, 5_000, 2.0)
    state.begin_message(whole, 3.0)
    state.close(refused)
    assert state.held_bytes == 0
    assert +state.count_by_phase == {intake.Phase.WAITING: 1}


def test_refused_and_unanswered_connections_are_closed_first() -> None:
    """Guards against callers that lose their connections to a crowd of silent ones."""
    state = intake.Intake(LIMITS)
    known = state.open(0.0)
    state.receive(known, 100, 0.0)
    state.begin_answer(known, 0.0)
    state.begin_message(known, 0.0)
    silent = state.open(5.0)
    refused = open_body(state, 1_000, 9.0)
    state.refuse(refused, intake.Reason.BODY_TOO_LARGE, 9.0)
    assert state.choose_connections(10.0) == [refused, silent, known]


@pytest.mark.parametrize(
    ("phase", "age_s", "reason"),
    [
        (intake.Phase.WAITING, 14.0, None),
        (intake.Phase.WAITING, 16.0, intake.Reason.IDLE),
        (intake.Phase.HEADERS, 4.0, intake.Reason.HEADERS_TOO_SLOW),
        (intake.Phase.BODY, 14.0, None),
        (intake.Phase.BODY, 16.0, intake.Reason.BODY_STOPPED),
        (intake.Phase.ANSWERING, 1_000.0, None),
        (intake.Phase.REFUSED, 4.0, intake.Reason.LINGERING),
    ],
)
def test_time_of_each_phase_is_limited(
    phase: intake.Phase, age_s: float, reason: intake.Reason | None
) -> None:
    """Guards against connections that stay for ever without a complete message."""
    state = intake.Intake(LIMITS)
    connection = state.open(0.0)
    connection.phase = phase
    found = state.find_overdue(CALLER_LIMITS, age_s)
    assert found == ([] if reason is None else [(connection, reason)])


@pytest.mark.parametrize(
    ("memory_mb", "max_descriptors"), [(200, 4_100), (300, 4_100), (552, 8_192)]
)
def test_limits_fit_the_machine(memory_mb: int, max_descriptors: int) -> None:
    """Guards against callers that may hold more than half of a machine."""
    limits = intake.derive_limits(memory_mb * 1e6, max_descriptors)
    most = limits.connections * intake.CONNECTION_BYTES + limits.held_bytes
    assert most < memory_mb * 1e6 / 2
    assert limits.connections < (max_descriptors - intake.FILE_DESCRIPTORS) / 2
    assert limits.held_bytes > 10 * CALLER_LIMITS.max_body_bytes


def test_closed_connection_counts_no_more() -> None:
    """Guards against a sum that drifts when a closed connection is still served.

    The serving of a connection ends a turn of the event loop after it is closed.
    """
    state = intake.Intake(LIMITS)
    connection = state.open(0.0)
    state.receive(connection, 100, 0.0)
    state.close(connection)
    state.receive(connection, 100, 1.0)
    state.begin_body(connection, 10)
    state.receive(connection, 100, 1.0)
    state.begin_answer(connection, 1.0)
    state.begin_message(connection, 1.0)
    state.close(connection)
    assert state.held_bytes == 0
    assert not +state.count_by_phase
    assert not -state.count_by_phase
