"""The settings in the simulator's form, read for the adapter and the real router alike."""

from __future__ import annotations

from typing import Any

from saltport.decisions import interface as api

_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_SIZED_WEIGHTS = ("nominal", "rough")
_TYPE_NAMES = {dict: "object", list: "array", str: "string", int: "integer", bool: "bool"}

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


def _request_class(facts: Fields) -> api.RequestClass:
    return api.RequestClass(
        name=facts["name"],
        aim=facts["aimNs"],
        deadline=facts["giveUpNs"],
        effect=choice("classes.semantics", _EFFECTS, facts["semantics"]),
        group=api.Group(facts.get("group") or "all"),
        dedup_window=facts.get("dedupWindowNs") or 0,
        streamed=bool(facts.get("streamed")),
    )


def read_settings(facts: Fields) -> api.Settings:
    """Read the settings; unknown keys are ignored and null counts as absent."""
    family = facts.get("familyInfo") or {}
    ceilings = facts.get("ceilings") or {}
    rules = facts.get("rules") or {}
    kinds: list[str] = facts.get("kinds") or []
    origin = -1 if family.get("originKind") is None else family["originKind"]
    aside = family.get("mode") == "aside"
    optional = {
        "ask_within": rules.get("askWithinNs"),
        "cold_share": rules.get("coldShare"),
        "cold_time": rules.get("coldNs"),
        "max_attempts": ceilings.get("mostTries"),
        "retry_after": ceilings.get("retryAfter"),
        "max_retry_after": ceilings.get("maxRetryAfterNs"),
        "may_probe": ceilings.get("mayProbe"),
    }
    return api.Settings(
        classes=tuple(_request_class(entry) for entry in facts["classes"]),
        tenants=tuple(
            api.Tenant(entry["name"], entry["portion"], entry.get("quotaPerS") or 0.0)
            for entry in facts.get("tenants") or ()
        ),
        routers=facts.get("balancers") or 1,
        origin_kind=kinds[origin] if aside and 0 <= origin < len(kinds) else None,
        weighted=facts.get("weightKind") in _SIZED_WEIGHTS,
        must_subscribe=facts.get("membershipMode") == "subscribe",
        load_fields=tuple((facts.get("feedback") or {}).get("fields") or ()),
        **{key: value for key, value in optional.items() if value is not None},
    )
