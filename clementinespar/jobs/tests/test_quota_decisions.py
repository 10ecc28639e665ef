"""Tests of single decisions about quotas, one message at a time."""

from collections.abc import Sequence

import pytest

from clementinespar.jobs import (
    model,
    quota_ledger,
    quota_messages,
    quota_shares,
    resources,
    state,
    team_use,
)

CAP = resources.Resources(10, 100, 0)
SPEC = model.StepSpec(1, 2, 10)
NEED = resources.Resources(2, 10, 0)
WAITING = {"a": quota_shares.Waiting(1, resources.ZERO)}


def make_share(cpu: int, memory: int = 100) -> resources.Resources:
    """Return a share of a team whose cap does not limit accelerators."""
    return resources.Resources(cpu, memory, resources.UNLIMITED)


def make_owner(cpu: int, memory: int = 100) -> quota_shares.QuotaShares:
    """Return a settled owner with a share of team `a`, under ledger epoch 5."""
    shares = quota_shares.QuotaShares(team_use.TeamUse())
    shares.set_caps({"a": CAP}, 1)
    shares.settle()
    shares.note_lack("a", NEED, NEED)
    request = shares.make_request(0, 1, ["a"])
    assert request is not None
    shares.apply_response(
        request.number, quota_messages.Response(5, 1, {"a": make_share(cpu, memory)})
    )
    return shares


def make_request(shares: quota_shares.QuotaShares) -> quota_messages.Request:
    """Return the next request for one task more than the share holds."""
    shares.begin_round()
    shares.note_lack("a", resources.Resources(9, 90, 0), NEED)
    request = shares.make_request(0, 1, ["a"])
    assert request is not None
    return request


def make_ledger(*holds: int) -> quota_ledger.QuotaLedger:
    """Return a ledger that knows the cores held by partitions, with owners of epoch 1.

    Half of the memory is free.
    """
    ledger = quota_ledger.QuotaLedger(5)
    ledger.set_policy({"a": CAP}, frozenset(range(len(holds))))
    for partition, cpu in enumerate(holds):
        answer_recall(ledger, partition, cpu)
    return ledger


def answer_recall(
    ledger: quota_ledger.QuotaLedger,
    partition: int,
    cpu: int,
    epoch: int = 1,
    is_settled: bool = True,
) -> None:
    """Recall and answer with what the owner keeps."""
    teams = ledger.begin_recall(partition, ["a"])
    ledger.end_recall(
        partition,
        teams,
        quota_messages.RecallResponse(epoch, {"a": make_share(cpu, 10)}, is_settled),
    )


def ask(
    ledger: quota_ledger.QuotaLedger,
    number: int,
    held: int | None = 0,
    epoch: int = 1,
    partition: int = 0,
) -> int | None:
    """Return the cores that the ledger answers with; None if it answers nothing."""
    request = quota_messages.Request(
        partition,
        epoch,
        number,
        None if held is None else {"a": make_share(held, 10)},
        {"a": NEED},
    )
    if not ledger.accept(request):
        return None
    response = ledger.grant(request)
    if response is None or "a" not in response.shares:
        return None
    return response.shares["a"].cpu_millis


@pytest.mark.parametrize(
    ("share", "count", "fits"),
    [
        (make_share(2, 10), 1, True),
        (make_share(1, 100), 1, False),
        (make_share(10, 9), 1, False),  # memory
        (make_share(10, 19), 2, False),  # memory of a gang
        (make_share(4, 20), 2, True),
    ],
)
def test_task_needs_room_for_each_resource(
    share: resources.Resources, count: int, fits: bool
) -> None:
    """Guards against a resource that is not counted."""
    shares = make_owner(share.cpu_millis, share.memory_mb)
    assert shares.fits("a", SPEC, count) is fits
    assert shares.fits("", SPEC, 100)  # no team
    assert shares.fits("b", SPEC, 100)  # no cap


def test_response_of_an_earlier_ledger_has_no_effect() -> None:
    """Guards against a share that the ledger in force does not know of."""
    shares = make_owner(2)
    shares.recall(1, quota_messages.Recall(7, ()), {})
    request = make_request(shares)
    late = quota_messages.Response(6, 1, {"a": make_share(10)})
    shares.apply_response(request.number, late)
    assert shares.shares["a"].cpu_millis == 2


def test_recall_of_an_earlier_ledger_is_refused() -> None:
    """Guards against an earlier ledger that hands out what it recalls."""
    shares = make_owner(2)
    shares.recall(1, quota_messages.Recall(7, ("a",)), {})
    with pytest.raises(quota_shares.StaleLedgerError):
        shares.recall(1, quota_messages.Recall(6, ("a",)), {})


def test_abandoned_response_has_no_effect() -> None:
    """Guards against a late response: the next request has told the ledger less."""
    shares = make_owner(2)
    first = make_request(shares)
    second = make_request(shares)
    response = quota_messages.Response(5, 1, {"a": make_share(10)})
    shares.apply_response(first.number, response)
    assert shares.shares["a"].cpu_millis == 2
    shares.apply_response(second.number, response)
    assert shares.shares["a"].cpu_millis == 10


def test_response_that_crosses_a_recall_has_no_effect() -> None:
    """Guards against a share that was granted before it was given back."""
    shares = make_owner(2)
    request = make_request(shares)
    shares.begin_round()
    answer = shares.recall(1, quota_messages.Recall(5, ("a",)), {})
    assert answer.shares["a"].cpu_millis == 0
    response = quota_messages.Response(5, 1, {"a": make_share(10)})
    shares.apply_response(request.number, response)
    assert shares.shares["a"].cpu_millis == 0


@pytest.mark.parametrize(
    ("waiting", "has_lack", "kept"),
    [
        ({}, False, 0),
        (WAITING, False, 5),
        (WAITING, True, 0),  # what is left is too small for the tasks that wait
        ({"a": quota_shares.Waiting(2, resources.Resources(4, 20, 0))}, False, 7),
    ],
)
def test_recall_leaves_what_is_needed(
    waiting: dict[str, quota_shares.Waiting], has_lack: bool, kept: int
) -> None:
    """Guards against a pool that gives all away, or that keeps what it can't use."""
    shares = make_owner(10)
    shares.begin_round()
    if has_lack:
        shares.note_lack("a", CAP)
    answer = shares.recall(1, quota_messages.Recall(5, ("a",)), waiting)
    assert answer.shares["a"].cpu_millis == kept


def test_lowered_cap_holds_starts_until_the_ledger_knows_it() -> None:
    """Guards against partitions that each use their share of the earlier cap."""
    shares = make_owner(8)
    shares.set_caps({"a": resources.Resources(6, 100, 0)}, 2)
    assert not shares.fits("a", SPEC)
    request = make_request(shares)
    response = quota_messages.Response(5, 1, {"a": make_share(8)})
    shares.apply_response(request.number, response)
    assert not shares.fits("a", SPEC)
    request = make_request(shares)
    response = quota_messages.Response(5, 2, {"a": make_share(8)})
    shares.apply_response(request.number, response)
    assert shares.fits("a", SPEC, 3)
    assert not shares.fits("a", SPEC, 4)  # the lower of share and cap


def test_claim_of_a_successor_is_confirmed_before_it_is_used() -> None:
    """Guards against successors that each go on under a cap lowered meanwhile."""
    shares = quota_shares.QuotaShares(team_use.TeamUse())
    shares.set_caps({"a": CAP}, 3)
    shares.settle()
    assert shares.shares["a"].cpu_millis == 0
    for version, fits in ((2, False), (3, True)):
        request = make_request(shares)
        assert request.held == {"a": shares.shares["a"]}
        response = quota_messages.Response(5, version, {"a": make_share(4)})
        shares.apply_response(request.number, response)
        assert shares.fits("a", SPEC) is fits


def test_ledger_gives_what_is_free_and_records_it() -> None:
    """Guards against giving the same part of a cap twice."""
    ledger = make_ledger(2, 3)
    assert ask(ledger, 1, held=2) == 7
    assert ask(ledger, 1, held=3, partition=1) == 3


def test_ledger_gives_nothing_before_all_shares_are_known() -> None:
    """Guards against giving what an unreachable partition holds."""
    ledger = make_ledger(2, 3)
    ledger.set_policy({"a": CAP}, frozenset({0, 1, 2}))
    assert ask(ledger, 1, held=2) is None
    assert ledger.share_by_partition("a")[0].cpu_millis == 2
    answer_recall(ledger, 2, 4)
    assert ask(ledger, 2, held=2) == 3


@pytest.mark.parametrize(("number", "epoch"), [(3, 4), (2, 4), (9, 3)])
def test_outdated_requests_change_nothing(number: int, epoch: int) -> None:
    """Guards against an old message that lowers what the partition holds now."""
    ledger = make_ledger(0, 0)
    assert ask(ledger, 3, held=None, epoch=4) == 10
    assert ask(ledger, number, held=1, epoch=epoch) is None
    assert ask(ledger, 4, held=None, epoch=4) == 10
    assert ledger.share_by_partition("a")[0].cpu_millis == 10


def test_answer_of_an_earlier_owner_does_not_lower_a_share() -> None:
    """Guards against a replaced owner that gives away what its successor uses."""
    ledger = make_ledger(0, 0)
    ask(ledger, 1, held=None, epoch=4)
    answer_recall(ledger, 0, 1, epoch=3)
    assert ledger.share_by_partition("a")[0].cpu_millis == 10


def test_unsettled_owner_does_not_lower_the_share_of_an_earlier_one() -> None:
    """Guards against giving away what unknown runs use."""
    ledger = make_ledger(6, 0)
    answer_recall(ledger, 0, 1, epoch=4, is_settled=False)
    assert ledger.share_by_partition("a")[0].cpu_millis == 6
    answer_recall(ledger, 0, 1, epoch=4, is_settled=True)
    assert ledger.share_by_partition("a")[0].cpu_millis == 1


def test_unsettled_owner_claims_what_may_run_for_a_new_ledger() -> None:
    """Guards against one silent worker that stops the starts of all partitions.

    After a power failure, ledger and owners have lost what they knew. The claim counts
    what earlier owners may have started, so the rest of the cap is free.
    """
    use = team_use.TeamUse()
    use.rebuild([], {"job": ("a", resources.Resources(6, 60, 0))})
    shares = quota_shares.QuotaShares(use)
    shares.set_caps({"a": CAP}, 1)
    ledger = make_ledger(0)
    ledger.set_policy({"a": CAP}, frozenset({0, 1}))
    assert ask(ledger, 1) is None
    teams = ledger.begin_recall(1, ledger.find_unknown(1))
    recall = quota_messages.Recall(ledger.epoch, tuple(teams))
    response = shares.recall(2, recall, {})
    assert not response.is_settled
    ledger.end_recall(1, teams, response)
    assert ask(ledger, 2) == CAP.cpu_millis - 6
    assert not shares.fits("a", SPEC)


def test_request_beside_an_open_recall_changes_nothing() -> None:
    """Guards against two answers of one owner that are read in the wrong order."""
    ledger = make_ledger(2, 3)
    ledger.begin_recall(0, ["a"])
    request = quota_messages.Request(0, 1, 1, {"a": make_share(0, 0)}, {"a": NEED})
    assert ledger.accept(request)
    response = ledger.grant(request)
    assert response is not None and not response.shares
    assert ledger.share_by_partition("a")[0].cpu_millis == 2


def test_excess_after_a_lowered_cap_is_recalled_and_not_confirmed() -> None:
    """Guards against confirming shares that exceed the cap in sum."""
    ledger = make_ledger(4, 5)
    ledger.set_policy({"a": resources.Resources(8, 100, 0)}, frozenset({0, 1}))
    assert ledger.find_excess() == {0: ["a"], 1: ["a"]}
    request = quota_messages.Request(0, 1, 1, {"a": make_share(4, 10)}, {"a": NEED})
    assert ledger.accept(request)
    response = ledger.grant(request)
    assert response is not None and not response.shares
    answer_recall(ledger, 1, 4)
    assert not ledger.find_excess()
    assert ask(ledger, 2, held=4) == 4


@pytest.mark.parametrize(
    ("steps", "done", "cores"),
    [
        ([(4, ())], 0, 4),
        ([(4, ())], 3, 1),
        ([(2, ()), (5, (0,))], 0, 5),  # the stored progress may be old
        ([(5, ()), (2, (0,))], 0, 5),
        ([(2, ()), (3, ())], 0, 5),
        ([(1, ()), (2, (0,)), (3, (0,)), (1, (1, 2))], 0, 5),
    ],
)
def test_bound_covers_what_an_earlier_owner_may_have_started(
    steps: Sequence[tuple[int, tuple[int, ...]]], done: int, cores: int
) -> None:
    """Guards against a successor that counts less than what may run."""
    specs = tuple(model.StepSpec(count, 1, after=after) for count, after in steps)
    job = state.JobProgress(model.JobSpec("j", "q", "p", "", specs, team="a"))
    for task in job.occurrences[0].steps[0].tasks[:done]:
        state.mark_done(job.occurrences[0].steps[0], task)
    assert team_use.bound_running(job, 0.0).cpu_millis == cores


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        b'{"partition":0,"epoch":1,"number":1}',
        b'{"partition":0,"epoch":true,"number":1,"wanted":{}}',
        b'{"partition":-1,"epoch":1,"number":1,"wanted":{}}',
        b'{"partition":0,"epoch":1,"number":1,"wanted":{"a":[1,2]}}',
        b'{"partition":0,"epoch":1,"number":1,"wanted":{"a":[1,2,NaN]}}',
        b'{"partition":0,"epoch":1,"number":1,"wanted":{"a":[1,2,-2]}}',
        b"[" * 100_000,
    ],
)
def test_malformed_request_is_a_value_error(body: bytes) -> None:
    """Guards against a message that ends the task which reads it."""
    with pytest.raises(ValueError):
        quota_messages.parse_request(body)
    with pytest.raises(ValueError):
        quota_messages.parse_recall(body)
