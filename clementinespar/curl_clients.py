"""Closes tornado's curl clients without errors from a late timer callback."""

import pycurl
from tornado import curl_httpclient


def close_client(client: curl_httpclient.CurlAsyncHTTPClient) -> None:
    """Close a client and all its connections.

    While a client with open transfers is closed, libcurl sets one more timer, whose
    callback would fail on the closed client. The timer function is replaced first.
    """
    client._multi.setopt(pycurl.M_TIMERFUNCTION, _ignore_timer)
    client.close()


def _ignore_timer(timeout_ms: int) -> None:
    """Do nothing; replaces the client's timer function."""
