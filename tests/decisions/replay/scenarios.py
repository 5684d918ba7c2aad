"""The recorded scenarios, each of which covers some rules; times in settings are in nanoseconds."""

from __future__ import annotations

from tests.decisions.replay.world import MS, Class, Fault, Fields, S, Scenario


def _class(name: str, share: float, aim_ms: int, semantics: str = "retryable", **changes: object) -> Class:
    write = bool(changes.pop("write", semantics != "retryable"))
    facts = {"name": name, "aimNs": aim_ms * MS, "giveUpNs": S, "semantics": semantics, **changes}
    return Class(facts, share, write)


READ = _class("read", 0.86, 150)
WRITE = _class("put", 0.08, 400, "dedup", dedupWindowNs=400 * MS)
WRITES = _class("put", 0.3, 400, "dedup", dedupWindowNs=400 * MS)
MIXED = (
    READ,
    _class("bulk", 0.02, 400, streamed=True),
    WRITE,
    _class("zonal", 0.02, 400, "dedup", group="zone", dedupWindowNs=600 * MS),
    _class("cellular", 0.02, 400, "dedup", group="cell", dedupWindowNs=600 * MS),
    _class("order", 0.04, 400, "fragile"),
)


def _facts(classes: tuple[Class, ...], mode: str = "aside", quota: float = 60.0, **changes: object) -> Fields:
    facts: Fields = {
        "balancers": 1,
        "ceilings": {"mostTries": 4, "retryAfter": True, "maxRetryAfterNs": S},
        "classes": [cls.facts for cls in classes],
        "familyInfo": {"mode": mode, "originKind": 1 if mode == "aside" else -1},
        "kinds": ["std", "origin"],
        "rules": {"coldNs": 6 * S, "coldShare": 0.4, "askWithinNs": 4 * S},
        "membershipMode": "automatic",
        "tenants": [
            {"name": "a", "portion": 0.6, "quotaPerS": quota * 0.6},
            {"name": "b", "portion": 0.4, "quotaPerS": quota * 0.4},
        ],
    }
    return {**facts, **changes}


def _listed(server: str, mode: int, zone: str) -> Fields:
    line = {"server": server, "type": "std", "mode": mode, "weight": 1.0, "campus": zone, "stripe": 0}
    return {"backendsChanged": {"scope": 0, "lines": [line]}}


_PLAIN = _facts(MIXED, membershipMode="subscribe")
_REPORTS = _facts((READ, WRITE), quota=200.0, feedback={"fields": ["latency_ms", "inflight"]})
_READS, _WRITES = (
    {"hotKeys": {"fill": fill, "max_keys": 4, "max_copies": 6, "lease": 2 * S}}
    for fill in ("reads", "writes")
)
_ZONES = {"zones": ["a", "b", "c"], "here": "a", "regions": ["x", "x", "y"], "origins": []}

SCENARIOS = (
    Scenario(
        "faults", 11, 18.0, 28.0, MIXED, _PLAIN,
        faults=(
            Fault("refusing", 1, 4), Fault("resetting", 5, 7), Fault("silent", 7.5, 11, 0.4),
            Fault("erring", 11, 12), Fault("refusing", 13, 15, 0.9), Fault("erring", 16, 17, origin=True),
            Fault("slow", 17, 18, origin=True), Fault("flush", 10, 10.3),
        ),
        scripted=(
            (2.5, _listed("s:0", 0, "a")), (3.5, _listed("s:0", 1, "a")),
            (2.0, {"takeOut": {"server": "s:5"}}), (6.0, {"putBack": {"server": "s:5"}}),
            (9.0, {"settings": _facts(MIXED, quota=25.0, membershipMode="subscribe")}),
        ),
    ),
    Scenario(
        "through", 12, 11.0, 28.0, MIXED, _facts(MIXED, "through"),
        faults=(Fault("refusing", 1, 4), Fault("silent", 5, 8), Fault("full", 9, 11, 0.6)),
    ),
    Scenario(
        "overrun", 13, 10.0, 50.0, (READ, WRITE), _REPORTS, servers=5, slots=3, work=18 * MS, churn=7.0,
        faults=(
            Fault("full", 1, 2, 0.4), Fault("burst", 3, 6, 2.0), Fault("slow", 2, 7, 0.3),
            Fault("full", 7, 8, 1.0), Fault("hot", 4, 6, 0.2),
        ),
    ),
    Scenario(
        "origin", 14, 9.0, 40.0, (READ, WRITES), _facts((READ, WRITES), quota=20.0), keys=600,
        faults=(
            Fault("flush", 1, 2), Fault("slow", 2, 4, origin=True), Fault("resetting", 4, 6, origin=True),
            Fault("silent", 7, 8, origin=True), Fault("hot", 1, 6, 0.3),
        ),
        scripted=((8.2, {"takeOut": {"server": "o:8"}}), (8.6, {"putBack": {"server": "o:8"}})),
    ),
    Scenario(
        "hot-reads", 15, 8.0, 50.0, (READ, WRITE), _facts((READ, WRITE), quota=150.0, widened=_READS),
        faults=(Fault("hot", 1, 6, 0.6), Fault("erring", 3, 4, origin=True), Fault("refusing", 5, 7)),
    ),
    Scenario(
        "hot-writes", 16, 8.0, 45.0, (READ, WRITE), _facts((READ, WRITE), quota=150.0, widened=_WRITES),
        faults=(Fault("hot", 1, 6, 0.6), Fault("silent", 4, 6)),
    ),
    Scenario(
        "zones", 17, 11.0, 32.0, MIXED, _facts(MIXED, widened={"topology": _ZONES}), servers=9,
        faults=(Fault("refusing", 1, 4, 0.3), Fault("full", 6, 8, 0.5)),
        scripted=(
            (3.0, {"plan": {"shares": [0.5, 0.3, 0.2], "trials": [1], "trial": 0.2}}),
            (6.0, {"plan": {"shares": [1.0, 0.0, 0.0], "refused": 0.3, "closed": [2]}}),
            (9.0, {"plan": {"shares": [0.0, 0.6, 0.4], "binding": False}}),
        ),
    ),
    Scenario(
        "busy", 18, 7.0, 45.0, (READ, WRITE), _facts((READ, WRITE), widened={"overloadTarget": 20 * MS}),
        faults=(Fault("busy_loop", 1, 4), Fault("burst", 1, 3, 0.5)),
    ),
)  # fmt: skip
