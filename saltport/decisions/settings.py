"""Reads settings in the simulator's JSON format, for both the simulator's adapter and the router."""

from __future__ import annotations

from typing import Any

from saltport.decisions import interface as api

_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_SIZED_WEIGHTS = ("nominal", "rough")
_TYPE_NAMES = {dict: "object", list: "array", str: "string", int: "integer", bool: "bool"}

MAX_NUMBER = 10**15  # the upper bound of all numbers: eleven days in nanoseconds

Fields = dict[str, Any]


class WireError(Exception):
    """Malformed input; the message says in one line what is wrong."""


def typed(where: str, value: Any, kind: type) -> Any:
    """Return `value` if it is an instance of `kind`, else raise WireError; a bool is not an integer."""
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise WireError(f"{where}: expected {_TYPE_NAMES[kind]}, got {type(value).__name__}")
    return value


def choice(where: str, table: dict[Any, Any], value: Any) -> Any:
    """Return the entry of `table` for a value, or raise WireError if there is none."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"{where}: unknown value {value!r}") from None


def number(where: str, value: Any, least: float, most: float = MAX_NUMBER) -> Any:
    """Return `value` if it is a number (no bool) from `least` to `most`, else raise WireError."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise WireError(f"{where}: expected a number of at least {least:g}, got {str(value)[:40]!r}")
    return value


def integer(where: str, value: Any, least: int) -> int:
    """Return `value` as an integer if it is integral and at least `least`, else raise WireError."""
    if number(where, value, least) != int(value):
        raise WireError(f"{where}: expected a whole number, got {value!r}")
    return int(value)


def _request_class(fields: Fields) -> api.RequestClass:
    """Return the request class described by a JSON object."""
    return api.RequestClass(
        name=typed("classes.name", fields["name"], str),
        aim=integer("classes.aimNs", fields["aimNs"], 1),
        deadline=integer("classes.giveUpNs", fields["giveUpNs"], 1),
        effect=choice("classes.semantics", _EFFECTS, fields["semantics"]),
        dedup_scope=api.DedupScope(fields.get("group") or "all"),
        dedup_window=integer("classes.dedupWindowNs", fields.get("dedupWindowNs") or 0, 0),
        streamed=bool(fields.get("streamed")),
    )


def _tenant(fields: Fields) -> api.Tenant:
    """Return the tenant described by a JSON object."""
    return api.Tenant(
        typed("tenants.name", fields["name"], str),
        number("tenants.portion", fields["portion"], 0.0),
        number("tenants.quotaPerS", fields.get("quotaPerS") or 0.0, 0.0),
    )


def _unique(where: str, entries: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return `entries`, or raise WireError if two of them have the same name."""
    names = [entry.name for entry in entries]
    if len(set(names)) < len(names):
        raise WireError(f"{where}: a name occurs twice")
    return entries


def read_settings(fields: Fields) -> api.Settings:
    """Return the settings from decoded JSON; unknown keys are ignored, and null counts as absent."""
    family = fields.get("familyInfo") or {}
    ceilings = fields.get("ceilings") or {}
    rules = fields.get("rules") or {}
    kinds: list[str] = fields.get("kinds") or []
    origin = -1 if family.get("originKind") is None else family["originKind"]
    aside = family.get("mode") == "aside"
    integers = {
        "ask_within": ("askWithinNs", rules.get("askWithinNs"), 1),
        "cold_time": ("coldNs", rules.get("coldNs"), 0),
        "max_attempts": ("mostTries", ceilings.get("mostTries"), 1),
        "max_retry_after": ("maxRetryAfterNs", ceilings.get("maxRetryAfterNs"), 0),
    }
    optional: Fields = {
        name: integer(where, value, least)
        for name, (where, value, least) in integers.items()
        if value is not None
    }
    optional |= {
        "cold_share": rules.get("coldShare"),
        "retry_after": ceilings.get("retryAfter"),
        "may_probe": ceilings.get("mayProbe"),
    }
    return api.Settings(
        classes=_unique("classes", tuple(map(_request_class, fields["classes"]))),
        tenants=_unique("tenants", tuple(map(_tenant, fields.get("tenants") or ()))),
        routers=fields.get("balancers") or 1,
        origin_kind=kinds[origin] if aside and 0 <= origin < len(kinds) else None,
        weighted=fields.get("weightKind") in _SIZED_WEIGHTS,
        must_subscribe=fields.get("membershipMode") == "subscribe",
        load_fields=tuple((fields.get("feedback") or {}).get("fields") or ()),
        **{key: value for key, value in optional.items() if value is not None},
    )
