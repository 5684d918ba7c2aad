"""Profiles survive a round trip through JSON, and invalid ones are rejected."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson
import pytest

from saltport.standins.profile import ClassProfile, Profile, profile_json, read_profile, with_faster_work


def test_profiles_survive_a_file() -> None:
    odd = replace(
        with_faster_work(Profile(), 3),
        cores=4,
        classes=(ClassProfile("once", 1.0, (1.5, 2.0), 3, 4, "fragile"),),
    )
    for profile in (Profile(), odd):
        assert read_profile(orjson.loads(orjson.dumps(profile_json(profile)))) == profile
    assert read_profile({"queue": 3}) == replace(Profile(), queue=3)


@pytest.mark.parametrize(
    "told",
    [
        [],
        {"melt": 1},
        {"queue": -1},
        {"queue": "long"},
        {"queue": True},
        {"classes": [{"name": "x"}]},
        {"classes": [{"name": "x", "work_ms": [1, 2], "colour": 1}]},
        {"small_bytes": [1]},
        {"tenants": [["a"]]},
    ],
)
def test_bad_profiles_are_turned_down(told: Any) -> None:
    with pytest.raises(ValueError, match=r"."):
        read_profile(told)
