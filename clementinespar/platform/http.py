"""Client of the platform's HTTP interface."""

import json
import urllib.parse
from collections.abc import Mapping
from typing import Any, NoReturn

import pydantic
from tornado import curl_httpclient, httpclient

from clementinespar import curl_clients, errors
from clementinespar.platform import service

_MAX_CLIENTS = 32  # concurrent host actions and polls of one node
_STATUS_NOT_MODIFIED = 304
_STATUS_REFUSED = 409  # the platform's answer to a stale fencing offset
_MAX_ERROR_CHARACTERS = 200


_HOSTS_ADAPTER = pydantic.TypeAdapter(list[service.ListedHost])


class _StatusReply(pydantic.BaseModel):
    """Reply of ``GET /operations/ID/STEP``."""

    state: service.OperationState


class HttpPlatformService:
    """Implements `service.PlatformService` over HTTP.

    libcurl may send a request twice when a reused connection closes. This is harmless,
    because host actions are idempotent by operation id.

    Parameters
    ----------
    url : str
        Base URL without a trailing slash, for example ``http://10.0.0.1:8000``.
    request_timeout_s : float
        Timeout of one request in seconds, including connecting.
    """

    _url: str  # base URL
    _request_timeout_s: float
    _etag: str | None  # ETag of the reply with `_hosts_by_id`
    _hosts_by_id: dict[str, service.ListedHost]  # newest list, shared by `HostList`s
    _client: curl_httpclient.CurlAsyncHTTPClient | None  # created in the running loop

    def __init__(self, url: str, request_timeout_s: float) -> None:
        self._url = url
        self._request_timeout_s = request_timeout_s
        self._etag = None
        self._hosts_by_id = {}
        self._client = None

    def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            curl_clients.close_client(self._client)
            self._client = None

    async def list_hosts(self) -> service.HostList:
        """Return the list of live and leaving hosts.

        The hosts are transferred only if they have changed: a list of 1,100 hosts has
        150 KB, and polling it every second must stay within 8 KB/s.
        """
        headers = {} if self._etag is None else {"If-None-Match": self._etag}
        reply = await self._request("GET", "/hosts", None, headers)
        if reply.code == _STATUS_NOT_MODIFIED and self._etag is None:
            _raise_malformed("/hosts", "status 304 before a list was received")
        observed_ms = reply.headers.get("X-Observed-Ms", "")
        if not observed_ms.isdecimal():
            _raise_malformed("/hosts", "X-Observed-Ms is missing or not a number")
        if reply.code != _STATUS_NOT_MODIFIED:
            try:
                hosts = _HOSTS_ADAPTER.validate_json(reply.body)
            except pydantic.ValidationError as error:
                _raise_malformed("/hosts", error)
            self._hosts_by_id = {host.host_id: host for host in hosts}
            self._etag = reply.headers.get("Etag")
        return service.HostList(int(observed_ms), self._hosts_by_id)

    async def drain(self, host_id: str, operation: service.Operation) -> None:
        """Start to drain a host."""
        await self._request(
            "POST", f"/hosts/{_quote(host_id)}/drain", _encode_operation(operation)
        )

    async def reboot(
        self, host_id: str, operation: service.Operation, pool: str
    ) -> None:
        """Start to reboot a drained host into a pool."""
        body = _encode_operation(operation) | {"pool": pool}
        await self._request("POST", f"/hosts/{_quote(host_id)}/reboot", body)

    async def operation_status(
        self, operation_id: str, step: service.OperationStep
    ) -> service.OperationState:
        """Return the state of a step of an operation."""
        path = f"/operations/{_quote(operation_id)}/{step}"
        reply = await self._request("GET", path, None)
        try:
            return _StatusReply.model_validate_json(reply.body).state
        except pydantic.ValidationError as error:
            _raise_malformed(path, error)

    async def throttle(self, host_id: str, request_id: str) -> None:
        """Reduce the CPU share of a straggling task on a host."""
        await self._request(
            "POST", f"/hosts/{_quote(host_id)}/throttle", {"request_id": request_id}
        )

    async def checkpoint(self, host_id: str, request_id: str) -> None:
        """Checkpoint a task, so that it can continue on another host."""
        await self._request(
            "POST", f"/hosts/{_quote(host_id)}/checkpoint", {"request_id": request_id}
        )

    async def _request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: Mapping[str, str] | None = None,
    ) -> httpclient.HTTPResponse:
        """Send one request; raise unless the status is 200 or 304."""
        if self._client is None:
            self._client = curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True, max_clients=_MAX_CLIENTS
            )
        request = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            headers={"Content-Type": "application/json", **(headers or {})},
            body=None if body is None else json.dumps(body),
            connect_timeout=self._request_timeout_s,
            request_timeout=self._request_timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise errors.PlatformUnavailableError(f"{path}: {error}") from error
        if response.code == _STATUS_REFUSED:
            text = response.body.decode(errors="replace")[:_MAX_ERROR_CHARACTERS]
            raise errors.PlatformRefusedError(f"{path}: {text}")
        if response.code not in (200, _STATUS_NOT_MODIFIED):
            raise errors.PlatformUnavailableError(
                f"{path}: status {response.code}: {response.reason}"
            )
        return response


def _quote(identifier: str) -> str:
    """Return an identifier quoted as one path segment."""
    return urllib.parse.quote(identifier, safe="")


def _encode_operation(operation: service.Operation) -> dict[str, Any]:
    return {
        "operation_id": operation.operation_id,
        "fencing_offset": operation.fencing_offset,
    }


def _raise_malformed(path: str, error: object) -> NoReturn:
    first_line = str(error).splitlines()[0]
    raise errors.PlatformUnavailableError(f"{path}: reply is not valid: {first_line}")
