"""Shows where a job would be placed, for the command `explain placement`."""

import json
from collections.abc import Mapping
from typing import IO, Any

from clementinespar import codes
from clementinespar.commands import client, exits, replies, tables

PATH = "/v1/placement"
_HTTP_BAD_REQUEST = 400
_COLUMNS = (
    "worker",
    "verdict",
    "rack",
    "free_cpu_millis",
    "free_memory_mb",
    "free_gpus",
)


def read_question(stream: IO[Any], queue: str, team: str) -> client.Json:
    """Return the body of the question about a job in a file.

    Raises
    ------
    exits.BadInputError
        The file holds no JSON object.
    """
    try:
        job = json.load(stream)
    except (ValueError, RecursionError) as error:
        raise _invalid(str(error)) from error
    if not isinstance(job, dict):
        raise _invalid("expected a JSON object")
    return {"queue": queue, "team": team, "job": job}


def _invalid(message: str) -> exits.BadInputError:
    text = client.code_text(codes.ResultCode.JOB_INVALID)
    return exits.BadInputError(f"{text}: {message}")


def check_reply(reply: client.Reply) -> None:
    """Raise an error unless the node has answered; invalid input has its own status."""
    if reply.status == _HTTP_BAD_REQUEST:
        message = replies.text(reply.values, "message")
        raise exits.BadInputError(f"{client.code_text(reply.code)}: {message}")
    client.check_done(reply)


def lines(values: client.Json) -> list[str]:
    """Return the lines that operators see."""
    order, wait = replies.mapping(values, "order"), replies.mapping(values, "wait")
    before, owner = replies.mapping(values, "before"), replies.mapping(values, "owner")
    marks = [
        text
        for key, text in (
            ("is_over_rate", "above its team's rate"),
            ("is_above_share", "its team has its fair share"),
            ("is_held_back", "held back while its pool lends hosts"),
        )
        if order.get(key)
    ]
    start = replies.time_text(replies.integer(wait, "start_ms"))
    in_time = "in time" if wait.get("is_in_time") else "late"
    result = [
        f"{replies.text(values, 'subject')}: {replies.text(values, 'state')}",
        f"owner: {replies.text(owner, 'node')}, partition"
        f" {replies.text(owner, 'partition')}, epoch {replies.text(owner, 'epoch')}",
        ", ".join(
            [
                f"order: class {replies.text(order, 'class')}",
                f"priority {replies.text(order, 'priority')}",
                f"slack {replies.integer(order, 'slack_ms')} ms",
                *marks,
            ]
        ),
        f"before it: {replies.integer(before, 'jobs')} jobs with"
        f" {tables.cell(before.get('cpu_millis'))} thousandths of a core,"
        f" {tables.cell(before.get('memory_mb'))} MB,"
        f" {tables.cell(before.get('gpus'))} accelerators",
        f"estimated wait: {replies.integer(wait, 'wait_ms')} ms, start {start} UTC,"
        f" {in_time}",
        f"rejection: {_rejection_text(replies.mapping(values, 'rejection'))}",
    ]
    if team := replies.mapping(values, "team"):
        room = "has no room" if team.get("has_room") is False else "has room"
        result.append(
            f"team {replies.text(team, 'name')}: its share {room}; uses"
            f" {tables.cell(team.get('use'))} of share {tables.cell(team.get('share'))}"
            f" and cap {tables.cell(team.get('cap'))}"
        )
    workers = replies.items(values, "workers")
    if workers:
        result.append(f"workers for the first task of step {values.get('step')}:")
        result.append(
            tables.render(
                [column.replace("_", " ").upper() for column in _COLUMNS],
                [[worker.get(column) for column in _COLUMNS] for worker in workers],
            )
        )
    return result


def _rejection_text(rejection: Mapping[str, object]) -> str:
    if not rejection:
        return "none, it would be accepted"
    return (
        f"{client.code_text(client.parse_code(rejection.get('code')))}, Retry-After"
        f" {replies.integer(rejection, 'retry_after_s')} s, for a wait of"
        f" {replies.integer(rejection, 'wait_ms')} ms"
    )
