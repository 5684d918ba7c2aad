"""Randomly generated deployments: names, effects, limits and times are drawn from a seed.

Guards against code that depends on the classes, tenants, zones or times of one particular deployment.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
import uvloop

from saltport.audit import Limits
from saltport.decisions import (
    AttemptEnded,
    ListKind,
    Outcome,
    RequestArrived,
    Router,
    Send,
    Server,
    ServersChanged,
)
from saltport.decisions.settings import read_settings
from saltport.harness import Harness, run_load
from saltport.load.plan import LoadPlan, Step
from saltport.standins.ledger import Ledger
from saltport.standins.profile import ClassProfile, Profile

MS = 10**6
SCRIPTS = ("abcxyz.-_ /", "абвгде", "αβγδεζ", "読書請求", "ابتثج", "éßøñ")
GENEROUS = Limits(3_000, 3_000, 3_000, 3_000)
REPORT_FIELDS = (
    "outstanding",
    "backlog",
    "utilization",
    "recent_ms",
    "throughput",
    "errors_per_s",
    "x0",
    "x1",
)


def random_name(rng: random.Random, taken: set[str]) -> str:
    """Return a unique name in a random script."""
    while True:
        script = rng.choice(SCRIPTS)
        name = "".join(rng.choice(script) for _ in range(rng.randint(1, 12))).strip() or "x"
        if name not in taken:
            taken.add(name)
            return name


def platform_settings(rng: random.Random) -> dict[str, Any]:
    """Return random settings in the format of the platform."""
    taken: set[str] = set()
    classes = []
    for effect in (*rng.sample(("retryable", "dedup", "fragile"), rng.randint(1, 3)), "retryable"):
        give_up = rng.choice((30, 300, 4_000, 30_000)) * MS
        classes.append(
            {
                "name": random_name(rng, taken),
                "semantics": effect,
                "giveUpNs": give_up,
                "aimNs": max(int(give_up * rng.random()), 1),
                "group": rng.choice(("all", "zone", "cell", None)),
                "dedupWindowNs": rng.choice((None, 0, 20 * MS, 20_000 * MS)),
                "worth": rng.choice((0.0, 1e-9, 1e9)),
                "more": [{"unknown": None}],
            }
        )
    tenants = [{"name": random_name(rng, taken), "portion": rng.random()} for _ in range(rng.randint(0, 5))]
    fields = rng.sample(REPORT_FIELDS, rng.randint(0, 4))
    kinds = [random_name(rng, taken) for _ in range(rng.randint(1, 4))]
    return {
        "balancers": rng.choice((None, 1, 4, 200)),
        "classes": classes,
        "tenants": rng.choice((tenants, None)),
        "kinds": kinds,
        "familyInfo": rng.choice(
            (None, {"mode": "through"}, {"mode": "aside", "originKind": len(kinds) - 1})
        ),
        "feedback": rng.choice((None, {"how": "none", "fields": []}, {"how": "answers", "fields": fields})),
        "membershipMode": rng.choice(("automatic", "subscribe")),
        "weightKind": rng.choice(("none", "rough", "nominal", "live", None)),
        "ceilings": rng.choice(
            (
                None,
                {"mostTries": 1, "retryAfter": False, "mayProbe": False},
                {"mostTries": 9, "retryAfter": True, "maxRetryAfterNs": 30_000 * MS, "strange": True},
            )
        ),
        "rules": rng.choice((None, {"coldNs": 9_000 * MS, "coldShare": 0.01, "askWithinNs": 1})),
        "penalties": {"origin": 1e12, "handshake": -1.0},
        "unheard_of": {"deep": [1, 2, {"deeper": None}]},
    }


@pytest.mark.parametrize("seed", range(60))
def test_generated_settings_route_every_class(seed: int) -> None:
    rng = random.Random(seed)
    raw_settings = platform_settings(rng)
    settings = read_settings(raw_settings)
    zones = [random_name(rng, set()) for _ in range(rng.randint(1, 6))]
    kinds = raw_settings["kinds"]
    caches = [kind for kind in kinds if kind != settings.origin_kind] or [""]
    servers = [Server(f"s{i}", rng.choice(caches), zone=rng.choice(zones), cell=i % 3) for i in range(12)]
    if settings.origin_kind:
        servers.append(Server("o", settings.origin_kind))
    router = Router(settings, seed)
    router.handle(ServersChanged(ListKind.FULL, tuple(servers)), 0)
    tenants: list[str | None] = [None, "nobody", *(tenant.name for tenant in settings.tenants)]
    finals: Counter[str] = Counter()
    for i in range(60):
        cls = settings.classes[i % len(settings.classes)]
        now = i * 10 * MS
        arrived = RequestArrived(
            f"r{i}", cls.name, now + cls.deadline, rng.choice(tenants), f"k{i}", i % 2 == 0
        )
        actions = router.handle(arrived, now)
        for attempt in range(settings.max_attempts + 1):
            sent = [action for action in actions if isinstance(action, Send)]
            if not sent:
                break
            assert attempt < settings.max_attempts
            assert sent[0].not_after <= now + cls.deadline
            last = attempt == settings.max_attempts - 1
            outcome = Outcome.OK if last or rng.random() < 0.6 else Outcome.MISS
            load = tuple(float(value) for value in range(len(settings.load_fields)))
            ended = AttemptEnded(
                f"r{i}", attempt, sent[0].server, outcome, outcome is Outcome.OK, MS, load=load
            )
            actions = router.handle(ended, now + (attempt + 1) * MS)
            finals[outcome.value] += 1
    assert finals["ok"] > 0
    assert not [request for request in router.requests.values() if request.in_flight]


def profile(rng: random.Random) -> Profile:
    """Return a random deployment for stand-in servers."""
    taken: set[str] = set()
    times = [(30, 20), (30_000, 10_000), (1_200, 300)]
    effects = ["retryable", "dedup", "fragile", "retryable"]
    classes = []
    for effect in effects:
        deadline, aim = rng.choice(times)
        window = rng.choice((50, 20_000)) if effect == "dedup" else 0
        classes.append(ClassProfile(random_name(rng, taken), 0.25, (1.0, 3.0), aim, deadline, effect, window))
    tenants = tuple((random_name(rng, taken), 1 / 3) for _ in range(3))
    origin = rng.choice(((1.0, 2.0), (5.0, 60.0)))
    return Profile(
        classes=tuple(classes),
        tenants=tenants,
        origin_work_ms=origin,
        idle_close_ms=rng.choice((300, 60_000)),
        cold_from=rng.choice((0.05, 0.9)),
        cold_ms=rng.choice((500, 30_000)),
        drain_grace_ms=300,
    )


@pytest.mark.parametrize("seed", range(4))
def test_generated_deployment_has_no_violations_under_short_load_with_faults(
    tmp_path: Path, seed: int
) -> None:
    rng = random.Random(seed)
    deployment = profile(rng)

    async def run() -> tuple[Ledger, Harness]:
        harness = Harness(tmp_path, deployment, 4, 1, seed=seed)
        plan = LoadPlan((Step(0, 80),), 2.0, seed=seed)
        async with asyncio.timeout(60):
            async with harness:
                load = asyncio.get_running_loop().create_task(run_load(harness, plan))
                nodes = harness.addresses["nodes"]
                await asyncio.sleep(0.4)
                await harness.control.call("strike", kind="drain", target=next(iter(nodes)))
                await harness.control.call("strike", kind="kill", target=list(nodes)[1])
                _, ledger = await load
        return ledger, harness

    ledger, harness = uvloop.run(run())
    verdict = harness.audit([ledger], GENEROUS)
    assert verdict.clean, verdict.violations
    assert verdict.answers.get("served", 0) > 0
    served = {
        record["cls"] for record in ledger.records if record["kind"] == "try" and "served" in str(record)
    }
    assert served >= {known.name for known in deployment.classes if known.deadline_ms > 100}
