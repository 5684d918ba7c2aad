"""Measures a configuration reload at one router: `python -m benchmarks.scale.configuration`.

As after SIGHUP, the file is read, compared and applied, by a host that knows 680 servers, for different
numbers of tenants. The distribution of the file to the router is not measured.
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
from benchmarks.scale.discovery import SERVER_COUNT, server_entry
from saltport.lifecycle.reload import plan_reload
from saltport.membership.listing import read_listing
from saltport.membership.start_times import StartTimes
from saltport.router.config import ConfigError, load_config, reload_config
from saltport.router.host import RouterHost
from saltport.upstream.pool import Pool

CHANGES_PER_DAY = 7_400
CHANGE_COUNT = 40


@dataclass(frozen=True, slots=True)
class ReloadCost:
    """Cost of one change for one router."""

    tenants: int
    file_bytes: int
    cpu_ms: float
    longest_hold_ms: float
    refused_ms: float
    """CPU time to refuse an invalid file; the old configuration stays in use."""
    cpu_percent_at_7400_a_day: float
    cpu_percent_at_7400_an_hour: float


def _configuration_file(tenants: int, number: int) -> bytes:
    limits = [
        {"name": f"tenant-{place:04}", "portion": 1 / tenants, "quotaPerS": 100.0 + number}
        for place in range(tenants)
    ]
    classes = [
        {"name": "fetch", "aimNs": 300_000_000, "giveUpNs": 1_000_000_000, "semantics": "retryable"},
        {"name": "push", "aimNs": 500_000_000, "giveUpNs": 1_000_000_000, "semantics": "dedup"},
    ]
    settings: dict[str, Any] = {"classes": classes, "tenants": limits, "balancers": fit.FLEET_ROUTERS}
    return orjson.dumps(
        {"name": "r1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}
    )


async def _measure_reload(tenants: int, path: Path) -> ReloadCost:
    environment = {"LB_CONFIG": str(path)}
    path.write_bytes(_configuration_file(tenants, 0))
    current = load_config(environment)
    loop = asyncio.get_running_loop()
    host = RouterHost(loop, current.settings, 1, Pool(loop, 100, 0.5, 10.0), 100)
    servers = {
        "generation": 1,
        "reset": True,
        "instances": [server_entry(number) for number in range(SERVER_COUNT)],
    }
    host.servers_changed(read_listing(servers, StartTimes()))
    cpu_total_s, longest_s = 0.0, 0.0
    for number in range(1, CHANGE_COUNT + 1):
        path.write_bytes(_configuration_file(tenants, number))
        cpu_before_s, started_at = time.process_time(), time.perf_counter()
        plan = plan_reload(current, reload_config(environment))
        host.apply_settings(plan.config.settings)
        longest_s = max(longest_s, time.perf_counter() - started_at)
        cpu_total_s += time.process_time() - cpu_before_s
        if not plan.settings_changed:
            raise RuntimeError("the change was not detected")
        current = plan.config
    cpu_per_change_s = cpu_total_s / CHANGE_COUNT
    path.write_bytes(_configuration_file(tenants, 0).replace(b'"aimNs":300000000', b'"aimNs":"soon"'))
    started_at = time.process_time()
    for _ in range(CHANGE_COUNT):
        try:
            reload_config(environment)
        except ConfigError:
            continue
        raise RuntimeError("an invalid file was accepted")
    refusal_cpu_s = (time.process_time() - started_at) / CHANGE_COUNT
    return ReloadCost(
        tenants, path.stat().st_size, cpu_per_change_s * 1e3, longest_s * 1e3, refusal_cpu_s * 1e3,
        cpu_per_change_s * CHANGES_PER_DAY / 86_400 * 100, cpu_per_change_s * CHANGES_PER_DAY / 3_600 * 100,
    )  # fmt: skip


def measure_reload(tenants: int) -> ReloadCost:
    """Measure reloads of a configuration with this many tenants."""
    with tempfile.TemporaryDirectory(prefix="saltport-scale-") as folder:
        return asyncio.run(_measure_reload(tenants, Path(folder) / "router.json"))


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=fit.FLEET_SIZES, show_default=True)
def main(sizes: tuple[int, ...]) -> None:
    """Run the measurement from the command line."""
    rows = [fit.run_isolated(measure_reload, size) for size in sizes]
    names = [field.name for field in fields(ReloadCost)[1:5]]
    click.echo(f"reloads, by tenants\n{fit.format_table(rows)}\n{fit.format_fits(rows, 'tenants', names)}")


if __name__ == "__main__":
    main()
