"""Validation of a configuration file that reports all faults at once, each with its path in the file.

A router itself stops at the first fault (config.py); this module serves the authors of configuration files.
A JSON Schema describes the form. Rules that a schema can't express are checked after it. If neither finds a
fault, the router's own reader runs last, so that a file without faults is one that a router accepts.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeGuard

import orjson
from jsonschema import Draft202012Validator

from saltport.address import parse_address
from saltport.membership.listing import read_listing
from saltport.membership.start_times import StartTimes
from saltport.router.config import ConfigError, load_config
from saltport.router.features import FeatureError, read_features


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; `path` is its place, like `settings.classes[1].aimNs`, or empty for the file itself."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}" if self.path else self.reason


def _or_null(kind: str, **more: Any) -> dict[str, Any]:
    return {"type": [kind, "null"], **more}


_NS = {"minimum": 1}
_NAME = {"type": "string", "minLength": 1}
_SHARE = {"type": "number", "minimum": 0, "maximum": 1}

SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["settings"],
    "properties": {
        "name": _or_null("string"),
        "listen": {"type": "string"},
        "discovery": {"type": "string"},
        "seed": {"type": "string", "pattern": "^[0-9a-fA-F]{1,64}$"},
        "limits": _or_null(
            "object",
            properties={
                "cores": _or_null("number", exclusiveMinimum=0),
                "memory_mb": _or_null("number", minimum=16),
                "sockets": _or_null("number", minimum=40),
            },
        ),
        "known": _or_null("object", required=["generation", "instances"]),
        "settings": {
            "type": "object",
            "required": ["classes"],
            "properties": {
                "balancers": _or_null("integer", minimum=1),
                "membershipMode": {"enum": ["automatic", "subscribe", None]},
                "weightKind": _or_null("string"),
                "kinds": _or_null("array", items=_NAME),
                "ceilings": _or_null(
                    "object",
                    properties={
                        "mostTries": _or_null("integer", minimum=1),
                        "retryAfter": _or_null("boolean"),
                        "mayProbe": _or_null("boolean"),
                        "maxRetryAfterNs": _or_null("integer", minimum=0),
                        "dialTimeoutNs": _or_null("integer", **_NS),
                        "idleCloseNs": _or_null("integer", **_NS),
                        "maxOpen": _or_null("integer", minimum=1),
                    },
                ),
                "classes": {
                    "type": "array",
                    "minItems": 1,
                    "items": {
                        "type": "object",
                        "required": ["name", "aimNs", "giveUpNs", "semantics"],
                        "properties": {
                            "name": _NAME,
                            "aimNs": {"type": "integer", **_NS},
                            "giveUpNs": {"type": "integer", **_NS},
                            "semantics": {"enum": ["retryable", "dedup", "fragile"]},
                            "group": {"enum": ["all", "zone", "cell", None]},
                            "dedupWindowNs": _or_null("integer", minimum=0),
                            "streamed": _or_null("boolean"),
                        },
                    },
                },
                "tenants": _or_null(
                    "array",
                    items={
                        "type": "object",
                        "required": ["name", "portion"],
                        "properties": {
                            "name": _NAME,
                            "portion": _SHARE,
                            "quotaPerS": _or_null("number", minimum=0),
                        },
                    },
                ),
                "familyInfo": _or_null(
                    "object",
                    properties={"originKind": _or_null("integer"), "mode": _or_null("string")},
                ),
                "feedback": _or_null(
                    "object", properties={"fields": _or_null("array", items={"type": "string"})}
                ),
                "rules": _or_null(
                    "object",
                    properties={
                        "askWithinNs": _or_null("integer", **_NS),
                        "coldShare": _or_null("number", exclusiveMinimum=0, maximum=1),
                        "coldNs": _or_null("integer", minimum=0),
                    },
                ),
            },
        },
    },
}


def _format_path(parts: Any) -> str:
    """Return a path like `settings.classes[1].aimNs` for a sequence of keys and indexes."""
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}" if path else str(part)
    return path


def _schema_faults(config: Any) -> Iterator[Fault]:
    """Yield the violations of the JSON Schema."""
    for error in Draft202012Validator(SCHEMA).iter_errors(config):
        reason = error.message if len(error.message) <= 160 else f"{error.message[:157]}..."
        yield Fault(_format_path(error.absolute_path), reason)


def _as_dict(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []


def _is_number(value: Any) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _duplicate_names(path: str, entries: list[Any]) -> Iterator[Fault]:
    """Yield a fault for each entry whose name an earlier entry of the list has."""
    seen: dict[str, int] = {}
    for number, entry in enumerate(entries):
        name = _as_dict(entry).get("name")
        if isinstance(name, str) and name in seen:
            yield Fault(f"{path}[{number}].name", f"{name!r} is already defined at {path}[{seen[name]}]")
        elif isinstance(name, str):
            seen[name] = number


def _semantic_faults(config: dict[str, Any]) -> Iterator[Fault]:
    """Yield the faults that a schema can't express.

    Values of a wrong type are skipped, because the schema reports them.
    """
    for name in ("listen", "discovery"):
        if isinstance(config.get(name), str):
            try:
                parse_address(name, config[name])
            except ValueError as error:
                yield Fault(name, str(error).partition(": ")[2])
    settings = _as_dict(config.get("settings"))
    classes, tenants = _as_list(settings.get("classes")), _as_list(settings.get("tenants"))
    yield from _duplicate_names("settings.classes", classes)
    yield from _duplicate_names("settings.tenants", tenants)
    for number, entry in enumerate(map(_as_dict, classes)):
        path, aim, deadline = f"settings.classes[{number}]", entry.get("aimNs"), entry.get("giveUpNs")
        if _is_number(aim) and _is_number(deadline) and aim > deadline:
            yield Fault(f"{path}.aimNs", f"{aim} is later than giveUpNs, {deadline}")
        if entry.get("semantics") == "dedup" and not entry.get("dedupWindowNs"):
            yield Fault(
                f"{path}.dedupWindowNs", "a class with semantics 'dedup' needs a deduplication window"
            )
    portions = [entry.get("portion") for entry in map(_as_dict, tenants)]
    shares = [portion for portion in portions if _is_number(portion) and 0 <= portion <= 1]
    total = sum(shares)
    if total > 1.001 and len(shares) == len(portions):
        yield Fault("settings.tenants", f"the portions add up to {total:g}, more than 1")
    family, kinds = _as_dict(settings.get("familyInfo")), _as_list(settings.get("kinds"))
    origin = family.get("originKind")
    if family.get("mode") == "aside" and not (isinstance(origin, int) and 0 <= origin < len(kinds)):
        yield Fault("settings.familyInfo.originKind", f"{origin!r} is not an index into settings.kinds")
    if isinstance(config.get("known"), dict):
        try:
            read_listing(config["known"], StartTimes())
        except ValueError as error:
            yield Fault("known", str(error))


def find_faults(config: Any) -> list[Fault]:
    """Return all faults of a configuration parsed from JSON, sorted by path."""
    faults = list(_schema_faults(config))
    if isinstance(config, dict):
        reported_paths = {fault.path for fault in faults}
        faults += [fault for fault in _semantic_faults(config) if fault.path not in reported_paths]
    return sorted(faults, key=lambda fault: fault.path)


def check_file(path: Path, with_files: Sequence[Path] = ()) -> list[Fault]:
    """Return all faults of a configuration file and its feature files; empty if a router accepts them."""
    try:
        config = orjson.loads(path.read_bytes())
    except OSError as error:
        return [Fault("", f"can't be read: {error.strerror or error}")]
    except orjson.JSONDecodeError as error:
        return [Fault("", f"not valid JSON: {error}")]
    faults = find_faults(config)
    for file in with_files:
        try:
            read_features([file])
        except FeatureError as error:
            faults.append(Fault("--with", str(error)))
    if not faults:
        try:
            load_config({"LB_CONFIG": str(path)}, with_files)
        except ConfigError as error:
            faults.append(Fault("", str(error).removeprefix(f"{path}: ")))
    return faults
