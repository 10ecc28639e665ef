"""Sends a publication or promotion and determines its result.

A reply may be lost after the record took effect, so the history is read back before
anything is resent. Resending is then safe: the record names the revision that it
replaces, so at most one of the two takes effect.
"""

import asyncio
import dataclasses

from clementinespar import codes
from clementinespar.commands import client, exits, replies

_READ_BACK_INTERVAL_S = 0.5
# A node may still be appending when its reply is lost; after this time it has given up.
READ_BACK_S = 6.0

# Replies with these codes leave it open whether the record took effect.
_UNCERTAIN_CODES = frozenset(
    {codes.ResultCode.LOG_REPLY_LOST, codes.ResultCode.INTERNAL_ERROR}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A change of the document of an environment."""

    environment: str  # environment to change
    path: str  # path of the POST
    body: client.Json
    replaces: int  # revision that the change replaces
    author: str
    document: object  # plain values of the document that the change puts into force


async def submit(admin: client.AdminClient, submission: Submission) -> client.Reply:
    """Send a submission and return the reply with its result.

    Raises
    ------
    exits.UnreachableError
        No node replied, or the result is unknown.
    """
    failures: list[client.NoReply] = []
    is_uncertain = False
    last_error: client.Reply | None = None
    for node in admin.nodes:
        result = await admin.call(node, "POST", submission.path, body=submission.body)
        if isinstance(result, client.Reply) and result.code not in _UNCERTAIN_CODES:
            if result.status < 500:
                return await _resolve(admin, submission, result, is_uncertain)
            last_error = result  # not ready or log unavailable: it had no effect
            continue
        if isinstance(result, client.NoReply):
            failures.append(result)
            admin.try_last(node)
            if not result.may_have_arrived:
                continue
        else:
            last_error = result
        is_uncertain = True
        found = await _read_back(admin, submission)
        if found is not None:
            return found
        if isinstance(result, client.Reply):
            break  # the node replies, its log does not; all nodes share that log
    if is_uncertain:
        raise exits.UnreachableError(
            "the reply was lost and the history does not show the change (yet); check "
            "the history before you repeat the command"
        )
    if last_error is not None:
        raise exits.UnreachableError(
            f"{client.code_text(last_error.code)}: "
            f"{last_error.values.get('message', 'no reason given')} ({last_error.node})"
        )
    raise client.unreachable(failures)


async def _resolve(
    admin: client.AdminClient,
    submission: Submission,
    reply: client.Reply,
    is_uncertain: bool,
) -> client.Reply:
    """Return a reply, or the result of an earlier attempt whose reply was lost.

    After a lost reply, a conflict may be with that attempt itself.
    """
    if is_uncertain and reply.code == codes.ResultCode.DOCUMENT_CONFLICT:
        return await _find_result(admin, submission) or reply
    return reply


async def _read_back(
    admin: client.AdminClient, submission: Submission
) -> client.Reply | None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + READ_BACK_S
    while True:
        found = await _find_result(admin, submission)
        if found is not None or loop.time() >= deadline:
            return found
        await asyncio.sleep(_READ_BACK_INTERVAL_S)


async def _find_result(
    admin: client.AdminClient, submission: Submission
) -> client.Reply | None:
    """Return the result of a submission from the history, or None if it has none.

    Only one publication can have replaced a revision: this one, or the one that won a
    conflict.
    """
    path = f"/v1/documents/{submission.environment}"
    try:
        history = await admin.get(f"{path}/history")
        in_force = await admin.get(path)
    except exits.UnreachableError:
        return None
    for publication in replies.publications(history.values):
        if publication.replaces == submission.replaces and publication.is_accepted:
            break
    else:
        return None
    is_own = publication.author == submission.author
    if is_own and in_force.values.get("revision") == publication.revision:
        # The same author may have published another document from another terminal.
        is_own = in_force.values.get("document") == submission.document
    code = codes.ResultCode.OK if is_own else codes.ResultCode.DOCUMENT_CONFLICT
    values = {
        "code": int(code),
        "name": code.name,
        "message": f"revision {publication.revision} by {publication.author} replaced "
        f"revision {submission.replaces}",
        "revision": publication.revision,
        "winner": None if is_own else publication.author,
        "is_read_back": True,
    }
    return client.Reply(history.node, 200 if is_own else 409, values)
