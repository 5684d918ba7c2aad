"""Calls a router, as operators do; for the command line, benchmarks and tests."""

from __future__ import annotations

import http.client
from typing import Any
from urllib.parse import quote

import orjson

from saltport.address import Address


def call(address: Address, method: str, path: str, timeout_s: float = 5.0) -> tuple[int, dict[str, Any]]:
    """Make one call; returns the status and the object. Raises OSError, or ValueError for another answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        told = orjson.loads(response.read() or b"{}")
    except (http.client.HTTPException, orjson.JSONDecodeError) as error:
        raise ValueError(f"no answer that can be read: {type(error).__name__}") from None
    finally:
        connection.close()
    if not isinstance(told, dict):
        raise ValueError("it answered something else than an object")
    return response.status, told


def ask(address: Address, path: str, timeout_s: float = 5.0, method: str = "GET") -> dict[str, Any]:
    """What a router answers with a yes; raises OSError when it can't be reached, ValueError for a no."""
    status, told = call(address, method, path, timeout_s)
    if status != 200:
        raise ValueError(str(told.get("error") or status))
    return told


def voter_path(voter: str) -> str:
    """The path of the call that hands the lead to a voter."""
    return f"/voters/{quote(voter, safe='')}/lead"


def zone_path(zone: str, what: str, over_s: float, force: bool) -> str:
    """The path of the call that evacuates a zone or returns to it."""
    return f"/zones/{quote(zone, safe='')}/{what}?over={over_s:g}&force={int(force)}"


def server_path(server: str, state: str) -> str:
    """The path of the call that takes a server out (`maint`) or back (`ready`)."""
    return f"/cache-servers/{quote(server, safe='')}/{state}"
