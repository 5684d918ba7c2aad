"""Starts the router, and ends it in good order on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path

import uvloop

from saltport import __version__
from saltport.address import parse_address
from saltport.decisions import ListKind
from saltport.decisions.interface import NS_PER_S
from saltport.downstream.clients import ClientServer
from saltport.downstream.resp import RespDialect
from saltport.membership.listing import Clock, Listing, read_listing
from saltport.membership.registry import Discovery
from saltport.messages import ClientDialect
from saltport.router.config import Config, ConfigError, load_config, reload_config
from saltport.router.features import MemcachedFeatures
from saltport.router.host import RouterHost
from saltport.router.log import make_logger
from saltport.upstream.pool import Pool

READY_S = 1.0  # the wait for discovery's first list, after which the known one must do
ACCEPT_S = 0.5
MIDWAY_S = 0.65
KILL_SLACK_S = 0.65  # beyond the longest deadline; SIGKILL comes no sooner than 0.7 s
DRAIN_STEP_S = 0.01
OWN_DESCRIPTORS = 32  # standard streams, the listener, the event loop, discovery
CLIENT_SHARE = 0.6
BUDGET_SHARE = 0.2  # of the memory, for clients' long commands

GC_THRESHOLD = 20_000  # young objects; requests leave hardly any cycles, and each pass stalls all of them

log = logging.getLogger("saltport")


async def serve(config: Config, with_files: Sequence[Path] = ()) -> None:
    """Run until SIGTERM, and then until all that was taken is answered."""
    loop = asyncio.get_running_loop()
    # Danger: a fault in one callback, printed each time it comes, would take the CPU of the others.
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    descriptors = max(config.sockets - OWN_DESCRIPTORS, 8)
    for_clients = int(descriptors * CLIENT_SHARE)
    pool = Pool(loop, descriptors - for_clients, config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S)
    host = RouterHost(loop, config.settings, config.seed, pool, config.max_open)
    pool.touched = host.touched
    memcached = _memcached(config.memcached) if config.memcached.on else None
    dialect: Callable[[], ClientDialect] = RespDialect
    if memcached is not None and config.memcached.shared:
        from saltport.downstream.memcached import EitherDialect

        dialect = partial(EitherDialect, memcached, RespDialect)
    clients = ClientServer(loop, host, dialect, for_clients, int(config.memory * BUDGET_SHARE))

    def take(listing: Listing) -> None:
        host.servers_changed(listing)
        host.ready = host.ready or not listing.more

    def make_do() -> None:
        host.ready = True

    def reload() -> None:
        nonlocal config
        try:
            told = reload_config(os.environ, with_files)
        except (ConfigError, ValueError) as error:
            log.error("the new configuration can't be used, the old one stays: %s", error)
            return
        if replace(told, discovery=config.discovery, known=config.known, seed=config.seed) != config:
            log.warning("of the new configuration only discovery's address is taken up before a restart")
        if told.discovery != config.discovery:
            config = replace(config, discovery=told.discovery)
            discovery.move(told.discovery)

    clock = Clock()
    asked = config.settings.must_subscribe
    discovery = Discovery(
        config.discovery,
        asked,
        clock,
        take,
        host.discovery_failed,
        config.settings.ask_within / NS_PER_S,
        random.Random(config.seed),
    )
    host.subscribe = discovery.subscribe
    # Danger: without a handler SIGHUP ends the process and all that it has taken.
    loop.add_signal_handler(signal.SIGHUP, reload)
    if config.known is not None:
        known = read_listing(config.known, clock, ListKind.CACHED)
        discovery.hold(config.known, known.generation)
        host.servers_changed(known)
    admin = None
    if config.admin_socket:
        from saltport.router.admin import Admin  # not on the platform, which has no use for it

        about = {"name": config.name, "pid": os.getpid(), "version": __version__}
        admin = Admin(
            Path(config.admin_socket),
            {"state": lambda: {**about, "generation": discovery.generation, **host.view()}},
        )
        await admin.listen()
    await clients.listen(config.listen)
    if memcached is not None and config.memcached.listen:
        await clients.listen(parse_address("memcached.listen", config.memcached.listen), memcached)
    if not asked:
        discovery.start()
    if config.known is not None:
        loop.call_later(READY_S, make_do)
    await terminated.wait()
    await _drain(loop, config, host, clients)
    if admin is not None:
        admin.close()
    clients.close()
    discovery.close()
    pool.close()
    await asyncio.sleep(0)


def _memcached(told: MemcachedFeatures) -> Callable[[], ClientDialect]:
    from saltport.downstream.memcached import MemcachedDialect, MemcachedRules  # only where it is on

    rules = MemcachedRules(
        told.read_class, told.write_class, told.delete_class, told.tenant or None, told.deadline_ms
    )
    return partial(MemcachedDialect, rules)


async def _drain(
    loop: asyncio.AbstractEventLoop, config: Config, host: RouterHost, clients: ClientServer
) -> None:
    begun = loop.time()
    longest = max(cls.deadline for cls in config.settings.classes) / NS_PER_S
    # Danger: clients are sent here for a while yet, and what they send to a closed door is lost.
    await asyncio.sleep(ACCEPT_S)
    clients.stop_accepting()
    while clients.connected and loop.time() < begun + longest + KILL_SLACK_S:
        await asyncio.sleep(DRAIN_STEP_S)
        if loop.time() >= begun + MIDWAY_S:
            clients.finish(even_midway=True)


def _with_files(words: Sequence[str]) -> list[Path]:
    """The files named by `--with`, the only option; raises ConfigError."""
    if len(words) % 2 or any(word != "--with" for word in words[::2]):
        raise ConfigError("usage: python -m saltport.router [--with FILE]..., with LB_CONFIG set")
    return [Path(word) for word in words[1::2]]


def main() -> int:
    """Read the configuration and serve; returns the exit status."""
    try:
        with_files = _with_files(sys.argv[1:])
        config = load_config(os.environ, with_files)
        if config.known is not None:
            read_listing(config.known, Clock())
    except (ConfigError, ValueError) as error:
        print(f"saltport: {error}", file=sys.stderr)
        return 2
    make_logger(config.name)
    if with_files:
        settings = config.settings
        log.info("table: %d slots%s", settings.slots, ", ranked with numpy" if settings.vectors else "")
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        uvloop.run(serve(config, with_files))
    except OSError as error:
        print(f"saltport: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
