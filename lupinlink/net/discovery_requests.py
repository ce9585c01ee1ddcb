"""The requests of a call to discovery."""

from __future__ import annotations

from lupinlink.net import http1

PATH = "/discovery/hosts"


def full_list_request(host: str) -> bytes:
    """A request for the full list; a watch may be requested on the same connection after its answer."""
    return http1.request("GET", PATH, [("Host", host)])


def watch_request(host: str, version: int) -> bytes:
    """A request for a watch of what changes after this version of the list."""
    return http1.request("GET", f"{PATH}?watch=1&from={version}", [("Host", host), ("Connection", "close")])
