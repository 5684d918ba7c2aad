"""Starts the router."""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import logging
import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from saltport.lifecycle.service import START_TIMEOUT_S, Service
from saltport.router.config import Config, ConfigError, ConfigUnreadError, load_config
from saltport.router.log import make_logger
from saltport.transport import shortage
from saltport.transport.loop import on_router_loop

GC_THRESHOLD = 20_000  # young objects; requests leave hardly any cycles, and each pass stalls all of them

log = logging.getLogger("saltport")


async def serve(config: Config, with_files: Sequence[Path] = ()) -> None:
    """Run until SIGTERM, and then until all that was taken is answered. Raises OSError."""
    await Service(asyncio.get_running_loop(), config, dict(os.environ), with_files).run()


def _with_files(words: Sequence[str]) -> list[Path]:
    """The files named by `--with`, the only option; raises ConfigError."""
    if len(words) % 2 or any(word != "--with" for word in words[::2]):
        raise ConfigError("usage: python -m saltport.router [--with FILE]..., with LB_CONFIG set")
    return [Path(word) for word in words[1::2]]


def _load_config(with_files: Sequence[Path]) -> Config:
    """Read the configuration, past a shortage of the machine; raises ConfigError."""
    given_up = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return load_config(os.environ, with_files)
        except ConfigUnreadError:
            if time.monotonic() >= given_up:
                raise
        time.sleep(shortage.PAUSE_S)


def main() -> int:
    """Read the configuration and serve; returns the exit status."""
    try:
        with_files = _with_files(sys.argv[1:])
        config = _load_config(with_files)
    except ConfigError as error:
        print(f"saltport: {error}", file=sys.stderr)
        return 2
    make_logger(config.name)
    # A start that hangs is found by how far it came, and a crash in the libraries' code by where.
    faulthandler.enable()
    log.info("started, after %.2f s of processor time", time.process_time())
    if with_files:
        settings = config.settings
        log.info("table: %d slots%s", settings.slots, ", ranked with numpy" if settings.vectors else "")
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        on_router_loop(serve(config, with_files))
    except OSError as error:
        print(f"saltport: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
