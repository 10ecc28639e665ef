"""Closing of tornado's curl clients."""

import pycurl
from tornado import curl_httpclient


def close_client(client: curl_httpclient.CurlAsyncHTTPClient) -> None:
    """Close a client and all its connections.

    While a client with open transfers closes, libcurl sets one more timer, whose
    callback then fails on the closed client. The timer function is removed first.
    """
    client._multi.setopt(pycurl.M_TIMERFUNCTION, _ignore_timer)
    client.close()


def _ignore_timer(timeout_ms: int) -> None:
    """Take the place of the client's timer function."""
