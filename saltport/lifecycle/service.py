"""The router's process from start to end: its parts, operators' calls, signals, and its replacement."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import socket
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from saltport import __version__
from saltport.address import parse_address
from saltport.admin.calls import CallError
from saltport.decisions import ListKind, ServersChanged
from saltport.decisions.interface import NS_PER_S
from saltport.downstream.clients import ClientServer
from saltport.downstream.resp import RespDialect
from saltport.lifecycle.bans import Bans, BanStore
from saltport.lifecycle.drain import BY_CALL, LATE_S, Plan, at_the_end
from saltport.lifecycle.reload import plan_reload
from saltport.lifecycle.takeover import Takeover
from saltport.membership.listing import Listing, read_listing
from saltport.membership.registry import Discovery
from saltport.membership.start_times import StartTimes
from saltport.messages import ClientDialect
from saltport.router.config import Config, ConfigError, ConfigUnreadError, reload_config
from saltport.router.features import MemcachedFeatures
from saltport.router.host import RouterHost
from saltport.transport.shortage import outlast
from saltport.upstream.pool import Pool

if TYPE_CHECKING:
    from saltport.downstream.access_log import AccessLog
    from saltport.failover.link import FailoverLink
    from saltport.owners.link import OwnersLink, OwnersPlan
    from saltport.peers.agent import MembershipEvent
    from saltport.peers.link import PeerLink

READY_S = 1.0  # the wait for discovery's first list, after which the known one must do
START_PATIENCE_S = 10.0  # for a listener that the machine has no resources for
STEP_S = 0.01  # between two looks at what is left to drain
RELOAD_AGAIN_S = 0.05  # where the machine is short of what reading the configuration needs
LAST_ANSWERS_S = LATE_S / 2  # in which the last answers leave before SIGKILL may come
FOLLOW_S = 0.1  # between two looks at what another process has put out or back
OWN_DESCRIPTORS = 32  # standard streams, the listener, the event loop, discovery
ADMIN_DESCRIPTORS = 36  # the operators' listener, and the most callers
CLIENT_SHARE = 0.6
BUDGET_SHARE = 0.2  # of the memory, for clients' long commands
BANS = "saltport.out"
LAG_WINDOW_NS = 500_000_000  # for so long a slow turn of the loop counts in its peers' favour

log = logging.getLogger("saltport")


class Service:
    """One router's process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        environ: dict[str, str],
        with_files: Sequence[Path],
    ) -> None:
        self._loop, self._config, self._environ, self._with_files = loop, config, environ, with_files
        self._terminated = asyncio.Event()
        self._draining: asyncio.Task[None] | None = None
        self._reload_again: asyncio.TimerHandle | None = None
        self._start_times = StartTimes()
        self._has_list = False
        """Whether discovery has told anything to this process."""
        own = OWN_DESCRIPTORS + (ADMIN_DESCRIPTORS if config.admin else 0)
        descriptors = max(config.sockets - own, 8)
        for_clients = int(descriptors * CLIENT_SHARE)
        dial, idle = config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S
        self._pool = Pool(loop, descriptors - for_clients, dial, idle)
        self._host = RouterHost(loop, config.settings, config.seed, self._pool, config.max_open)
        self._pool.touched = self._host.touched
        self._memcached = _memcached(config.memcached) if config.memcached.on else None
        budget = int(config.memory * BUDGET_SHARE)
        self._clients = ClientServer(loop, self._host, self._dialect(), for_clients, budget)
        self._clients.dialects[RespDialect.name] = RespDialect
        if config.access_log.folder:
            self._clients.access_log = _access_log(loop, config)
        if self._memcached is not None:
            self._clients.dialects["memcached"] = self._memcached
        self._discovery = Discovery(
            config.discovery,
            config.settings.must_subscribe,
            self._start_times,
            self._take,
            self._host.discovery_failed,
            config.settings.ask_within / NS_PER_S,
            random.Random(config.seed),
        )
        self._host.subscribe = self._discovery.subscribe
        # What outlives the process has a place only where the platform gives one.
        folder = environ.get("TMPDIR")
        store = BanStore(Path(folder) / BANS) if folder and config.admin else None
        self._bans = Bans(store, lambda: self._host.out, self._host.take_out, self._host.put_back)
        self._peers = _peer_link(loop, config, self._host) if config.peers is not None else None
        self._owners = (
            _owners_link(loop, config.owners, self._peers, self._host, config.seed)
            if config.owners is not None and self._peers is not None
            else None
        )
        self._failover = _failover_link(loop, config, self._peers, self._owners, self._host)
        self._takeover = (
            Takeover(loop, Path(folder), self._clients.adopt, self._share, self._learnt)
            if folder and config.listen_fd is not None
            else None
        )

    def _dialect(self) -> Callable[[], ClientDialect]:
        if self._memcached is None or not self._config.memcached.shared:
            return RespDialect
        from saltport.downstream.memcached import DetectingDialect

        return partial(DetectingDialect, self._memcached, RespDialect)

    async def run(self) -> None:
        """Run until SIGTERM, and then until all that was taken is answered. Raises OSError."""
        loop, config = self._loop, self._config
        # Danger: a fault in one callback, printed each time it comes, would take the CPU of the others.
        loop.set_exception_handler(
            lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
        )
        loop.add_signal_handler(signal.SIGTERM, self._terminated.set)
        # Danger: without a handler SIGHUP ends the process and all that it has taken.
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._bans.follow()
        known = self._known()
        # Danger: told in any case, as where discovery is asked the first watch follows from it.
        self._host.servers_changed(known or Listing(0, ServersChanged(ListKind.CACHED), {}))
        admin = None
        if config.admin is not None:
            from saltport.admin.listener import AdminListener  # only where operators call

            admin = AdminListener(self)
            await outlast(partial(admin.listen, config.admin), START_PATIENCE_S)
        if config.listen_fd is None:
            await outlast(partial(self._clients.listen, config.listen), START_PATIENCE_S)
        if self._memcached is not None and config.memcached.listen:
            address = parse_address("memcached.listen", config.memcached.listen)
            await outlast(partial(self._clients.listen, address, self._memcached), START_PATIENCE_S)
        log.info("listening, after %.2f s of processor time", time.process_time())
        if not config.settings.must_subscribe:
            self._discovery.start()
        if known is not None:
            loop.call_later(READY_S, self._make_do)
        opening = loop.create_task(self._peers.open()) if self._peers is not None else None
        if config.listen_fd is not None:
            await self._stand_beside(config.listen_fd)
        await self._terminated.wait()
        if self._peers is not None and opening is not None:
            # Danger: the next process of this router waits for the address, and is unknown until it has it.
            opening.cancel()
            if self._failover is not None:
                self._failover.close()
            if self._owners is not None:
                await self._owners.close()  # what it holds is given back before it goes
            await self._peers.close(self._takeover is not None and self._takeover.replaced)
        await self._end()
        if admin is not None:
            admin.close()
        if self._takeover is not None:
            self._takeover.close()
        self._clients.close()
        if self._clients.access_log is not None:
            self._clients.access_log.close()
        self._discovery.close()
        self._pool.close()
        await asyncio.sleep(0)

    async def _stand_beside(self, descriptor: int) -> None:
        """Accept at the platform's socket, beside the process before this one, once it is of use."""
        listener = await outlast(partial(_listening, descriptor), START_PATIENCE_S)
        if self._takeover is not None:
            await self._takeover.open()
        self._follow_bans()
        while not self._host.ready and not self._terminated.is_set():
            await asyncio.sleep(STEP_S)
        given_up = self._loop.time() + READY_S
        while self._takeover is not None and self._takeover.learning and self._loop.time() < given_up:
            await asyncio.sleep(STEP_S)
        if self._takeover is not None and self._takeover.inherited:
            try:
                self._host.inherit(orjson.loads(self._takeover.inherited))
            except ValueError as error:
                log.warning("what the process before has learnt can't be read: %s", error)
        self._clients.listen_at(listener)

    def _learnt(self) -> bytes:
        return orjson.dumps(self._host.learnt())

    def _follow_bans(self) -> None:
        self._bans.follow()
        self._loop.call_later(FOLLOW_S, self._follow_bans)

    def _share(self) -> None:
        """Another process of this router has come or gone."""
        assert self._takeover is not None
        log.info("another process of this router %s", "runs beside" if self._takeover.shared else "has ended")
        self._pool.share(self._takeover.shared)

    # The list of servers

    def _known(self) -> Listing | None:
        """The list as this router last had it; one that can't be read is no reason to end."""
        told = self._config.known
        if told is None:
            return None
        try:
            known = read_listing(told, self._start_times, ListKind.CACHED)
        except ValueError as error:
            log.warning("known: %s; the router starts without it", error)
            return None
        self._discovery.hold(told, known.generation)
        return known

    def _take(self, listing: Listing) -> None:
        if not self._has_list:
            self._has_list = True
            log.info("the first list has come: generation %d", listing.generation)
        self._host.servers_changed(listing)
        self._host.ready = self._host.ready or not listing.more

    def _make_do(self) -> None:
        self._host.ready = True

    # Operators' calls

    def healthy(self) -> bool:
        """See Operations."""
        return self._clients.takes_clients and self._clients.accepting

    def stats(self) -> dict[str, Any]:
        """See Operations."""
        return self._host.stats()

    def state(self) -> dict[str, Any]:
        """See Operations."""
        about = {"name": self._config.name, "pid": os.getpid(), "version": __version__}
        now = {
            "draining": self._clients.draining,
            "connected": self._clients.connected,
            "shared": self._takeover is not None and self._takeover.shared,
            "taken_over": self._takeover.taken if self._takeover is not None else 0,
            "servers_may_hold": self._pool.limit,
            "late": self._pool.late,
        }
        known = {"generation": self._discovery.generation, "peers": self.peers(), "owners": self.owners()}
        return {**about, **now, **known, **self._host.view()}

    def peers(self) -> dict[str, Any]:
        """See Operations."""
        return {"on": True, **self._peers.view()} if self._peers is not None else {"on": False}

    def owners(self) -> dict[str, Any]:
        """See Operations."""
        return {"on": True, **self._owners.view()} if self._owners is not None else {"on": False}

    def zones(self) -> dict[str, Any]:
        """See Operations."""
        return {"on": True, **self._failover.view()} if self._failover is not None else {"on": False}

    def order_zones(self, what: str, zone: str, way_ms: int, force: bool) -> int | None:
        """See Operations."""
        if self._failover is None:
            raise CallError("failover is off")
        return self._failover.order(what, zone, way_ms, force)

    def step_down(self, to: str) -> None:
        """See Operations."""
        reason = self._owners.step_down(to) if self._owners is not None else "owners are off"
        if reason:
            raise CallError(reason)
        log.info("owners: leadership is handed over, by hand")

    def settle_peers(self) -> bool:
        """See Operations."""
        if self._peers is not None:
            log.info("peers: the present view is the yardstick, by hand")
            self._peers.settle()
        return self._peers is not None

    def take_out(self, server: str) -> bool:
        """See Operations."""
        return self._ban(server, self._bans.take_out)

    def put_back(self, server: str) -> bool:
        """See Operations."""
        return self._ban(server, self._bans.put_back)

    def _ban(self, server: str, do: Callable[[str], None]) -> bool:
        if not self._host.knows(server):
            return False
        try:
            do(server)
        except OSError as error:
            raise CallError(f"it can't be kept: {error.strerror or error}") from None
        log.info("%s: by hand: %s", server, "out" if server in self._host.out else "back")
        return True

    def drain(self) -> None:
        """See Operations."""
        if self._draining is None and not self._terminated.is_set():
            log.info("drained by hand")
            self._clients.draining = True
            self._draining = self._loop.create_task(self._empty(BY_CALL, health=False))

    def resume(self) -> None:
        """See Operations."""
        if self._terminated.is_set():
            raise CallError("the process is ending")
        if self._draining is not None:
            log.info("back to work by hand")
            self._draining.cancel()
            self._draining = None
        self._clients.draining = self._clients.closing_when_answered = False

    async def _empty(self, plan: Plan, health: bool) -> None:
        """Bring clients' connections to their end; `health`: also those that only ask how the router is."""
        begun = self._loop.time()
        while not (step := plan.step(self._loop.time() - begun)).over:
            self._clients.closing_when_answered = step.leaving
            if step.idle:
                self._clients.finish(step.midway, health)
            if step.leaving and health:
                self._clients.stop_accepting()
                if self._clients.empty and not self._giving:
                    return
            await asyncio.sleep(STEP_S)

    async def _end(self) -> None:
        """Answer what was taken, and pass on to the next process what it can go on with."""
        if self._draining is not None:
            self._draining.cancel()
        longest = max(cls.deadline for cls in self._config.settings.classes) / NS_PER_S
        shared = self._config.listen_fd is not None
        plan = at_the_end(longest, shared)
        if self._takeover is not None:
            self._takeover.accept_rest()
        if self._takeover is not None and self._takeover.replaced:
            self._clients.successor = self._takeover
            self._clients.exits_at = self._loop.time() + plan.over
        self._host.ends_in(int(plan.over * NS_PER_S))
        await self._empty(plan, health=True)
        self._host.end_all()
        self._clients.finish(even_mid_command=True)
        ended = self._loop.time()
        while self._clients.connected and self._loop.time() - ended < LAST_ANSWERS_S:
            await asyncio.sleep(STEP_S)

    @property
    def _giving(self) -> bool:
        """Whether connections are on their way to the next process."""
        return self._takeover is not None and self._takeover.giver.busy

    # A new configuration

    def _reload(self) -> None:
        figures = self._host.figures
        if self._reload_again is not None:
            self._reload_again.cancel()
        try:
            plan = plan_reload(self._config, reload_config(self._environ, self._with_files))
        except ConfigUnreadError as error:
            # Danger: nobody sends the signal again, and the new configuration would never be in force.
            log.warning("the new configuration can't be read for now: %s", error)
            self._reload_again = self._loop.call_later(RELOAD_AGAIN_S, self._reload)
            return
        except (ConfigError, ValueError) as error:
            figures.conf_invalid += 1
            log.error("the new configuration can't be used, the old one stays: %s", error)
            return
        figures.conf_loaded += 1
        self._config = plan.config
        if plan.waits:
            log.warning("of the new configuration this waits for a restart: %s", ", ".join(plan.waits))
        if plan.retunes:
            self._host.retune(plan.config.settings)
            self._discovery.ask_within(plan.config.settings.ask_within / NS_PER_S)
        if plan.rekeys and self._peers is not None and plan.config.peers is not None:
            self._peers.use_keys(plan.config.peers.keys)
        if plan.moves:
            self._discovery.move(plan.config.discovery)


def _owners_link(
    loop: asyncio.AbstractEventLoop, plan: OwnersPlan, peers: PeerLink, host: RouterHost, seed: int
) -> OwnersLink:
    from saltport.owners.link import OwnersLink  # only where it is on

    return OwnersLink(loop, plan, peers, host, seed)


def _failover_link(
    loop: asyncio.AbstractEventLoop,
    config: Config,
    peers: PeerLink | None,
    owners: OwnersLink | None,
    host: RouterHost,
) -> FailoverLink | None:
    topology = config.settings.topology
    if not config.failover or topology is None or peers is None or owners is None:
        return None
    from saltport.failover.link import FailoverLink  # only where it is on

    return FailoverLink(loop, topology, config.settings.cold_time, peers, owners, host, config.seed)


def _peer_link(loop: asyncio.AbstractEventLoop, config: Config, host: RouterHost) -> PeerLink:
    from saltport.peers.event_log import EventLog  # only where it is on
    from saltport.peers.link import PeerLink

    def lag() -> int:
        return host.lag.longest_since(time.monotonic_ns() - LAG_WINDOW_NS)

    event_log = EventLog()

    def told(event: MembershipEvent) -> None:
        for grave, line in event_log.add(event):
            log.log(logging.WARNING if grave else logging.INFO, "peers: %s", line)

    assert config.peers is not None
    return PeerLink(loop, config.name, config.peers, config.seed, lag, told)


def _listening(descriptor: int) -> socket.socket:
    """A copy of the platform's listening socket; raises OSError in plain words."""
    try:
        copy = socket.socket(fileno=os.dup(descriptor))
    except OSError as error:
        plain = OSError(f"LB_SOCKET_FD: {descriptor}: {error.strerror or error}")
        plain.errno = error.errno
        raise plain from None
    if copy.family != socket.AF_INET or not copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        copy.close()
        raise OSError(f"LB_SOCKET_FD: {descriptor} is no socket that listens for TCP over IPv4")
    copy.setblocking(False)
    return copy


def _access_log(loop: asyncio.AbstractEventLoop, config: Config) -> AccessLog:
    from saltport.downstream.access_log import AccessLog  # only where it is on

    path = Path(config.access_log.folder) / f"access-{config.name}-{os.getpid()}.jsonl"
    return AccessLog(loop, path, config.access_log.max_mb << 20)


def _memcached(told: MemcachedFeatures) -> Callable[[], ClientDialect]:
    from saltport.downstream.memcached import MemcachedDialect, MemcachedRules  # only where it is on

    rules = MemcachedRules(
        told.read_class, told.write_class, told.delete_class, told.tenants(), told.deadline_ms
    )
    return partial(MemcachedDialect, rules)
