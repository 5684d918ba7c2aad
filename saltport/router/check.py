"""Every fault of a configuration in one go, each with its path in the file.

A router itself stops at the first fault (config.py); this is for whoever writes the file. The form is a JSON
Schema, read by jsonschema; what a schema can't say is checked behind it, and at last the router's own reader
has its say, so that what is found clean here is what a router takes.
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
    """One fault: `path` as in `settings.classes[1].aimNs`, empty for the whole file."""

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


def _path(parts: Any) -> str:
    told = ""
    for part in parts:
        told += f"[{part}]" if isinstance(part, int) else f".{part}" if told else str(part)
    return told


def _schema_faults(told: Any) -> Iterator[Fault]:
    for error in Draft202012Validator(SCHEMA).iter_errors(told):
        reason = error.message if len(error.message) <= 160 else f"{error.message[:157]}..."
        yield Fault(_path(error.absolute_path), reason)


def _as_dict(told: Any) -> dict[str, Any]:
    return told if isinstance(told, dict) else {}


def _as_list(told: Any) -> list[Any]:
    return told if isinstance(told, list) else []


def _is_number(told: Any) -> TypeGuard[float]:
    return isinstance(told, int | float) and not isinstance(told, bool)


def _twice(path: str, entries: list[Any]) -> Iterator[Fault]:
    seen: dict[str, int] = {}
    for number, entry in enumerate(entries):
        name = _as_dict(entry).get("name")
        if isinstance(name, str) and name in seen:
            yield Fault(f"{path}[{number}].name", f"{name!r} stands at {path}[{seen[name]}] already")
        elif isinstance(name, str):
            seen[name] = number


def _meaning_faults(told: dict[str, Any]) -> Iterator[Fault]:
    """What a schema can't say; passes over what is of the wrong kind, which the schema has told."""
    for name in ("listen", "discovery"):
        if isinstance(told.get(name), str):
            try:
                parse_address(name, told[name])
            except ValueError as error:
                yield Fault(name, str(error).partition(": ")[2])
    settings = _as_dict(told.get("settings"))
    classes, tenants = _as_list(settings.get("classes")), _as_list(settings.get("tenants"))
    yield from _twice("settings.classes", classes)
    yield from _twice("settings.tenants", tenants)
    for number, entry in enumerate(map(_as_dict, classes)):
        path, aim, deadline = f"settings.classes[{number}]", entry.get("aimNs"), entry.get("giveUpNs")
        if _is_number(aim) and _is_number(deadline) and aim > deadline:
            yield Fault(f"{path}.aimNs", f"{aim} is later than giveUpNs, {deadline}")
        if entry.get("semantics") == "dedup" and not entry.get("dedupWindowNs"):
            yield Fault(f"{path}.dedupWindowNs", "a class of semantics 'dedup' needs its window")
    portions = [entry.get("portion") for entry in map(_as_dict, tenants)]
    shares = [portion for portion in portions if _is_number(portion) and 0 <= portion <= 1]
    total = sum(shares)
    if total > 1.001 and len(shares) == len(portions):
        yield Fault("settings.tenants", f"the portions add up to {total:g}, which is over 1")
    family, kinds = _as_dict(settings.get("familyInfo")), _as_list(settings.get("kinds"))
    origin = family.get("originKind")
    if family.get("mode") == "aside" and not (isinstance(origin, int) and 0 <= origin < len(kinds)):
        yield Fault("settings.familyInfo.originKind", f"{origin!r} is no place in settings.kinds")
    if isinstance(told.get("known"), dict):
        try:
            read_listing(told["known"], StartTimes())
        except ValueError as error:
            yield Fault("known", str(error))


def find_faults(told: Any) -> list[Fault]:
    """Every fault of a configuration that has been read as JSON."""
    faults = list(_schema_faults(told))
    if isinstance(told, dict):
        known = {fault.path for fault in faults}
        faults += [fault for fault in _meaning_faults(told) if fault.path not in known]
    return sorted(faults, key=lambda fault: fault.path)


def check_file(path: Path, with_files: Sequence[Path] = ()) -> list[Fault]:
    """Every fault of the file at this path; an empty list: a router takes it."""
    try:
        told = orjson.loads(path.read_bytes())
    except OSError as error:
        return [Fault("", f"can't be read: {error.strerror or error}")]
    except orjson.JSONDecodeError as error:
        return [Fault("", f"no JSON: {error}")]
    faults = find_faults(told)
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
