"""The router process from start to exit: its components, operators' calls, signals, and its replacement."""

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
from saltport.decisions.used_ids import UsedIds
from saltport.downstream.clients import ClientServer
from saltport.downstream.memory_pressure import successor_bytes, total_budget_bytes
from saltport.downstream.resp import RespDialect
from saltport.lifecycle.bans import Bans, BanStore
from saltport.lifecycle.drain import MAX_STEP_DELAY_S, OPERATOR_DRAIN, DrainPlan, shutdown_plan
from saltport.lifecycle.memory import private_memory_bytes, resident_memory_bytes
from saltport.lifecycle.memory_monitor import MemoryMonitor
from saltport.lifecycle.private_folder import is_private
from saltport.lifecycle.reload import plan_reload
from saltport.lifecycle.takeover import Takeover
from saltport.membership.listing import Listing, read_listing
from saltport.membership.registry import Discovery
from saltport.membership.reused_addresses import ReusedAddresses
from saltport.membership.start_times import StartTimes
from saltport.messages import ClientDialect
from saltport.router.config import Config, ConfigError, ConfigUnavailableError, reload_config
from saltport.router.features import MemcachedFeatures
from saltport.router.host import RouterHost
from saltport.transport.shortage import retry_on_shortage
from saltport.upstream.pool import Pool

if TYPE_CHECKING:
    from saltport.downstream.access_log import AccessLog
    from saltport.failover.link import FailoverLink
    from saltport.owners.link import OwnersLink, OwnersPlan
    from saltport.peers.agent import MembershipEvent
    from saltport.peers.link import PeerLink

FIRST_LIST_TIMEOUT_S = 1.0  # wait for the first list from discovery before the cached list is used
START_TIMEOUT_S = 10.0  # for retries of a listener while the machine lacks resources
POLL_S = 0.01  # between two checks of a drain, or of the readiness to accept
RELOAD_RETRY_S = 0.05  # retry delay while the machine lacks the resources to read the configuration
LAST_REPLIES_S = MAX_STEP_DELAY_S / 2  # to send the last replies before SIGKILL can arrive
VALUES_TIMEOUT_S = 30.0  # to send the rest of values, where the platform does not kill this process earlier
BAN_SYNC_S = 0.1  # between two checks for bans changed by another process
OWN_DESCRIPTORS = 32  # standard streams, the listener, the event loop, discovery
ADMIN_DESCRIPTORS = 36  # the operators' listener and its maximum number of connections
CLIENT_DESCRIPTOR_SHARE = 0.6  # part of the descriptors that client connections may use
USED_IDS_MEMORY_SHARE = 1 / 128  # part of the memory limit for the ids of requests that may have run
BANS_FOLDER = "saltport.out"
LAG_WINDOW_NS = 500_000_000  # the longest loop delay in this window extends the time allowed to peers

log = logging.getLogger("saltport")


class Service:
    """One router process: it builds all components, runs them, and carries out operators' calls."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        environ: dict[str, str],
        with_files: Sequence[Path],
    ) -> None:
        self._loop, self._config, self._environ, self._with_files = loop, config, environ, with_files
        self._terminated = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None
        self._reload_retry: asyncio.TimerHandle | None = None
        self._start_times = StartTimes()
        self._reused_addresses = ReusedAddresses()
        self._has_received_list = False
        """Whether discovery has sent a list to this process."""
        reserved = OWN_DESCRIPTORS + (ADMIN_DESCRIPTORS if config.admin else 0)
        descriptors = max(config.sockets - reserved, 8)
        client_descriptors = int(descriptors * CLIENT_DESCRIPTOR_SHARE)
        dial_timeout_s, idle_close_s = config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S
        self._pool = Pool(loop, descriptors - client_descriptors, dial_timeout_s, idle_close_s)
        used_ids = UsedIds(int(config.memory * USED_IDS_MEMORY_SHARE))
        self._host = RouterHost(loop, config.settings, config.seed, self._pool, config.max_open, used_ids)
        self._pool.on_event = self._host.begin_loop_iteration
        self._memcached = _memcached(config.memcached) if config.memcached.on else None
        idle_bytes = resident_memory_bytes() or 0
        self._clients = ClientServer(
            loop,
            self._host,
            self._default_dialect(),
            client_descriptors,
            total_budget_bytes(config.memory, idle_bytes),
        )
        self._pool.memory = self._clients.budget
        self._clients.dialects[RespDialect.name] = RespDialect
        if config.access_log.folder:
            self._clients.access_log = _access_log(loop, config)
        if self._memcached is not None:
            self._clients.dialects["memcached"] = self._memcached
        self._discovery = Discovery(
            config.discovery,
            config.settings.must_subscribe,
            self._start_times,
            self._apply_listing,
            self._host.discovery_failed,
            config.settings.ask_within / NS_PER_S,
            random.Random(config.seed),
        )
        self._host.subscribe = self._discovery.subscribe
        # State outlives the process only if the platform provides a folder for it.
        folder = environ.get("TMPDIR")
        store = BanStore(Path(folder) / BANS_FOLDER) if folder and config.admin else None
        self._bans = Bans(
            store, lambda: self._host.excluded_servers, self._host.exclude_server, self._host.readmit_server
        )
        self._peers = _peer_link(loop, config, self._host) if config.peers is not None else None
        self._owners = (
            _owners_link(loop, config.owners, self._peers, self._host, config.seed)
            if config.owners is not None and self._peers is not None
            else None
        )
        self._failover = _failover_link(loop, config, self._peers, self._owners, self._host)
        self._takeover = (
            Takeover(
                loop,
                Path(folder),
                self._clients.adopt,
                self._on_links_changed,
                self._learned_state,
                self._host.used_ids,
            )
            if folder and config.listen_fd is not None
            else None
        )
        if self._takeover is not None:
            self._host.id_sharing = takeover = self._takeover
            self._clients.max_values_in_progress = lambda: takeover.max_values_in_progress
        self._memory_monitor = MemoryMonitor(
            loop,
            config.memory,
            self._clients,
            _folder_in_memory(folder),
            self._other_process_id,
            successor_bytes(config.memory, idle_bytes) if self._takeover is not None else 0,
        )

    def _other_process_id(self) -> int | None:
        """Return the id of the other process of this router; None if there is none."""
        return self._takeover.other_process_id if self._takeover is not None else None

    def _default_dialect(self) -> Callable[[], ClientDialect]:
        """Return a function that creates the dialect of a connection to the clients' main listener."""
        if self._memcached is None or not self._config.memcached.shared:
            return RespDialect
        from saltport.downstream.memcached import DetectingDialect

        return partial(DetectingDialect, self._memcached, RespDialect)

    async def run(self) -> None:
        """Run until SIGTERM, then until all received requests are answered. Raises OSError."""
        loop, config = self._loop, self._config
        # Danger: a callback that keeps failing would take the CPU from others if each failure were printed.
        loop.set_exception_handler(
            lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
        )
        loop.add_signal_handler(signal.SIGTERM, self._terminated.set)
        # Danger: without a handler, SIGHUP ends the process and loses all requests it has received.
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
        self._memory_monitor.start()
        self._bans.sync()
        known = self._read_cached_list()
        # Danger: sent even without a list, as the first watch follows from this event if discovery needs a
        # subscription.
        self._host.servers_changed(
            self._reused_addresses.without_replaced(known)
            if known is not None
            else Listing(0, ServersChanged(ListKind.CACHED), {})
        )
        admin = None
        if config.admin is not None:
            from saltport.admin.listener import AdminListener  # imported only if enabled

            admin = AdminListener(self)
            await retry_on_shortage(partial(admin.listen, config.admin), START_TIMEOUT_S)
        if config.listen_fd is None:
            await retry_on_shortage(partial(self._clients.listen, config.listen), START_TIMEOUT_S)
        if self._memcached is not None and config.memcached.listen:
            address = parse_address("memcached.listen", config.memcached.listen)
            await retry_on_shortage(partial(self._clients.listen, address, self._memcached), START_TIMEOUT_S)
        log.info("listening after %.2f s of CPU time", time.process_time())
        if not config.settings.must_subscribe:
            self._discovery.start()
        if known is not None:
            loop.call_later(FIRST_LIST_TIMEOUT_S, self._use_cached_list)
        opening = loop.create_task(self._peers.open()) if self._peers is not None else None
        if config.listen_fd is not None:
            await self._accept_beside_predecessor(config.listen_fd)
        await self._terminated.wait()
        if self._peers is not None and opening is not None:
            # Danger: the next process of this router waits for the peer address, and other routers do not
            # know that process until it has the address.
            opening.cancel()
            if self._failover is not None:
                self._failover.close()
            if self._owners is not None:
                await self._owners.close()  # releases its leases before the peer link closes
            await self._peers.close(self._takeover is not None and self._takeover.has_successor)
        await self._shut_down()
        if admin is not None:
            admin.close()
        if self._takeover is not None:
            self._takeover.close()
        self._clients.close()
        if self._clients.access_log is not None:
            self._clients.access_log.close()
        self._memory_monitor.close()
        self._discovery.close()
        self._pool.close()
        await asyncio.sleep(0)

    async def _accept_beside_predecessor(self, descriptor: int) -> None:
        """Accept clients on the platform's socket beside the predecessor, once this process is ready."""
        listener = await retry_on_shortage(partial(_duplicate_listener, descriptor), START_TIMEOUT_S)
        if self._takeover is not None:
            await self._takeover.open()
        self._sync_bans()
        while not self._host.ready and not self._terminated.is_set():
            await asyncio.sleep(POLL_S)
        deadline = self._loop.time() + FIRST_LIST_TIMEOUT_S
        while (
            self._takeover is not None
            and self._takeover.awaits_learned_state
            and self._loop.time() < deadline
        ):
            await asyncio.sleep(POLL_S)
        if self._takeover is not None and self._takeover.inherited_state:
            try:
                self._host.restore_state(orjson.loads(self._takeover.inherited_state))
            except ValueError as error:
                log.warning("cannot use the learned state of the previous process: %s", error)
        self._clients.listen_at(listener)

    def _learned_state(self) -> bytes:
        return orjson.dumps(self._host.export_state())

    def _sync_bans(self) -> None:
        self._bans.sync()
        self._loop.call_later(BAN_SYNC_S, self._sync_bans)

    def _on_links_changed(self) -> None:
        """Adapt to the start or end of another process of this router."""
        assert self._takeover is not None
        log.info(
            "another process of this router %s",
            "is running" if self._takeover.has_other_process else "has ended",
        )
        self._pool.set_shared(self._takeover.has_other_process)

    # The list of servers

    def _read_cached_list(self) -> Listing | None:
        """Return the cached server list from the configuration, or None if there is none or it is invalid."""
        entries = self._config.known
        if entries is None:
            return None
        try:
            listing = read_listing(entries, self._start_times, ListKind.CACHED)
        except ValueError as error:
            log.warning("known: invalid cached server list: %s; starting without it", error)
            return None
        self._discovery.set_known_list(entries, listing.generation)
        return listing

    def _apply_listing(self, listing: Listing) -> None:
        """Pass a listing to the router host, which is ready after the first complete list."""
        if not self._has_received_list:
            self._has_received_list = True
            log.info("received the first server list: generation %d", listing.generation)
        self._host.servers_changed(self._reused_addresses.without_replaced(listing))
        self._host.ready = self._host.ready or not listing.has_more

    def _use_cached_list(self) -> None:
        self._host.ready = True

    # Operators' calls

    def healthy(self) -> bool:
        """Whether this process accepts clients."""
        return self._clients.takes_clients and self._clients.accepting

    def stats(self) -> dict[str, Any]:
        """Return the counters of requests, attempts and configuration loads."""
        return self._host.stats()

    def state(self) -> dict[str, Any]:
        """Return the internal state of the router, for reading by people."""
        identity = {"name": self._config.name, "pid": os.getpid(), "version": __version__}
        status = {
            "draining": self._clients.draining,
            "connected": self._clients.connected,
            "shared": self._takeover is not None and self._takeover.has_other_process,
            "taken_over": self._takeover.adopted if self._takeover is not None else 0,
            "servers_may_hold": self._pool.limit,
            "late": self._pool.late_connection_count,
            "held_bytes": self._clients.budget.held,
            "budget_bytes": self._clients.budget.total,
            "private_bytes": private_memory_bytes(),
            "resident_bytes": self._memory_monitor.reading.used_bytes,
            "memory_limit_bytes": self._memory_monitor.reading.limit_bytes,
            "memory_pressure": self._memory_monitor.reading.pressure.name.lower(),
        }
        registries = {
            "generation": self._discovery.generation,
            "peers": self.peers(),
            "owners": self.owners(),
        }
        return {**identity, **status, **registries, **self._host.view()}

    def peers(self) -> dict[str, Any]:
        """Return the membership of the fleet as this router sees it."""
        return {"on": True, **self._peers.view()} if self._peers is not None else {"on": False}

    def owners(self) -> dict[str, Any]:
        """Return the work that this router owns; a voter also returns its record of all owners."""
        return {"on": True, **self._owners.view()} if self._owners is not None else {"on": False}

    def zones(self) -> dict[str, Any]:
        """Return how reads are distributed over zones, the plan in force, and the plan owner's view."""
        return {"on": True, **self._failover.view()} if self._failover is not None else {"on": False}

    def order_zones(self, action: str, zone: str, transition_ms: int, force: bool) -> int | None:
        """Send the plan owner an order and return its number, or None if there is no such zone.

        Raises CallError.
        """
        if self._failover is None:
            raise CallError("failover is off")
        return self._failover.order(action, zone, transition_ms, force)

    def step_down(self, to: str) -> None:
        """Transfer leadership to the voter `to`, or to any voter if it is empty. Raises CallError."""
        reason = self._owners.step_down(to) if self._owners is not None else "owners are off"
        if reason:
            raise CallError(reason)
        log.info("owners: leadership transferred by an operator")

    def settle_peers(self) -> bool:
        """Compute majorities from the present members from now on; return False if membership is off."""
        if self._peers is not None:
            log.info("peers: majorities reset to the present members by an operator")
            self._peers.settle()
        return self._peers is not None

    def ban_server(self, server: str) -> bool:
        """Send no more requests to a cache server; return False if it is unknown. Raises CallError."""
        return self._change_ban(server, self._bans.ban)

    def unban_server(self, server: str) -> bool:
        """Lift the ban of a cache server; return False if it is unknown. Raises CallError."""
        return self._change_ban(server, self._bans.unban)

    def _change_ban(self, server: str, change: Callable[[str], None]) -> bool:
        """Ban or unban a server by `change`; return False if the server is unknown. Raises CallError."""
        if not self._host.knows(server):
            return False
        try:
            change(server)
        except OSError as error:
            raise CallError(f"cannot store the change: {error.strerror or error}") from None
        log.info(
            "%s: taken %s by an operator", server, "out" if server in self._host.excluded_servers else "back"
        )
        return True

    def drain(self) -> None:
        """Start to drain this process: it reports itself unhealthy and closes connections once answered."""
        if self._drain_task is None and not self._terminated.is_set():
            log.info("drain started by an operator")
            self._clients.draining = True
            self._drain_task = self._loop.create_task(
                self._drain_connections(OPERATOR_DRAIN, close_health_checks=False)
            )

    def resume(self) -> None:
        """End a drain and return to normal service. Raises CallError."""
        if self._terminated.is_set():
            raise CallError("the process is ending")
        if self._drain_task is not None:
            log.info("drain ended by an operator")
            self._drain_task.cancel()
            self._drain_task = None
        self._clients.draining = self._clients.closing_when_answered = False

    async def _drain_connections(self, plan: DrainPlan, close_health_checks: bool) -> None:
        """Close client connections step by step as planned.

        `close_health_checks`: also close connections that have sent only health checks.
        """
        started_at = self._loop.time()
        while not (step := plan.step(self._loop.time() - started_at)).expired:
            self._clients.closing_when_answered = step.close_when_answered
            if step.close_idle:
                self._clients.finish(step.close_mid_command, close_health_checks)
            if step.close_when_answered and close_health_checks:
                self._clients.stop_accepting()
                if self._clients.empty and not self._handing_over:
                    return
            await asyncio.sleep(POLL_S)

    async def _shut_down(self) -> None:
        """Hand connections over to the successor and answer all other received requests before the exit."""
        if self._drain_task is not None:
            self._drain_task.cancel()
        longest_deadline_s = max(cls.deadline for cls in self._config.settings.classes) / NS_PER_S
        has_platform_socket = self._config.listen_fd is not None
        plan = shutdown_plan(longest_deadline_s, has_platform_socket)
        if self._takeover is not None:
            self._takeover.accept_rest()
        if self._takeover is not None and self._takeover.has_successor:
            self._clients.successor = self._takeover
            self._clients.exits_at = self._loop.time() + plan.expired
        self._host.set_final_deadline(int(plan.expired * NS_PER_S))
        await self._drain_connections(plan, close_health_checks=True)
        self._host.finish_all_requests()
        await self._finish_connections(lambda: self._owes_answers, VALUES_TIMEOUT_S)
        await self._finish_connections(lambda: self._clients.connected > 0, LAST_REPLIES_S)

    async def _finish_connections(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Hand over or close connections, again and again while the condition is true.

        Danger: only so many are handed over at a time, and some only once a descriptor is free.
        """
        expires_at = self._loop.time() + timeout_s
        self._clients.finish(even_mid_command=True)
        while condition() and self._loop.time() < expires_at:
            await asyncio.sleep(POLL_S)
            self._clients.finish(even_mid_command=True)

    @property
    def _owes_answers(self) -> bool:
        """Whether an exit would cut off an answer: until the platform kills this process, they go on."""
        return self._host.figures.current > 0 or self._handing_over or self._clients.has_unsent

    @property
    def _handing_over(self) -> bool:
        """Whether connections are being handed over to the successor."""
        return self._takeover is not None and self._takeover.sender.busy

    # A new configuration

    def _reload(self) -> None:
        """Read the configuration again and apply the changes that need no restart."""
        figures = self._host.figures
        if self._reload_retry is not None:
            self._reload_retry.cancel()
        try:
            plan = plan_reload(self._config, reload_config(self._environ, self._with_files))
        except ConfigUnavailableError as error:
            # Danger: the signal is sent only once; without a retry the new configuration would never apply.
            log.warning("cannot read the new configuration, retrying: %s", error)
            self._reload_retry = self._loop.call_later(RELOAD_RETRY_S, self._reload)
            return
        except (ConfigError, ValueError) as error:
            figures.conf_invalid += 1
            log.error("invalid new configuration, keeping the current one: %s", error)
            return
        figures.conf_loaded += 1
        self._config = plan.config
        if plan.restart_required:
            log.warning("changes that take effect only after a restart: %s", ", ".join(plan.restart_required))
        if plan.settings_changed:
            self._host.apply_settings(plan.config.settings)
            self._discovery.set_ask_within(plan.config.settings.ask_within / NS_PER_S)
        if plan.peer_keys_changed and self._peers is not None and plan.config.peers is not None:
            self._peers.use_keys(plan.config.peers.keys)
        if plan.discovery_changed:
            self._discovery.change_address(plan.config.discovery)


def _owners_link(
    loop: asyncio.AbstractEventLoop, plan: OwnersPlan, peers: PeerLink, host: RouterHost, seed: int
) -> OwnersLink:
    """Return the component that elects one owner for each task of the fleet, which then runs that task.

    It exchanges messages with the other routers over `peers`.
    """
    from saltport.owners.link import OwnersLink  # imported only if enabled

    return OwnersLink(loop, plan, peers, host, seed)


def _failover_link(
    loop: asyncio.AbstractEventLoop,
    config: Config,
    peers: PeerLink | None,
    owners: OwnersLink | None,
    host: RouterHost,
) -> FailoverLink | None:
    """Return the component that distributes traffic over zones by a shared plan; None if it is off."""
    topology = config.settings.topology
    if not config.failover or topology is None or peers is None or owners is None:
        return None
    from saltport.failover.link import FailoverLink  # imported only if enabled

    return FailoverLink(loop, topology, config.settings.cold_time, peers, owners, host, config.seed)


def _peer_link(loop: asyncio.AbstractEventLoop, config: Config, host: RouterHost) -> PeerLink:
    """Return the component that exchanges messages with the other routers of the fleet."""
    from saltport.peers.event_log import EventLog  # imported only if enabled
    from saltport.peers.link import PeerLink

    def lag() -> int:
        return host.lag.longest_iteration_since(time.monotonic_ns() - LAG_WINDOW_NS)

    event_log = EventLog()

    def on_event(event: MembershipEvent) -> None:
        for is_grave, line in event_log.add(event):
            log.log(logging.WARNING if is_grave else logging.INFO, "peers: %s", line)

    assert config.peers is not None
    return PeerLink(loop, config.name, config.peers, config.seed, lag, on_event)


def _duplicate_listener(descriptor: int) -> socket.socket:
    """Return a duplicate of the platform's listening socket; raises OSError that names the setting."""
    try:
        copy = socket.socket(fileno=os.dup(descriptor))
    except OSError as error:
        named_error = OSError(f"LB_SOCKET_FD: {descriptor}: {error.strerror or error}")
        named_error.errno = error.errno
        raise named_error from None
    if copy.family != socket.AF_INET or not copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        copy.close()
        raise OSError(f"LB_SOCKET_FD: {descriptor} is not a listening TCP/IPv4 socket")
    copy.setblocking(False)
    return copy


def _folder_in_memory(folder: str | None) -> Path | None:
    """Return the folder for temporary files if its files count as this router's memory (DEPLOY), else None.

    In a folder that is shared with other users, most files are not the router's.
    """
    if not folder:
        return None
    path = Path(folder).resolve()
    return path if is_private(path) else None


def _access_log(loop: asyncio.AbstractEventLoop, config: Config) -> AccessLog:
    """Return the log of client requests, in a file of this process in the configured folder."""
    from saltport.downstream.access_log import AccessLog  # imported only if enabled

    path = Path(config.access_log.folder) / f"access-{config.name}-{os.getpid()}.jsonl"
    return AccessLog(loop, path, config.access_log.max_mb << 20)


def _memcached(features: MemcachedFeatures) -> Callable[[], ClientDialect]:
    """Return a function that creates the memcached dialect of a client connection."""
    from saltport.downstream.memcached import MemcachedDialect, MemcachedRules  # imported only if enabled

    rules = MemcachedRules(
        features.read_class,
        features.write_class,
        features.delete_class,
        features.tenants(),
        features.deadline_ms,
    )
    return partial(MemcachedDialect, rules)
