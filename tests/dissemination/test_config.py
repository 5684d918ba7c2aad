"""The deployed file is off and states the default settings; an invalid file gets a one-line error."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from saltport.dissemination.config import DisseminationConfigError, read_table
from saltport.dissemination.settings import DisseminationSettings

DEPLOY = Path(__file__).parents[2] / "deploy/dissemination.toml"


def test_the_file_is_off_and_has_the_default_settings() -> None:
    table = read_table(DEPLOY.read_text())
    assert not table.on
    assert table.settings() == DisseminationSettings()


def test_no_table_is_off() -> None:
    assert not read_table("[peers]\non = true\n").on


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("[dissemination]\nbatch_ms = 0", r"Expected `int` >= 10 - at `\$\.dissemination\.batch_ms`"),
        ("[dissemination]\nbatch_ms = '250'", r"Expected `int`, got `str`"),
        ("[dissemination]\nbatches = 3", r"unknown field `batches`"),
        ("[dissemination]\nregion_relays = 99", r"Expected `int` <= 16"),
        ("[dissemination]\nfresh_for_ms = 1000", r"fresh_for_ms must be longer"),
        ("dissemination = 3", r"Expected `object`, got `int`"),
        ("[dissemination", r"not TOML"),
    ],
)
def test_bad_input_gets_a_plain_line(text: str, told: str) -> None:
    with pytest.raises(DisseminationConfigError, match=told) as error:
        read_table(text)
    assert "\n" not in str(error.value)


def test_the_running_programs_dont_import_dissemination() -> None:
    code = (
        "import sys, saltport.cli, saltport.lifecycle.process;"
        "print([name for name in sys.modules if name.startswith('saltport.dissemination')])"
    )
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True)
    assert run.stdout.strip() == "[]"
