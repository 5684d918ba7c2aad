"""The table of calls, without sockets."""

from __future__ import annotations

from typing import Any

import pytest

from saltport.admin.calls import CallError, answer
from saltport.admin.figures import Figures


class Router:
    """What calls are made of; it knows one server."""

    def __init__(self) -> None:
        self.done: list[str] = []
        self.well = True

    def healthy(self) -> bool:
        return self.well

    def stats(self) -> dict[str, Any]:
        return {"sends": 3}

    def state(self) -> dict[str, Any]:
        return {"ready": True}

    def take_out(self, server: str) -> bool:
        if server == "full":
            raise CallError("no room")
        self.done.append(f"out {server}")
        return server in ("s-1", "ü/ ä")

    def put_back(self, server: str) -> bool:
        self.done.append(f"back {server}")
        return server == "s-1"

    def peers(self) -> dict[str, Any]:
        return {"on": False}

    def owners(self) -> dict[str, Any]:
        return {"on": False}

    def zones(self) -> dict[str, Any]:
        return {"on": False}

    def order_zones(self, what: str, zone: str, way_ms: int, force: bool) -> int | None:
        self.done.append(f"{what} {zone} {way_ms}{' force' if force else ''}")
        return 7 if zone in ("", "b", "b?") else None

    def step_down(self, to: str) -> None:
        self.done.append(f"lead {to}")

    def settle_peers(self) -> bool:
        self.done.append("settle")
        return self.well

    def drain(self) -> None:
        self.done.append("drain")

    def resume(self) -> None:
        self.done.append("resume")


@pytest.mark.parametrize(
    ("method", "target", "status", "done"),
    [
        ("GET", "/healthcheck", 200, []),
        ("HEAD", "/healthcheck", 200, []),
        ("GET", "/healthcheck?verbose=1", 200, []),
        ("GET", "/stats", 200, []),
        ("PUT", "/cache-servers/s-1/maint", 200, ["out s-1"]),
        ("PUT", "/cache-servers/s-1/ready?by=me", 200, ["back s-1"]),
        ("PUT", "/cache-servers/%73-1/maint", 200, ["out s-1"]),
        ("PUT", "/cache-servers/%C3%BC%2F%20%C3%A4/maint", 200, ["out ü/ ä"]),
        ("GET", "/peers", 200, []),
        ("GET", "/zones", 200, []),
        ("PUT", "/zones/b/evacuate?over=2.5&force=1", 200, ["evacuate b 2500 force"]),
        ("PUT", "/zones/b%3F/return", 200, ["return b? 0"]),
        ("PUT", "/zones/x/evacuate", 404, ["evacuate x 0"]),
        ("PUT", "/zones/b/evacuate?over=soon", 400, []),
        ("PUT", "/zones/b/evacuate?over=1e9", 400, []),
        ("PUT", "/failover/freeze", 200, ["freeze  0"]),
        ("GET", "/owners", 200, []),
        ("PUT", "/owners/step-down", 200, ["lead "]),
        ("PUT", "/voters/r%32/lead", 200, ["lead r2"]),
        ("PUT", "/peers/settle", 200, ["settle"]),
        ("PUT", "/healthcheck/fail", 200, ["drain"]),
        ("PUT", "/healthcheck/ok", 200, ["resume"]),
        ("PUT", "/cache-servers/other/maint", 404, ["out other"]),
        ("PUT", "/cache-servers/other/ready", 404, ["back other"]),
        ("PUT", "/cache-servers/full/maint", 500, []),
        ("PUT", "/cache-servers//maint", 404, []),
        ("PUT", "/cache-servers/s-1/sleep", 404, []),
        ("PUT", "/cache-servers/s-1", 404, []),
        ("PUT", "/cache-servers/%ff/maint", 400, []),
        ("GET", "/cache-servers/s-1/maint", 405, []),
        ("POST", "/healthcheck/fail", 405, []),
        ("HEAD", "/healthcheck/fail", 405, []),
        ("DELETE", "/stats", 405, []),
        ("GET", "/", 404, []),
        ("GET", "/nothing", 404, []),
        ("GET", "/healthcheck/", 404, []),
        ("OPTIONS", "*", 400, []),
        ("GET", "http://elsewhere/stats", 400, []),
    ],
)
def test_each_call_is_answered_and_only_a_whole_one_does_something(
    method: str, target: str, status: int, done: list[str]
) -> None:
    router = Router()
    told = answer(method, target, router)
    assert (told.status, router.done) == (status, done)
    assert bool(told.allow) == (status == 405)
    assert ("error" in told.body) == (status not in (200, 503))


def test_a_router_that_takes_no_clients_says_no() -> None:
    router = Router()
    router.well = False
    assert answer("GET", "/healthcheck", router).status == 503


def test_figures_show_every_class_from_the_start_and_keep_dropped_ones() -> None:
    figures = Figures(["get"])
    figures.answered["get"] += 2
    figures.classes(["fresh"])
    told = figures.view(7, (5, 2))
    assert told["answered"] == {"get": 2, "fresh": 0}
    assert told["deferred"] == told["errored"] == {"get": 0, "fresh": 0}
    assert (told["sends"], told["cluster_size"], told["cluster_unhealthy"]) == (7, 5, 2)
