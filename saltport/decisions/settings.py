"""The settings in the simulator's form, read for the adapter and the real router alike."""

from __future__ import annotations

from typing import Any

from saltport.decisions import interface as api

_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_SIZED_WEIGHTS = ("nominal", "rough")
_TYPE_NAMES = {dict: "object", list: "array", str: "string", int: "integer", bool: "bool"}

MOST = 10**15  # of any number that is told: eleven days in nanoseconds

Fields = dict[str, Any]


class WireError(Exception):
    """Malformed input, with one plain line saying what was wrong."""


def typed(where: str, value: Any, kind: type) -> Any:
    """Return `value` if it is of the kind; a bool is no integer."""
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise WireError(f"{where}: expected {_TYPE_NAMES[kind]}, got {type(value).__name__}")
    return value


def choice(where: str, table: dict[Any, Any], value: Any) -> Any:
    """Look a wire word up in its table."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"{where}: unknown value {value!r}") from None


def number(where: str, value: Any, least: float, most: float = MOST) -> Any:
    """Return `value` if it is a number from `least` to `most`; a bool is none."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise WireError(f"{where}: expected a number of at least {least:g}, got {str(value)[:40]!r}")
    return value


def whole(where: str, value: Any, least: int) -> int:
    """Return `value` if it is a whole number of at least `least`."""
    if number(where, value, least) != int(value):
        raise WireError(f"{where}: expected a whole number, got {value!r}")
    return int(value)


def _request_class(facts: Fields) -> api.RequestClass:
    return api.RequestClass(
        name=typed("classes.name", facts["name"], str),
        aim=whole("classes.aimNs", facts["aimNs"], 1),
        deadline=whole("classes.giveUpNs", facts["giveUpNs"], 1),
        effect=choice("classes.semantics", _EFFECTS, facts["semantics"]),
        dedup_scope=api.DedupScope(facts.get("group") or "all"),
        dedup_window=whole("classes.dedupWindowNs", facts.get("dedupWindowNs") or 0, 0),
        streamed=bool(facts.get("streamed")),
    )


def _tenant(facts: Fields) -> api.Tenant:
    return api.Tenant(
        typed("tenants.name", facts["name"], str),
        number("tenants.portion", facts["portion"], 0.0),
        number("tenants.quotaPerS", facts.get("quotaPerS") or 0.0, 0.0),
    )


def _unique(where: str, entries: tuple[Any, ...]) -> tuple[Any, ...]:
    names = [entry.name for entry in entries]
    if len(set(names)) < len(names):
        raise WireError(f"{where}: a name stands twice")
    return entries


def read_settings(facts: Fields) -> api.Settings:
    """Read the settings; unknown keys are ignored and null counts as absent."""
    family = facts.get("familyInfo") or {}
    ceilings = facts.get("ceilings") or {}
    rules = facts.get("rules") or {}
    kinds: list[str] = facts.get("kinds") or []
    origin = -1 if family.get("originKind") is None else family["originKind"]
    aside = family.get("mode") == "aside"
    told = {
        "ask_within": ("askWithinNs", rules.get("askWithinNs"), 1),
        "cold_time": ("coldNs", rules.get("coldNs"), 0),
        "max_attempts": ("mostTries", ceilings.get("mostTries"), 1),
        "max_retry_after": ("maxRetryAfterNs", ceilings.get("maxRetryAfterNs"), 0),
    }
    optional: Fields = {
        name: whole(where, value, least) for name, (where, value, least) in told.items() if value is not None
    }
    optional |= {
        "cold_share": rules.get("coldShare"),
        "retry_after": ceilings.get("retryAfter"),
        "may_probe": ceilings.get("mayProbe"),
    }
    return api.Settings(
        classes=_unique("classes", tuple(map(_request_class, facts["classes"]))),
        tenants=_unique("tenants", tuple(map(_tenant, facts.get("tenants") or ()))),
        routers=facts.get("balancers") or 1,
        origin_kind=kinds[origin] if aside and 0 <= origin < len(kinds) else None,
        weighted=facts.get("weightKind") in _SIZED_WEIGHTS,
        must_subscribe=facts.get("membershipMode") == "subscribe",
        load_fields=tuple((facts.get("feedback") or {}).get("fields") or ()),
        **{key: value for key, value in optional.items() if value is not None},
    )
