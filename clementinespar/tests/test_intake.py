"""Tests of the count of what is held for callers."""

from clementinespar import intake


def open_body(state: intake.Intake, size: int, now: float) -> intake.Connection:
    """Return a connection on which part of a body has arrived."""
    connection = state.open(now)
    state.receive(connection, 100, now)
    state.begin_body(connection, 1)
    state.receive(connection, size, now)
    return connection


def test_nothing_is_held_after_all_have_left() -> None:
    """Guards against a sum that drifts until every caller is refused."""
    state = intake.Intake()
    left, refused, whole = (open_body(state, 1_000, 0.0) for _ in range(3))
    state.close(left)
    state.refuse(refused, intake.Reason.BODY_TOO_LARGE, 1.0)
    state.receive(refused, 5_000, 2.0)
    state.begin_answer(whole, 1.0)
    state.receive(whole, 5_000, 2.0)
    state.begin_message(whole, 3.0)
    state.close(refused)
    assert state.held_bytes == 0
    assert +state.count_by_phase == {intake.Phase.WAITING: 1}
