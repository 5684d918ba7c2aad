"""A change of configuration at one router: `python -m benchmarks.scale.configuration`.

The file is read, compared and taken as after SIGHUP, by a host that knows 680 servers, for so many tenants.
Nothing carries the file to the router: that is not measured here.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import click
import orjson

from benchmarks.scale import fit
from benchmarks.scale.discovery import SERVERS, entry
from saltport.lifecycle.reload import plan_reload
from saltport.membership.listing import read_listing
from saltport.membership.start_times import StartTimes
from saltport.router.config import ConfigError, load_config, reload_config
from saltport.router.host import RouterHost
from saltport.upstream.pool import Pool

CHANGES_A_DAY = 7_400
CHANGES = 40


@dataclass(frozen=True, slots=True)
class Reload:
    """One change, taken by one router."""

    tenants: int
    file_bytes: int
    cpu_ms: float
    longest_hold_ms: float
    refused_ms: float
    """Of a file that can't be used: the old one stays."""
    cpu_percent_at_7400_a_day: float
    cpu_percent_at_7400_an_hour: float


def _file(tenants: int, number: int) -> bytes:
    limits = [
        {"name": f"tenant-{place:04}", "portion": 1 / tenants, "quotaPerS": 100.0 + number}
        for place in range(tenants)
    ]
    classes = [
        {"name": "fetch", "aimNs": 300_000_000, "giveUpNs": 1_000_000_000, "semantics": "retryable"},
        {"name": "push", "aimNs": 500_000_000, "giveUpNs": 1_000_000_000, "semantics": "dedup"},
    ]
    settings: dict[str, Any] = {"classes": classes, "tenants": limits, "balancers": fit.FLEET}
    return orjson.dumps(
        {"name": "r1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}
    )


async def _reload(tenants: int, path: Path) -> Reload:
    environ = {"LB_CONFIG": str(path)}
    path.write_bytes(_file(tenants, 0))
    held = load_config(environ)
    loop = asyncio.get_running_loop()
    host = RouterHost(loop, held.settings, 1, Pool(loop, 100, 0.5, 10.0), 100)
    servers = {"generation": 1, "reset": True, "instances": [entry(number) for number in range(SERVERS)]}
    host.servers_changed(read_listing(servers, StartTimes()))
    spent, longest = 0.0, 0.0
    for number in range(1, CHANGES + 1):
        path.write_bytes(_file(tenants, number))
        cpu, begun = time.process_time(), time.perf_counter()
        plan = plan_reload(held, reload_config(environ))
        host.apply_settings(plan.config.settings)
        longest = max(longest, time.perf_counter() - begun)
        spent += time.process_time() - cpu
        if not plan.settings_changed:
            raise RuntimeError("the change was not seen")
        held = plan.config
    each = spent / CHANGES
    path.write_bytes(_file(tenants, 0).replace(b'"aimNs":300000000', b'"aimNs":"soon"'))
    begun = time.process_time()
    for _ in range(CHANGES):
        try:
            reload_config(environ)
        except ConfigError:
            continue
        raise RuntimeError("a bad file was taken")
    refused = (time.process_time() - begun) / CHANGES
    return Reload(
        tenants, path.stat().st_size, each * 1e3, longest * 1e3, refused * 1e3,
        each * CHANGES_A_DAY / 86_400 * 100, each * CHANGES_A_DAY / 3_600 * 100,
    )  # fmt: skip


def reload(tenants: int) -> Reload:
    """So many tenants."""
    with tempfile.TemporaryDirectory(prefix="saltport-scale-") as folder:
        return asyncio.run(_reload(tenants, Path(folder) / "router.json"))


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=fit.SIZES, show_default=True)
def main(sizes: tuple[int, ...]) -> None:
    """Measure."""
    rows = [fit.apart(reload, size) for size in sizes]
    names = [field.name for field in fields(Reload)[1:5]]
    click.echo(f"reloads, by tenants\n{fit.table(rows)}\n{fit.fits(rows, 'tenants', names)}")


if __name__ == "__main__":
    main()
