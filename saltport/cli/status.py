"""The state of a router formatted as lines of text, with one function for each part."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

TOP_KEYS = 10
DEPRECATED_COUNTS = ("spread", "writes voided")
"""Counts under the names of an earlier version, which are also listed under their current names."""

State = dict[str, Any]
"""A router's answer at /state, or a part of that answer."""


def status_lines(state: State) -> Iterator[str]:
    """Return the lines for a router's complete state."""
    yield from _router_lines(state)
    yield from _given_up_lines(state["given_up"])
    yield from _tenant_lines(state["tenants"])
    yield _overload_line(state["overload"])
    yield from _limit_lines(state["limits"])
    if state["peers"]["on"]:
        yield _peers_line(state["peers"])
    yield from _hot_key_lines(state["hot_keys"])
    yield from _outlier_lines(state["outliers"])


def _router_lines(state: State) -> Iterator[str]:
    condition = "drained" if state["draining"] else "ready" if state["ready"] else "not ready"
    yield (
        f"{state['name']} (pid {state['pid']}, {state['version']}): {condition}, "
        f"{state['owed']} requests open, list generation {state['generation']}: "
        f"{state['caches']} caches, {state['origins']} origins"
    )
    yield f"in maintenance: {', '.join(state['out']) or 'none'}"
    lag = state["lag"]
    yield f"longest event loop iteration {lag['longest_ms']:.1f} ms, {lag['stalls']} over 5 ms"


def _given_up_lines(rows: list[State]) -> Iterator[str]:
    yield "given up: none" if not rows else "given up (last 10 s, last 60 s, since the start):"
    for row in rows:
        tenant, reason = row["name"]
        yield f"  {row['last_10_s']:7} {row['last_60_s']:7} {row['total']:9}  {tenant}: {reason}"


def _tenant_lines(tenants: State) -> Iterator[str]:
    for name, tenant in tenants.items():
        yield (
            f"tenant {name}: {tenant['fetches_per_s']:.1f} fetches a second of "
            f"{tenant['rate_limit_per_s']:.1f} allowed "
            f"(at most {tenant['cap_per_s']:.1f}), {tenant['declined']} declined in the window"
        )


def _overload_line(overload: State) -> str:
    admits = f"admits {overload['admitted_share']:.0%}" if overload["overloaded"] else "none"
    shed = ", ".join(f"{count} of {name}" for name, count in overload["shed"].items())
    return (
        f"overload: {admits if overload['on'] else 'not watched'}; "
        f"loop busy {overload['loop_busy_share']:.0%}, "
        f"incoming data waits {overload['loop_delay_ms']:.1f} ms to be read; shed {shed or 'nothing'}"
    )


def _limit_lines(limits: State) -> Iterator[str]:
    yield (
        f"servers overrun: {limits['crowded_share']:.0%} of reads find their server full, "
        f"{limits['overflowed']} went to another one, {limits['moved']} by their server's weight adjustment"
    )
    for name, server in list(limits["servers"].items())[:TOP_KEYS]:
        yield (
            f"  {name}: {server['out']} out of {server['limit'] or 'no limit'}, "
            f"weight {server['weight_factor']:.0%}, work {server['work_ms']:.1f} ms, "
            f"waiting {server['waiting_ms']:.1f} ms"
        )


def _peers_line(peers: State) -> str:
    quorum, view = peers["quorum"], peers["view"]
    return (
        f"peers: {quorum['state']} for {quorum['for_s']:.0f} s, {view['members']} routers in view "
        f"{view['number']} ({view['digest']}); see saltport peers"
    )


def _hot_key_lines(hot_keys: State) -> Iterator[str]:
    if not hot_keys["on"]:
        yield "hot keys: detection off"
        return
    invalidations = hot_keys["invalidations"]
    counts = {what: count for what, count in hot_keys["counts"].items() if what not in DEPRECATED_COUNTS}
    yield (
        f"hot keys: {hot_keys['replicated']} replicated, {hot_keys['watched']} watched, "
        f"{sum(hot_keys['counted'].values())} counted; {hot_keys['copied_bytes']} bytes of further copies, "
        f"filled by {hot_keys['fill']}; "
        f"invalidations {invalidations['under_way']} under way, {invalidations['in_doubt']} in doubt; "
        f"{', '.join(f'{count} {what}' for what, count in counts.items()) or 'nothing done yet'}"
    )
    yield from map(_hot_key_line, hot_keys["top"][:TOP_KEYS])


def _hot_key_line(key: State) -> str:
    share = f", {key['share']:.1%} of all" if key["share"] is not None else ""
    filled = f", {key['held']} of {key['copies']} nodes" if key["copies"] > 1 else ""
    why = f" ({'releasing; ' if key['releasing'] else ''}{key['why']})" if key["why"] else ""
    return (
        f"  {key['key']}: {key['reads_per_s']:.1f} (+{key['error_per_s']:.1f}) reads a second "
        f"of {key['tenant']}{share}{filled}{why}"
    )


def _outlier_lines(outliers: State) -> Iterator[str]:
    panic = "; PANIC: ejection suspended" if outliers["panic"] else ""
    yield f"ejected: {outliers['ejected']} of {outliers['listed']}{panic}"
    for name, server in sorted(outliers["servers"].items()):
        yield (
            f"  {name}: {server['state']}{' (kept in)' if server['kept_in'] else ''}"
            f"{', ' + server['reason'] if server['reason'] else ''}, {server['failures_in_a_row']} in a row, "
            f"{server['failures']} of {server['attempts']} failed, {server['ejections']} ejections, "
            f"{server['ejected_for_s']:.1f} s left"
        )
