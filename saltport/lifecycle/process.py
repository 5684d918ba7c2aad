"""The process of a single router: its configuration, its collector of cycles, and its event loop."""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from saltport.lifecycle.allocator import limit_kept_memory
from saltport.lifecycle.service import START_TIMEOUT_S, Service
from saltport.router.config import Config, ConfigError, ConfigUnavailableError, load_config
from saltport.router.log import configure_logger
from saltport.transport import shortage
from saltport.transport.loop import run_on_router_loop

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)
GC_THRESHOLD = 20_000  # young objects; requests create few cycles, and each collection delays all requests

log = logging.getLogger("saltport")


async def serve(config: Config, with_files: Sequence[Path] = ()) -> None:
    """Run the router until SIGTERM, and then until all accepted requests are answered; raises OSError."""
    try:
        await Service(asyncio.get_running_loop(), config, dict(os.environ), with_files).run()
    finally:
        # Danger: a later signal of a series would meet an event loop that is half closed, or end the process
        # by the signal's default action.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def _with_files(arguments: Sequence[str]) -> list[Path]:
    """Return the feature files named by `--with`, the only option; raises ConfigError."""
    if len(arguments) % 2 or any(argument != "--with" for argument in arguments[::2]):
        raise ConfigError("usage: python -m saltport.router [--with FILE]..., with LB_CONFIG set")
    return [Path(argument) for argument in arguments[1::2]]


def _load_config(with_files: Sequence[Path]) -> Config:
    """Return the configuration, read again during a temporary shortage of resources; raises ConfigError."""
    end = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return load_config(os.environ, with_files)
        except ConfigUnavailableError:
            if time.monotonic() >= end:
                raise
        time.sleep(shortage.RETRY_PAUSE_S)


def main() -> int:
    """Read the configuration and run the router; return the exit status."""
    try:
        with_files = _with_files(sys.argv[1:])
        config = _load_config(with_files)
    except ConfigError as error:
        print(f"saltport: {error}", file=sys.stderr)
        return 2
    configure_logger(config.name)
    # The log line shows how far a hanging start came; faulthandler shows where native code crashed.
    faulthandler.enable()
    log.info("started, after %.2f s of processor time", time.process_time())
    if with_files:
        settings = config.settings
        log.info("table: %d slots%s", settings.slots, ", ranked with numpy" if settings.vectors else "")
    limit_kept_memory()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        run_on_router_loop(serve(config, with_files))
    except OSError as error:
        print(f"saltport: {error}", file=sys.stderr)
        return 1
    return 0
