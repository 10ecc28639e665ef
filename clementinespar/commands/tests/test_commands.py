"""Tests of the command line against a fake admin port."""

import contextlib
import json
import pathlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest
from click import testing

from clementinespar import cli, codes, errors
from clementinespar.commands import client, submissions
from clementinespar.commands.tests import fake_admin
from clementinespar.documents import loading

_EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "al-batinah.toml"
_PLAIN = loading.dump_document(loading.load_document(_EXAMPLE))
_CONFLICT = int(codes.ResultCode.DOCUMENT_CONFLICT)


@pytest.fixture(autouse=True)
def _read_back_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(submissions, "READ_BACK_S", 0.0)


class _Documents:
    """Documents of a fake node, with faults that a test sets."""

    in_force: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    lost_replies: int  # number of next POSTs whose reply is lost
    lost_effects: int  # number of next POSTs that have no effect
    posts: list[dict[str, Any]]  # bodies

    def __init__(self) -> None:
        self.in_force = {}
        self.history = []
        self.lost_replies = 0
        self.lost_effects = 0
        self.posts = []

    def put(self, environment: str, replaces: int, author: str, document: Any) -> int:
        """Publish as the fold does and return the result code."""
        current = self.in_force.get(environment, {"revision": 0})["revision"]
        code = 0 if current == replaces else _CONFLICT
        revision = len(self.history) + 1
        self.history.append(
            {
                "environment": environment,
                "revision": revision,
                "replaces": replaces,
                "author": author,
                "log_time_ms": 1_700_000_000_000,
                "code": code,
            }
        )
        if code == 0:
            self.in_force[environment] = {
                "revision": revision,
                "author": author,
                "document": document,
            }
        return code

    def handle(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> tuple[int, dict[str, Any]] | None:
        environment = path.split("/")[3] if path.count("/") >= 3 else "production"
        if method == "GET":
            if path.endswith("/history"):
                return 200, {"code": 0, "history": self.history}
            if environment not in self.in_force:
                return 404, {"code": 530, "name": "x", "message": "none"}
            return 200, {"code": 0, **self.in_force[environment]}
        assert body is not None
        self.posts.append(body)
        if self.lost_effects:
            self.lost_effects -= 1
        else:
            document = body.get("document") or self.in_force["trial"]["document"]
            code = self.put(environment, body["replaces"], body["author"], document)
            if code:
                return 409, {"code": code, "message": "late", "winner": "other"}
        if self.lost_replies:
            self.lost_replies -= 1
            return None
        revision = self.in_force[environment]["revision"]
        return 200, {"code": 0, "revision": revision, "in_force_on": ["n1"]}


def _run(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(cli.main, arguments)


@contextlib.contextmanager
def _documents() -> Iterator[tuple[_Documents, str]]:
    documents = _Documents()
    with fake_admin.serve(documents.handle) as admin:
        yield documents, admin.node


def _publish(node: str, *more: str) -> testing.Result:
    return _run(
        *("publish", str(_EXAMPLE), "--environment", "trial", "--author", "ann"),
        *("--node", node, *more),
    )


def _unused_node() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_publish_and_promote_put_a_document_into_force() -> None:
    """Guards against commands that disagree about the document or its revision."""
    with _documents() as (documents, node):
        assert _publish(node).exit_code == errors.ExitStatus.DONE
        again = _publish(node)
        assert "nothing was sent" in again.output
        promoted = _run("promote", "--author", "ann", "--node", node)
        assert "revision 2 is in force in production" in promoted.output
        assert documents.posts[1] == {
            "trial_revision": 1,
            "replaces": 0,
            "author": "ann",
        }
        shown = json.loads(_run("show", "--json", "--node", node).output)
        assert shown["document"] == _PLAIN
        assert "no difference" in _run("diff", "--node", node).output
        history = _run("history", "--node", node).output.splitlines()
        assert history[1].split()[:2] == ["2", "0"]


def test_conflict_is_refused_and_names_the_winner() -> None:
    """Guards against overwriting a document that another operator just published."""
    with _documents() as (documents, node):
        documents.put("trial", 0, "bob", {**_PLAIN, "user": "other"})
        result = _publish(node, "--replaces", "0")
        assert result.exit_code == errors.ExitStatus.REFUSED
        assert "DOCUMENT_CONFLICT" in result.output


@pytest.mark.parametrize("lost_effects", [0, 1])
def test_lost_reply_is_read_back_before_anything_is_repeated(
    lost_effects: int,
) -> None:
    """Guards against a second publication, or a false failure, after a lost reply."""
    with _documents() as (documents, node):
        documents.lost_replies = 1
        documents.lost_effects = lost_effects
        result = _publish(node, "--node", node)
        assert result.exit_code == errors.ExitStatus.DONE, result.output
        assert len(documents.posts) == 1 + lost_effects
        assert [p["code"] for p in documents.history] == [0]


def test_lost_reply_without_effect_in_the_history_is_unknown() -> None:
    """Guards against reporting success or refusal when the result is unknown."""
    with _documents() as (documents, node):
        documents.lost_replies = documents.lost_effects = 1
        result = _publish(node)
        assert result.exit_code == errors.ExitStatus.UNREACHABLE
        assert "history" in result.output


def test_lost_reply_of_a_losing_publication_is_a_conflict() -> None:
    """Guards against reporting another operator's publication as one's own."""
    with _documents() as (documents, node):
        documents.put("trial", 0, "bob", {**_PLAIN, "user": "other"})
        documents.lost_replies = documents.lost_effects = 1
        result = _publish(node, "--replaces", "0")
        assert result.exit_code == errors.ExitStatus.REFUSED
        assert "bob" in result.output


def test_log_that_does_not_reply_ends_the_command() -> None:
    """Guards against resending through other nodes what the log may have appended."""
    reply = {"code": 501, "name": "LOG_REPLY_LOST", "message": "no reply"}
    posts: list[str] = []

    def handle(method: str, path: str, _: Any) -> tuple[int, dict[str, Any]]:
        if method == "POST":
            posts.append(path)
            return 504, reply
        if path.endswith("/history"):
            return 200, {"history": []}
        return 200, {"revision": 0, "document": None}

    with fake_admin.serve(handle) as first, fake_admin.serve(handle) as second:
        result = _publish(first.node, "--node", second.node)
    assert result.exit_code == errors.ExitStatus.UNREACHABLE
    assert len(posts) == 1


def test_next_node_is_tried_when_one_is_down() -> None:
    """Guards against commands that fail while one node is down."""
    with _documents() as (_, node):
        down = _unused_node()
        result = _publish(down, "--node", node)
        assert result.exit_code == errors.ExitStatus.DONE, result.output


def test_unresponsive_node_is_tried_last_from_then_on() -> None:
    """Guards against each call of a command waiting for the same node again."""
    admin = client.AdminClient(["10.0.0.1:1", "10.0.0.2:2", "10.0.0.3:3"], 1.0)
    admin.try_last("10.0.0.1:1")
    assert admin.nodes == ("10.0.0.2:2", "10.0.0.3:3", "10.0.0.1:1")


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (("status", "--node", "NODE"), errors.ExitStatus.UNREACHABLE),
        (("status", "--node", "localhost:1"), errors.ExitStatus.BAD_INPUT),
        (("status",), errors.ExitStatus.BAD_INPUT),
        (("explain", "rack", "r1", "--node", "NODE"), errors.ExitStatus.BAD_INPUT),
        (("explain", "job", "--node", "NODE"), errors.ExitStatus.BAD_INPUT),
        (("explain", "placement", "--node", "NODE"), errors.ExitStatus.BAD_INPUT),
        (("explain", "placement", "x", "--queue", "q", "--node", "NODE"), 2),
        (("explain", "job", "1", "--queue", "q", "--node", "NODE"), 2),
        (("publish", "x.toml", "--env", "trial", "--node", "NODE"), 2),
        (("diff", "--env", "trial", "--node", "NODE"), errors.ExitStatus.BAD_INPUT),
        (("check", "README.md"), errors.ExitStatus.BAD_INPUT),
        (("check", str(_EXAMPLE)), errors.ExitStatus.DONE),
        (("check", str(_EXAMPLE.with_name("node.ini"))), errors.ExitStatus.DONE),
        (("node", "--settings", "nowhere.ini"), errors.ExitStatus.BAD_INPUT),
    ],
)
def test_exit_statuses(arguments: tuple[str, ...], status: int) -> None:
    """Guards against exit statuses that do not tell bad input from no reply."""
    node = _unused_node()
    result = _run(*(node if a == "NODE" else a for a in arguments))
    assert result.exit_code == status, result.output


def test_check_reports_problems_of_all_files(tmp_path: pathlib.Path) -> None:
    """Guards against the first invalid file hiding problems of the others."""
    (tmp_path / "node.ini").write_text("[node]\nname = n\n")
    (tmp_path / "d.toml").write_text("user = 1\n")
    result = _run("check", str(tmp_path / "node.ini"), str(tmp_path / "d.toml"))
    assert result.exit_code == errors.ExitStatus.BAD_INPUT
    assert "101 SETTING_MISSING: [node] data_centre: required" in result.output
    assert "111 DOCUMENT_INVALID: user = '1'" in result.output


def test_node_starts_nothing_with_bad_settings(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that opens ports before its settings are checked."""
    monkeypatch.setattr(
        "clementinespar.node.run", lambda _: pytest.fail("the node was started")
    )
    (tmp_path / "node.ini").write_text("[node]\nname = n\n")
    result = _run("node", "--settings", str(tmp_path / "node.ini"))
    assert result.exit_code == errors.ExitStatus.BAD_INPUT


_PLACEMENT = {
    "subject": "a job of queue q in pool p",
    "state": "would wait for room",
    "owner": {"node": "10.0.0.1:1", "partition": 3, "epoch": 5},
    "order": {"class": "new", "priority": 0, "slack_ms": 80, "is_over_rate": True},
    "before": {"jobs": 2, "cpu_millis": 4000.0, "memory_mb": 10.0, "gpus": 0.0},
    "wait": {"wait_ms": 900, "start_ms": 1_700_000_000_000, "is_in_time": True},
    "rejection": {"code": 627, "retry_after_s": 4, "wait_ms": 9000},
    "team": {"name": "t", "use": [1, 2, 0], "share": None, "has_room": False},
    "step": 0,
    "workers": [{"worker": "w1", "verdict": "no_cores", "free_gpus": 1}],
    "code": 0,
}


@pytest.mark.parametrize(
    ("stdin", "reply", "status", "shown"),
    [
        ("{}", (200, _PLACEMENT), 0, "627 POOL_OVERLOADED, Retry-After 4 s"),
        ("{}", (200, _PLACEMENT), 0, "slack 80 ms, above its team's rate"),
        ("{}", (200, _PLACEMENT), 0, "team t: its share has no room"),
        ("{}", (200, _PLACEMENT), 0, "w1      no_cores"),
        ("{", None, 2, "620 JOB_INVALID"),
        ("[]", None, 2, "620 JOB_INVALID"),
        ("{}", (400, {"code": 620, "message": "steps"}), 2, "620 JOB_INVALID: steps"),
        ("{}", (404, {"code": 622, "message": "no"}), 1, "622 QUEUE_UNKNOWN"),
        ("{}", (503, {"code": 624, "message": "no"}), 3, "624 JOB_OWNER_UNKNOWN"),
    ],
)
def test_explain_placement(
    stdin: str, reply: tuple[int, dict[str, Any]] | None, status: int, shown: str
) -> None:
    """Guards against an answer that is not shown, or the wrong exit status."""
    bodies = []

    def handle(method: str, path: str, body: Any) -> tuple[int, dict[str, Any]] | None:
        bodies.append((method, path, body))
        return reply

    with fake_admin.serve(handle) as admin:
        arguments = ("explain", "placement", "--queue", "q", "--node", admin.node)
        result = testing.CliRunner().invoke(cli.main, arguments, input=stdin)
        assert result.exit_code == status, result.output
        assert shown in result.output
    question = {"queue": "q", "team": "", "job": {}}
    assert bodies == ([("POST", "/v1/placement", question)] if reply else [])


def test_explain_asks_every_node_about_a_request() -> None:
    """Guards against "not known" from a node that did not receive the request."""
    explanation = {
        "subject": "request 1-a",
        "state": "refused",
        "waits_for": None,
        "because": ["the queue is full"],
        "code": 303,
    }
    unknown = {"code": 301, "name": "REQUEST_INVALID", "message": "not known here"}
    with (
        fake_admin.serve(lambda *_: (404, unknown)) as first,
        fake_admin.serve(lambda *_: (200, explanation)) as second,
    ):
        nodes = ("--node", first.node, "--node", second.node)
        result = _run("explain", "request", "1-a", *nodes)
        assert result.exit_code == errors.ExitStatus.DONE
        assert "the queue is full" in result.output
        assert "303 QUEUE_FULL" in result.output
        assert first.calls == second.calls == [("GET", "/v1/requests/1-a")]


_STATUS = {
    "environment": "production",
    "document": {"revision": 7, "author": "ann", "log_time_ms": 1_700_000_000_000},
    "node": {"name": "entry-1", "is_ready": True, "duties": []},
    "peers": [{"name": "entry-2", "applied_offset": 41, "is_alive": False}],
    "pools": [
        {"name": "dispatch", "available": 5, "min_available": 3, "out": ["c1 (move)"]}
    ],
    "waves": [],
    "services": [{"name": "delivery", "owner": None}, {"name": "desk", "queued": 3}],
}
_PLAN = {
    "environment": "trial",
    "waves": {
        "starts": [{"pool": "dispatch", "host_ids": ["c1", "c2"]}],
        "take_outs": [],
        "explanations_by_pool": {
            "dispatch": {
                "subject": "wave of pool dispatch",
                "state": "starting",
                "because": ["2 hosts are due"],
            }
        },
    },
    "capacity": {"moves": []},
}


@pytest.mark.parametrize(
    ("command", "reply", "lines"),
    [
        (
            "status",
            _STATUS,
            [
                "document: revision 7, author ann, log time 2023-11-14 22:13:20",
                "node: name entry-1, ready yes",
                "entry-2  41              no",
                "dispatch  5          3              c1 (move)",
                "delivery  -      -",
                "desk      -      3",
            ],
        ),
        (
            "plan",
            _PLAN,
            [
                "  next: start: pool dispatch, host ids c1,c2",
                "  wave of pool dispatch: starting: 2 hosts are due",
                "  nothing to do now",
            ],
        ),
    ],
)
def test_tables_show_what_a_node_replies(
    command: str, reply: dict[str, Any], lines: list[str]
) -> None:
    """Guards against parts of a reply that are missing in the output for people."""
    with fake_admin.serve(lambda *_: (200, reply)) as admin:
        shown = _run(command, "--node", admin.node)
        as_json = _run(command, "--node", admin.node, "--json")
    assert set(lines) <= set(shown.output.splitlines()), shown.output
    assert json.loads(as_json.output) == reply
