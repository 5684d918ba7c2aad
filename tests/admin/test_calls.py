"""The table of calls, without sockets."""

from __future__ import annotations

from typing import Any

import pytest

from saltport.admin.calls import CallError, handle_call
from saltport.admin.figures import Figures


class FakeRouter:
    """Operations that record each call and know only a few servers and zones."""

    def __init__(self) -> None:
        self.done: list[str] = []
        self.is_healthy = True

    def healthy(self) -> bool:
        return self.is_healthy

    def stats(self) -> dict[str, Any]:
        return {"sends": 3}

    def state(self) -> dict[str, Any]:
        return {"ready": True}

    def ban_server(self, server: str) -> bool:
        if server == "full":
            raise CallError("no room")
        self.done.append(f"out {server}")
        return server in ("s-1", "ü/ ä")

    def unban_server(self, server: str) -> bool:
        self.done.append(f"back {server}")
        return server == "s-1"

    def peers(self) -> dict[str, Any]:
        return {"on": False}

    def owners(self) -> dict[str, Any]:
        return {"on": False}

    def zones(self) -> dict[str, Any]:
        return {"on": False}

    def order_zones(self, action: str, zone: str, transition_ms: int, force: bool) -> int | None:
        self.done.append(f"{action} {zone} {transition_ms}{' force' if force else ''}")
        return 7 if zone in ("", "b", "b?") else None

    def step_down(self, to: str) -> None:
        self.done.append(f"lead {to}")

    def settle_peers(self) -> bool:
        self.done.append("settle")
        return self.is_healthy

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
def test_each_call_has_its_status_and_invalid_calls_change_nothing(
    method: str, target: str, status: int, done: list[str]
) -> None:
    router = FakeRouter()
    response = handle_call(method, target, router)
    assert (response.status, router.done) == (status, done)
    assert bool(response.allow) == (status == 405)
    assert ("error" in response.body) == (status not in (200, 503))


def test_healthcheck_fails_if_the_router_accepts_no_clients() -> None:
    router = FakeRouter()
    router.is_healthy = False
    assert handle_call("GET", "/healthcheck", router).status == 503


def test_figures_show_every_class_from_the_start_and_keep_dropped_ones() -> None:
    figures = Figures(["get"])
    figures.answered["get"] += 2
    figures.add_classes(["fresh"])
    view = figures.view(7, (5, 2))
    assert view["answered"] == {"get": 2, "fresh": 0}
    assert view["deferred"] == view["errored"] == {"get": 0, "fresh": 0}
    assert (view["sends"], view["cluster_size"], view["cluster_unhealthy"]) == (7, 5, 2)
