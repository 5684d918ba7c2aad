"""The load generator: RESP clients with connection reuse, time-outs and retries."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, cast

import hiredis

from saltport.address import Address
from saltport.load.plan import Arrival, LoadPlan, arrivals, retry_delay_ms
from saltport.load.report import Report
from saltport.standins.ledger import Ledger
from saltport.standins.profile import ClassProfile, Profile
from saltport.wire.resp import command

NS_PER_MS = 1_000_000
LINGER_MS = 1_000
"""How long a connection stays open after a time-out, so that the audit sees late replies."""
ROUTER_DEAD_S = 1.0
"""How long a router gets no requests after a failed connection, unless all are unreachable."""
CONNECT_TIMEOUT_S = 1.0
# The delay of this process's event loop is measured once per interval; a delay above the threshold is written
# to the ledger, so that the audit does not attribute it to a router.
LAG_INTERVAL_S, LAG_THRESHOLD_S = 0.05, 0.02


class _Connection(asyncio.Protocol):
    """A client connection to a router, with one request at a time."""

    def __init__(self, router: _Router) -> None:
        self.router = router
        self.transport: asyncio.Transport | None = None
        self.current: _Try | None = None
        self.used = False
        self._reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and pass a complete reply to the current try.

        Data beyond the reply is recorded in the ledger, and the connection is dropped.
        """
        current = self.current
        if current is None:
            # Data without a request: the previous try got a second reply.
            self.router.driver.ledger.write("extra", router=self.router.name, data=repr(data[:80]))
            self.drop()
            return
        try:
            current.note_first_byte()
            self._reader.feed(data)
            answer = self._reader.gets()
        except hiredis.ProtocolError:
            self.drop()
            current.finish("unreadable")
            return
        if answer is False:
            return
        self.current, self.used = None, True
        if self._reader.has_data():
            self.router.driver.ledger.write("extra", router=self.router.name, id=current.id)
            self.drop()
        else:
            self.router.idle.append(self)
        current.on_answer(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection, and inform the try whose reply it was to carry."""
        self.drop()
        current, self.current = self.current, None
        if current is not None:
            current.on_connection_lost(self.used)

    def drop(self) -> None:
        """Abort the connection, and do not reuse it."""
        if self in self.router.idle:
            self.router.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()


class _Router:
    """A router as the clients see it: its idle connections, and whether it was unreachable lately."""

    def __init__(self, driver: LoadDriver, name: str, address: Address) -> None:
        self.driver, self.name, self.address = driver, name, address
        self.idle: list[_Connection] = []
        self.dead_until = 0.0


class _Try:
    """A single try of a request at one router."""

    def __init__(self, request: _ClientRequest, router: _Router) -> None:
        self.request, self.router, self.driver = request, router, request.driver
        self.id = f"{self.driver.rng.getrandbits(64):016x}"
        self.sent = self.first_byte_at = 0
        self.begun = self.resent = self.ended = self.given_up = False
        self.connection: _Connection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send the request on an idle connection to the router, or open a new one for it."""
        while self.router.idle:
            connection = self.router.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._send(connection)
                return
        self._open_connection()

    def _open_connection(self) -> None:
        """Connect to the router in a background task, which then sends the request."""
        task = self.driver.loop.create_task(self._connect())
        self.driver.tasks.add(task)
        task.add_done_callback(self.driver.tasks.discard)

    async def _connect(self) -> None:
        """Connect to the router and send the request; on failure, avoid the router for a while."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.driver.loop.create_connection(
                    lambda: _Connection(self.router), *self.router.address
                )
        except (OSError, TimeoutError):
            self.router.dead_until = self.driver.loop.time() + ROUTER_DEAD_S
            self.finish("unsent")
            return
        if not self.ended:
            self._send(connection)

    def _send(self, connection: _Connection) -> None:
        """Write the request to a connection as a KV.GET or KV.SET command, and start the time-out."""
        assert connection.transport is not None
        request, request_class = self.request, self.request.request_class
        self.connection, connection.current = connection, self
        info = f"c={request_class.name},t={request.arrival.tenant},d={request.wait_ms}"
        words = [b"KV.GET", request.arrival.key.encode(), self.id.encode()]
        if request_class.write:
            words[0] = b"KV.SET"
            info += f",k={request.arrival.token}"
        if request.tries_made > 1:
            info += ",r=1"
        words.append(info.encode())
        if request_class.write:
            words.append(b"manifest of " + request.arrival.key.encode())
        self.sent = time.monotonic_ns()
        connection.transport.write(command(*words))
        if self._timer is None:
            self._timer = self.driver.loop.call_later(request.wait_ms / 1000, self._give_up)

    def _give_up(self) -> None:
        """Time out the try, but listen on for `linger_ms` so that a late reply is recorded."""
        self.given_up = True
        self._timer = self.driver.loop.call_later(self.driver.linger_ms / 1000, self._stop_listening)
        self.request.try_ended("none", 0)

    def _stop_listening(self) -> None:
        """End a timed-out try that has got no late reply, and drop its connection."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.current = None
            connection.drop()
        self.finish("none")

    def on_answer(self, answer: Any) -> None:
        """Finish the try with the result of a complete reply, parsed by hiredis.

        The result is `served` for the right value, `wrong` for one of another request or key, `refused` for a
        BUSY error, and `failed` for any other reply.
        """
        if isinstance(answer, hiredis.ReplyError):
            text = str(answer)
            if text.startswith("BUSY"):
                after = text[5:].strip()
                self.finish("refused", int(after) if after.isdecimal() else 0)
            else:
                self.finish("failed", reason=text[:80])
            return
        if isinstance(answer, list) and answer:
            answer = answer[0]
        if isinstance(answer, bytes):
            is_own_value = answer.startswith(f"{self.id} {self.request.arrival.key} ".encode())
            parts = answer[:400].split(b" ", 3)
            is_value = not self.request.request_class.write and len(parts) > 2 and parts[2][1:].isdigit()
            self.finish(
                "served" if is_own_value else "wrong", version=int(parts[2][1:]) if is_value else None
            )
        else:
            self.finish("failed", reason=repr(answer)[:80])

    def note_first_byte(self) -> None:
        """Record when the first byte of the reply arrived."""
        if not self.begun:
            self.begun, self.first_byte_at = True, time.monotonic_ns()

    def on_connection_lost(self, reused: bool) -> None:
        """Handle a connection that closed before the complete reply."""
        if reused and not self.begun and not self.resent:
            # A reused connection that the router closed while the request was sent: resend once on a new one.
            self.resent = True
            self._open_connection()
            return
        self.finish("cut" if self.begun else "gone")

    def finish(self, answer: str, retry_after_ms: int = 0, **more: Any) -> None:
        """End the try with a result, once: write it to the ledger and report it to the request.

        A try that has timed out was reported already.
        """
        if self.ended:
            return
        self.ended = True
        if self._timer is not None:
            self._timer.cancel()
        request = self.request
        self.driver.ledger.write(
            "try", id=self.id, cls=request.request_class.name, tenant=request.arrival.tenant,
            key=request.arrival.key, k=request.arrival.token if request.request_class.write else None,
            router=self.router.name, number=request.tries_made, sent=self.sent, wait_ms=request.wait_ms,
            answer=answer, retry_after_ms=retry_after_ms, resent=self.resent, begun=self.first_byte_at,
            **{name: value for name, value in more.items() if value is not None},
        )  # fmt: skip
        self.driver.tries_in_flight -= 1
        if not self.given_up:
            request.try_ended(answer, retry_after_ms)
        self.driver.check_finished()


class _ClientRequest:
    """A client request with all its tries."""

    def __init__(self, driver: LoadDriver, arrival: Arrival, intended: int, done: Callable[[], None]) -> None:
        self.driver, self.arrival, self.intended, self._done = driver, arrival, intended, done
        self.request_class: ClassProfile = driver.profile.request_class(arrival.request_class)
        self.wait_ms = max(int(self.request_class.deadline_ms * driver.plan.try_share), 1)
        self.tries_made = 0

    def start_try(self) -> None:
        """Start the next try of this request at a random router."""
        self.tries_made += 1
        self.driver.report.tries += 1
        self.driver.tries_in_flight += 1
        _Try(self, self.driver.pick_router()).start()

    def try_ended(self, answer: str, retry_after_ms: int) -> None:
        """Retry after a delay if the try failed and a retry is allowed; else record the outcome.

        There is no retry beyond the limit of the plan or the deadline, or after a wrong value.
        """
        now = time.monotonic_ns()
        if answer != "served":
            delay_ms = retry_delay_ms(self.driver.plan, self.tries_made, retry_after_ms, self.driver.rng)
            remaining_ns = self.intended + self.request_class.deadline_ms * NS_PER_MS - now
            if delay_ms is not None and delay_ms * NS_PER_MS < remaining_ns and answer != "wrong":
                self.driver.loop.call_later(delay_ms / 1000, self.start_try)
                return
        outcome = answer if answer in ("served", "refused") else "failed"
        self.driver.report.record_outcome(
            self.request_class.name, self.arrival.tenant, outcome, self.arrival.at, now - self.intended
        )
        self._done()


class LoadDriver:
    """Runs a load plan against routers: open-loop, or with `closed` clients that await each reply."""

    def __init__(
        self, plan: LoadPlan, profile: Profile, routers: dict[str, Address], ledger: Ledger, closed: int = 0,
        linger_ms: int = LINGER_MS,
    ) -> None:  # fmt: skip
        self.plan, self.profile, self.ledger = plan, profile, ledger
        self.linger_ms = linger_ms
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(plan.seed ^ 0x5EED)
        self.report = Report(profile)
        self.routers = [_Router(self, name, address) for name, address in routers.items()]
        self.tasks: set[asyncio.Task[None]] = set()
        self.tries_in_flight = self.open_requests = 0
        self.begun = time.monotonic_ns()
        self._closed = closed
        self._finished = asyncio.Event()
        self._all_sent = False
        self._stopping = False

    def pick_router(self) -> _Router:
        """Return a random router that was not unreachable lately; any router if all were."""
        now = self.loop.time()
        alive = [router for router in self.routers if router.dead_until <= now]
        return self.rng.choice(alive or self.routers)

    def stop(self) -> None:
        """Start no further requests; `run` returns when the open ones have ended."""
        self._stopping = True

    async def run(self, progress: Callable[[str], None] | None = None) -> dict[str, Any]:
        """Run the plan until all requests have ended, and return the summary of the report.

        `progress` is called once per second with a line of text about the results so far.
        """
        self.begun = time.monotonic_ns()
        self.ledger.write("load", seed=self.plan.seed, seconds=self.plan.seconds)
        progress_task = (
            self.loop.create_task(self._report_progress(progress)) if progress is not None else None
        )
        lag_task = self.loop.create_task(self._measure_lag())
        try:
            await (self._run_closed() if self._closed else self._run_open())
            self._all_sent = True
            self.check_finished()
            await self._finished.wait()
        finally:
            lag_task.cancel()
            if progress_task is not None:
                progress_task.cancel()
            for router in self.routers:
                for connection in list(router.idle):
                    connection.drop()
            self.ledger.flush()
        return self.report.summary()

    async def _run_open(self) -> None:
        """Start each request at its planned time, without waiting for replies."""
        for arrival in arrivals(self.plan, self.profile):
            wait = self.begun + arrival.at - time.monotonic_ns()
            if wait > NS_PER_MS:
                await asyncio.sleep(wait / 1e9)
            if self._stopping:
                return
            self._start_request(arrival, self.begun + arrival.at, self._request_done)

    async def _run_closed(self) -> None:
        """Run the clients, each of which starts a request when its previous one has ended."""
        planned = arrivals(self.plan, self.profile)
        end = self.begun + int(self.plan.seconds * 1e9)

        async def client() -> None:
            for arrival in planned:
                if self._stopping or time.monotonic_ns() >= end:
                    return
                done = asyncio.Event()

                def finish(done: asyncio.Event = done) -> None:
                    self._request_done()
                    done.set()

                self._start_request(arrival, time.monotonic_ns(), finish)
                await done.wait()

        await asyncio.gather(*(client() for _ in range(self._closed)))

    def _start_request(self, arrival: Arrival, intended: int, done: Callable[[], None]) -> None:
        """Start the first try of a request; `done` is called when the request has ended."""
        self.open_requests += 1
        _ClientRequest(self, arrival, intended, done).start_try()

    def _request_done(self) -> None:
        """Count a request as ended."""
        self.open_requests -= 1

    def check_finished(self) -> None:
        """Let `run` return if all requests have been sent and have ended."""
        if self._all_sent and not self.open_requests and not self.tries_in_flight:
            self._finished.set()

    async def _measure_lag(self) -> None:
        """Write delays of this process's event loop above the threshold to the ledger."""
        while True:
            due = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            lag = time.monotonic() - due
            if lag > LAG_THRESHOLD_S:
                self.ledger.write("lag", ns=int(lag * 1e9))

    async def _report_progress(self, progress: Callable[[str], None]) -> None:
        """Call `progress` with a line of text once per second."""
        while True:
            await asyncio.sleep(1.0)
            seconds = (time.monotonic_ns() - self.begun) / 1e9
            progress(f"{seconds:5.0f} s: {self.report.progress()}")


async def wait_ready(
    address: Address, seconds: float, alive: Callable[[], bool] = lambda: True, every_s: float = 0.02
) -> bool:
    """Poll a router until it answers PING; return whether it did so in time and while `alive()` was true."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end and alive():
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(command(b"PING"))
                line = await reader.readline()
                writer.close()
            if line == b"+PONG\r\n":
                return True
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(every_s)
    return False


def mark_faults(report: Report, begun: int, faults: Sequence[dict[str, Any]]) -> None:
    """Add a ledger's faults to the report's marks; `begun` is the run's start on the same clock."""
    for record in faults:
        if record["kind"] == "fault":
            what = f"{record['fault']} {record['target']}"
        elif record["kind"] == "mended":
            what = f"{record['fault']} {record['target']} ends"
        else:
            continue
        report.marks.append(((record["t"] - begun) / 1e9, what))
