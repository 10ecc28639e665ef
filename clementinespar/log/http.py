"""Client of the log service over HTTP; the only module that knows its wire format."""

import base64
import json
import urllib.parse
from collections.abc import Sequence
from typing import Any, Final

import pycurl
from tornado import curl_httpclient, httpclient

from clementinespar import curl_clients, errors
from clementinespar.log import service

_MAX_CLIENTS: Final = 64  # a long poll, refreshes and appends run concurrently
_CONNECT_TIMEOUT_S = 1.0
# curl errors after which no byte of the request can have reached the log.
_NOT_SENT_ERRORS: Final = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    )
)
_CONNECT_TIMEOUT_TEXT = "Connection timed out"
# Statuses with which the log states that nothing was appended. After others, such as a
# gateway's 502 or 504, the outcome is unknown.
_REFUSED_STATUSES: Final = frozenset((400, 413, 429, 503))


def encode_payload(payload: bytes) -> str | dict[str, str]:
    """Return the JSON form of a payload: text if it is UTF-8, base64 otherwise."""
    try:
        return payload.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(payload).decode()}


def decode_payload(value: object) -> bytes:
    """Return the payload for its JSON form; the inverse of `encode_payload`.

    Raises
    ------
    ValueError
        The value is neither text nor valid base64.
    """
    if isinstance(value, str):
        return value.encode()
    if isinstance(value, dict) and isinstance(value.get("base64"), str):
        return base64.b64decode(value["base64"], validate=True)
    raise ValueError("payload is neither a string nor an object with a base64 string")


class HttpLogService:
    """Implements `log.service.LogService` over HTTP.

    Parameters
    ----------
    url : str
        Scheme, IP address and port of the log service.
    request_timeout_s : float
        Longest time until a response, in seconds; the wait of a read is added to it.
    """

    _url: str
    _request_timeout_s: float
    _client: curl_httpclient.CurlAsyncHTTPClient | None  # created in the running loop

    def __init__(self, url: str, request_timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._request_timeout_s = request_timeout_s
        self._client = None

    def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            curl_clients.close_client(self._client)
            self._client = None

    async def append(self, payloads: Sequence[bytes]) -> int:
        """Append payloads in one call; see `log.service.LogService`."""
        body = json.dumps([encode_payload(payload) for payload in payloads])
        try:
            response = await self._fetch("/append", 0.0, method="POST", body=body)
        except curl_httpclient.CurlError as error:
            if _is_not_sent(error):
                raise errors.LogUnavailableError(f"append not sent: {error}") from error
            raise errors.LogReplyLostError(f"append not answered: {error}") from error
        if response.code == 200:
            try:
                return int(json.loads(response.body)["first_offset"])
            except (ValueError, KeyError, TypeError) as error:
                raise errors.LogReplyLostError(
                    "append reply has no valid first_offset"
                ) from error
        if response.code in _REFUSED_STATUSES:
            raise errors.LogUnavailableError(f"append refused: {response.error}")
        raise errors.LogReplyLostError(f"append not confirmed: {response.error}")

    async def read(self, offset: int, limit: int, wait_s: float) -> service.LogPage:
        """Return entries from ``offset`` on; see `log.service.LogService`."""
        query = urllib.parse.urlencode(
            {"offset": offset, "limit": limit, "wait_s": wait_s}
        )
        try:
            response = await self._fetch(f"/read?{query}", wait_s)
        except curl_httpclient.CurlError as error:
            raise errors.LogUnavailableError(f"read not answered: {error}") from error
        try:
            if response.code == 410:
                raise errors.LogRecordsExpiredError(
                    int(json.loads(response.body)["first_offset"])
                )
            if response.code == 200:
                return _parse_page(json.loads(response.body))
        except (ValueError, KeyError, TypeError) as error:
            raise errors.LogUnavailableError("read reply cannot be parsed") from error
        raise errors.LogUnavailableError(f"read refused: {response.error}")

    async def _fetch(
        self, path: str, wait_s: float, method: str = "GET", body: str | None = None
    ) -> httpclient.HTTPResponse:
        if self._client is None:
            self._client = curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True, max_clients=_MAX_CLIENTS
            )
        request = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            follow_redirects=False,
            connect_timeout=min(_CONNECT_TIMEOUT_S, self._request_timeout_s),
            request_timeout=self._request_timeout_s + wait_s,
            prepare_curl_callback=_use_fresh_connection if body is not None else None,
        )
        return await self._client.fetch(request, raise_error=False)


def _use_fresh_connection(curl: pycurl.Curl) -> None:
    """Prevent libcurl from sending an append twice on its own.

    It resends a POST when a reused connection closes before the response. If the second
    connect fails, the error says that nothing was sent, although the first POST was.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _is_not_sent(error: curl_httpclient.CurlError) -> bool:
    """Whether no byte of a request can have reached the log."""
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        # curl has one code for connect and response timeouts; only the text differs. An
        # unrecognized text counts as possibly sent, which is the safe assumption.
        return _CONNECT_TIMEOUT_TEXT in str(error)
    return error.errno in _NOT_SENT_ERRORS


def _parse_page(reply: Any) -> service.LogPage:
    return service.LogPage(
        tuple(
            service.LogEntry(
                int(entry["offset"]),
                int(entry["timestamp_ms"]),
                decode_payload(entry["payload"]),
            )
            for entry in reply["entries"]
        ),
        int(reply["first_offset"]),
        int(reply["end_offset"]),
    )
