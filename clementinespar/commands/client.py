"""Client of the admin ports of nodes.

Several nodes may be given; they are tried in turn. The client never resends a call that
changes something: `NoReply` says whether the node may have received it.
"""

import contextlib
import dataclasses
import json
import urllib.parse
from collections.abc import Iterator, Mapping, Sequence

import pycurl
from tornado import curl_httpclient, httpclient

from clementinespar import codes, curl_clients
from clementinespar.commands import exits

Json = Mapping[str, object]

_CONNECT_TIMEOUT_S = 2.0
_MAX_REPLY_BYTES = 16 * 1024 * 1024
# A timeout is not one of them: the node may have received the call before it.
_ERRORS_BEFORE_SENDING = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_URL_MALFORMAT}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A node's reply."""

    node: str  # IP:port that replied
    status: int  # HTTP status
    values: Json

    @property
    def code(self) -> codes.ResultCode | int:
        """The numbered result code, or ``OK`` if the reply has none."""
        return parse_code(self.values.get("code", 0))

    @property
    def is_done(self) -> bool:
        """Whether the node did what was asked."""
        return self.status < 300 and self.code == codes.ResultCode.OK


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """A call that got no reply."""

    node: str  # IP:port that was called
    reason: str
    may_have_arrived: bool  # False: the node certainly did not receive the call


def parse_code(value: object) -> codes.ResultCode | int:
    """Return a result code from its number or name, INTERNAL_ERROR if it is neither."""
    if isinstance(value, str) and value in codes.ResultCode.__members__:
        return codes.ResultCode[value]
    if isinstance(value, int):
        try:
            return codes.ResultCode(value)
        except ValueError:
            return value  # a code of a newer version of the node
    return codes.ResultCode.INTERNAL_ERROR


def code_text(code: codes.ResultCode | int) -> str:
    """Return the number and name of a result code, as shown to operators."""
    return f"{int(code)} {code.name if isinstance(code, codes.ResultCode) else ''}"


class AdminClient:
    """Calls the admin ports of nodes."""

    _nodes: list[str]  # IP:port of each node, in the order in which they are tried
    _timeout_s: float  # longest wait for one reply
    _client: curl_httpclient.CurlAsyncHTTPClient

    def __init__(self, nodes: Sequence[str], timeout_s: float) -> None:
        self._nodes = list(nodes)
        self._timeout_s = timeout_s
        self._client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)

    @property
    def nodes(self) -> Sequence[str]:
        """Nodes in the order in which they are tried: unresponsive ones last."""
        return tuple(self._nodes)

    def close(self) -> None:
        """Close all connections."""
        curl_clients.close_client(self._client)

    def try_last(self, node: str) -> None:
        """Move a node that gave no reply to the end of the order.

        Otherwise each call of a command would wait for the unresponsive node again.
        """
        self._nodes.sort(key=lambda known: known == node)

    async def get(self, path: str, query: Mapping[str, str] | None = None) -> Reply:
        """Return the first reply of any node.

        Raises
        ------
        exits.UnreachableError
            No node replied.
        """
        return (await self.get_all(path, query, limit=1))[0]

    async def get_all(
        self,
        path: str,
        query: Mapping[str, str] | None = None,
        limit: int | None = None,
        question: Json | None = None,
    ) -> list[Reply]:
        """Return the replies of the first ``limit`` nodes that reply (default: all).

        Replies with a server error (5xx) are returned only if there are no others.

        Parameters
        ----------
        question : Json, optional
            Body of a POST that changes nothing, so that it may be sent to any node.

        Raises
        ------
        exits.UnreachableError
            No node replied.
        """
        replies: list[Reply] = []
        errors: list[Reply] = []
        failures: list[NoReply] = []
        for node in self.nodes:
            method = "GET" if question is None else "POST"
            result = await self.call(node, method, path, query, question)
            if isinstance(result, NoReply):
                failures.append(result)
                self.try_last(node)
            elif result.status >= 500:
                errors.append(result)
            else:
                replies.append(result)
            if limit is not None and len(replies) >= limit:
                break
        if not replies and not errors:
            raise unreachable(failures)
        return replies or errors

    async def call(
        self,
        node: str,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        body: Json | None = None,
    ) -> Reply | NoReply:
        """Call one node once, on a connection of its own."""
        url = f"http://{node}{path}"
        if query:
            url = f"{url}?{urllib.parse.urlencode(query)}"
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=_CONNECT_TIMEOUT_S,
            request_timeout=self._timeout_s,
            follow_redirects=False,
            prepare_curl_callback=_prepare_curl,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except curl_httpclient.CurlError as error:
            may_have_arrived = error.errno not in _ERRORS_BEFORE_SENDING
            return NoReply(node, error.message, may_have_arrived)
        try:
            values = json.loads(response.body)
        except ValueError:
            values = None
        if not isinstance(values, dict):
            return NoReply(
                node, f"HTTP status {response.code} without a JSON object", True
            )
        return Reply(node, response.code, values)


@contextlib.contextmanager
def connect(nodes: Sequence[str], timeout_s: float) -> Iterator[AdminClient]:
    """Yield a client and close it at the end."""
    admin = AdminClient(nodes, timeout_s)
    try:
        yield admin
    finally:
        admin.close()


def _prepare_curl(curl: pycurl.Curl) -> None:
    """Use a new connection for each call and limit the size of its reply.

    On a reused connection that closes before the reply, libcurl would resend a POST.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.MAXFILESIZE, _MAX_REPLY_BYTES)
    curl.setopt(pycurl.NOPROXY, "*")


def unreachable(failures: Sequence[NoReply]) -> exits.UnreachableError:
    """Return the error for calls to which no node replied."""
    lines = [f"  {failure.node}: {failure.reason}" for failure in failures]
    return exits.UnreachableError("\n".join(["no node replied:", *lines]))


def refused(reply: Reply) -> exits.RefusedError:
    """Return the error for a reply that refuses the call."""
    message = reply.values.get("message") or reply.values.get("reason") or "refused"
    return exits.RefusedError(f"{code_text(reply.code)}: {message} ({reply.node})")


def check_done(reply: Reply) -> None:
    """Raise an error unless a node did what was asked.

    Raises
    ------
    exits.UnreachableError
        The node failed to handle the call, for example because it is not ready.
    exits.RefusedError
        The node refused.
    """
    if reply.status >= 500:
        raise exits.UnreachableError(
            f"{code_text(reply.code)}: "
            f"{reply.values.get('message', 'no reason given')} ({reply.node})"
        )
    if not reply.is_done:
        raise refused(reply)


def quote(name: str) -> str:
    """Return a name percent-encoded as one segment of a path."""
    return urllib.parse.quote(name, safe="")
