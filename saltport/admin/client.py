"""A client for the operators' HTTP interface; used by the command line, benchmarks and tests."""

from __future__ import annotations

import http.client
from typing import Any
from urllib.parse import quote

import orjson

from saltport.address import Address


def call(address: Address, method: str, path: str, timeout_s: float = 5.0) -> tuple[int, dict[str, Any]]:
    """Make one call and return the HTTP status and the JSON object of the response.

    Raises OSError if the router cannot be reached, and ValueError if the response cannot be parsed.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        body = orjson.loads(response.read() or b"{}")
    except (http.client.HTTPException, orjson.JSONDecodeError) as error:
        raise ValueError(f"unreadable response: {type(error).__name__}") from None
    finally:
        connection.close()
    if not isinstance(body, dict):
        raise ValueError("response is not a JSON object")
    return response.status, body


def ask(address: Address, path: str, timeout_s: float = 5.0, method: str = "GET") -> dict[str, Any]:
    """Make one call and return the JSON object of a response with status 200.

    Raises OSError if the router cannot be reached, and ValueError for any other status.
    """
    status, body = call(address, method, path, timeout_s)
    if status != 200:
        raise ValueError(str(body.get("error") or status))
    return body


def voter_path(voter: str) -> str:
    """Return the path of the call that transfers leadership to a voter."""
    return f"/voters/{quote(voter, safe='')}/lead"


def zone_path(zone: str, action: str, over_s: float, force: bool) -> str:
    """Return the path of the call that evacuates a zone (`evacuate`) or uses it again (`return`).

    `over_s`: how long the shift of the zone's reads takes.
    """
    return f"/zones/{quote(zone, safe='')}/{action}?over={over_s:g}&force={int(force)}"


def server_path(server: str, state: str) -> str:
    """Return the path of the call that bans a cache server (`maint`) or lifts its ban (`ready`)."""
    return f"/cache-servers/{quote(server, safe='')}/{state}"
