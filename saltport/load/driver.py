"""The clients on sockets: they speak RESP to routers, keep connections, give tries up and retry."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, cast

import hiredis

from saltport.address import Address
from saltport.load.plan import Arrival, LoadPlan, arrivals, pause_ms
from saltport.load.report import Report
from saltport.standins.ledger import Ledger
from saltport.standins.profile import ClassProfile, Profile
from saltport.wire.resp import command

MS = 1_000_000
LINGER_MS = 1_000
"""How long a client that has given up listens on, so that the audit sees late answers."""
DEAD_S = 1.0
CONNECT_S = 1.0
LAG_STEP_S, LAG_NOTED_S = 0.05, 0.02


class _Connection(asyncio.Protocol):
    """One client's connection, with a request at a time."""

    def __init__(self, router: _Router) -> None:
        self.router = router
        self.transport: asyncio.Transport | None = None
        self.current: _Try | None = None
        self.used = False
        self._reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        current = self.current
        if current is None:
            # More than was asked for: the last try here had two answers.
            self.router.driver.ledger.write("extra", router=self.router.name, data=repr(data[:80]))
            self.drop()
            return
        try:
            current.first_byte()
            self._reader.feed(data)
            answer = self._reader.gets()
        except hiredis.ProtocolError:
            self.drop()
            current.ended("unreadable")
            return
        if answer is False:
            return
        self.current, self.used = None, True
        if self._reader.has_data():
            self.router.driver.ledger.write("extra", router=self.router.name, id=current.id)
            self.drop()
        else:
            self.router.idle.append(self)
        current.answered(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.drop()
        current, self.current = self.current, None
        if current is not None:
            current.lost(self.used)

    def drop(self) -> None:
        if self in self.router.idle:
            self.router.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()


class _Router:
    """One router as the front sees it."""

    def __init__(self, driver: LoadDriver, name: str, address: Address) -> None:
        self.driver, self.name, self.address = driver, name, address
        self.idle: list[_Connection] = []
        self.dead_until = 0.0


class _Try:
    """One try of a request, at one router."""

    def __init__(self, work: _Work, router: _Router) -> None:
        self.work, self.router, self.driver = work, router, work.driver
        self.id = f"{self.driver.rng.getrandbits(64):016x}"
        self.sent = self.begun_at = 0
        self.begun = self.resent = self.over = self.given_up = False
        self.connection: _Connection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        while self.router.idle:
            connection = self.router.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._send(connection)
                return
        self._dial()

    def _dial(self) -> None:
        task = self.driver.loop.create_task(self._connect())
        self.driver.tasks.add(task)
        task.add_done_callback(self.driver.tasks.discard)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                _, connection = await self.driver.loop.create_connection(
                    lambda: _Connection(self.router), *self.router.address
                )
        except (OSError, TimeoutError):
            self.router.dead_until = self.driver.loop.time() + DEAD_S
            self.ended("unsent")
            return
        if not self.over:
            self._send(connection)

    def _send(self, connection: _Connection) -> None:
        assert connection.transport is not None
        work, known = self.work, self.work.known
        self.connection, connection.current = connection, self
        info = f"c={known.name},t={work.arrival.tenant},d={work.wait_ms}"
        words = [b"KV.GET", work.arrival.key.encode(), self.id.encode()]
        if known.write:
            words[0] = b"KV.SET"
            info += f",k={work.arrival.token}"
        if work.tried > 1:
            info += ",r=1"
        words.append(info.encode())
        if known.write:
            words.append(b"manifest of " + work.arrival.key.encode())
        self.sent = time.monotonic_ns()
        connection.transport.write(command(*words))
        if self._timer is None:
            self._timer = self.driver.loop.call_later(work.wait_ms / 1000, self._give_up)

    def _give_up(self) -> None:
        """The client's time for this try is up; it listens a little longer for the ledger's sake."""
        self.given_up = True
        self._timer = self.driver.loop.call_later(self.driver.linger_ms / 1000, self._silent)
        self.work.try_ended("none", 0)

    def _silent(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.current = None
            connection.drop()
        self.ended("none")

    def answered(self, answer: Any) -> None:
        if isinstance(answer, hiredis.ReplyError):
            text = str(answer)
            if text.startswith("BUSY"):
                after = text[5:].strip()
                self.ended("refused", int(after) if after.isdecimal() else 0)
            else:
                self.ended("failed", reason=text[:80])
            return
        if isinstance(answer, list) and answer:
            answer = answer[0]
        if isinstance(answer, bytes):
            ours = answer.startswith(f"{self.id} {self.work.arrival.key} ".encode())
            told = answer[:400].split(b" ", 3)
            is_value = not self.work.known.write and len(told) > 2 and told[2][1:].isdigit()
            self.ended("served" if ours else "wrong", version=int(told[2][1:]) if is_value else None)
        else:
            self.ended("failed", reason=repr(answer)[:80])

    def first_byte(self) -> None:
        """Something of the answer has come."""
        if not self.begun:
            self.begun, self.begun_at = True, time.monotonic_ns()

    def lost(self, reused: bool) -> None:
        """The connection ended without a whole answer."""
        if reused and not self.begun and not self.resent:
            # A kept connection that closes as the request crosses: it is sent once more on a new one.
            self.resent = True
            self._dial()
            return
        self.ended("cut" if self.begun else "gone")

    def ended(self, answer: str, retry_after_ms: int = 0, **more: Any) -> None:
        if self.over:
            return
        self.over = True
        if self._timer is not None:
            self._timer.cancel()
        work = self.work
        self.driver.ledger.write(
            "try", id=self.id, cls=work.known.name, tenant=work.arrival.tenant, key=work.arrival.key,
            k=work.arrival.token if work.known.write else None, router=self.router.name, number=work.tried,
            sent=self.sent, wait_ms=work.wait_ms, answer=answer, retry_after_ms=retry_after_ms,
            resent=self.resent, begun=self.begun_at,
            **{name: value for name, value in more.items() if value is not None},
        )  # fmt: skip
        self.driver.tries_out -= 1
        if not self.given_up:
            work.try_ended(answer, retry_after_ms)
        self.driver.settle()


class _Work:
    """One request of a client, over all its tries."""

    def __init__(self, driver: LoadDriver, arrival: Arrival, intended: int, done: Callable[[], None]) -> None:
        self.driver, self.arrival, self.intended, self._done = driver, arrival, intended, done
        self.known: ClassProfile = driver.profile.request_class(arrival.request_class)
        self.wait_ms = max(int(self.known.deadline_ms * driver.plan.try_share), 1)
        self.tried = 0

    def try_once(self) -> None:
        self.tried += 1
        self.driver.report.tries += 1
        self.driver.tries_out += 1
        _Try(self, self.driver.front()).start()

    def try_ended(self, answer: str, retry_after_ms: int) -> None:
        now = time.monotonic_ns()
        if answer != "served":
            pause = pause_ms(self.driver.plan, self.tried, retry_after_ms, self.driver.rng)
            left = self.intended + self.known.deadline_ms * MS - now
            if pause is not None and pause * MS < left and answer != "wrong":
                self.driver.loop.call_later(pause / 1000, self.try_once)
                return
        end = answer if answer in ("served", "refused") else "failed"
        self.driver.report.end(
            self.known.name, self.arrival.tenant, end, self.arrival.at, now - self.intended
        )
        self._done()


class LoadDriver:
    """Plays a plan against routers; `closed` so many clients ask one after another instead of on time."""

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
        self.tries_out = self.open = 0
        self.begun = time.monotonic_ns()
        self._closed = closed
        self._settled = asyncio.Event()
        self._all_sent = False
        self._stopping = False

    def front(self) -> _Router:
        """A router that is not known to be dead; any if all are."""
        now = self.loop.time()
        alive = [router for router in self.routers if router.dead_until <= now]
        return self.rng.choice(alive or self.routers)

    def stop(self) -> None:
        """Send no more; what is out is waited for."""
        self._stopping = True

    async def run(self, progress: Callable[[str], None] | None = None) -> dict[str, Any]:
        """Play the whole plan; returns the report's summary."""
        self.begun = time.monotonic_ns()
        self.ledger.write("load", seed=self.plan.seed, seconds=self.plan.seconds)
        teller = self.loop.create_task(self._tell(progress)) if progress is not None else None
        beat = self.loop.create_task(self._beat())
        try:
            await (self._run_closed() if self._closed else self._run_open())
            self._all_sent = True
            self.settle()
            await self._settled.wait()
        finally:
            beat.cancel()
            if teller is not None:
                teller.cancel()
            for router in self.routers:
                for connection in list(router.idle):
                    connection.drop()
            self.ledger.flush()
        return self.report.summary()

    async def _run_open(self) -> None:
        for arrival in arrivals(self.plan, self.profile):
            wait = self.begun + arrival.at - time.monotonic_ns()
            if wait > MS:
                await asyncio.sleep(wait / 1e9)
            if self._stopping:
                return
            self._begin(arrival, self.begun + arrival.at, self._one_done)

    async def _run_closed(self) -> None:
        planned = arrivals(self.plan, self.profile)
        end = self.begun + int(self.plan.seconds * 1e9)

        async def client() -> None:
            for arrival in planned:
                if self._stopping or time.monotonic_ns() >= end:
                    return
                done = asyncio.Event()

                def finish(done: asyncio.Event = done) -> None:
                    self._one_done()
                    done.set()

                self._begin(arrival, time.monotonic_ns(), finish)
                await done.wait()

        await asyncio.gather(*(client() for _ in range(self._closed)))

    def _begin(self, arrival: Arrival, intended: int, done: Callable[[], None]) -> None:
        self.open += 1
        _Work(self, arrival, intended, done).try_once()

    def _one_done(self) -> None:
        self.open -= 1

    def settle(self) -> None:
        """Whether all that was begun has ended."""
        if self._all_sent and not self.open and not self.tries_out:
            self._settled.set()

    async def _beat(self) -> None:
        while True:
            due = time.monotonic() + LAG_STEP_S
            await asyncio.sleep(LAG_STEP_S)
            lag = time.monotonic() - due
            if lag > LAG_NOTED_S:
                self.ledger.write("lag", ns=int(lag * 1e9))

    async def _tell(self, progress: Callable[[str], None]) -> None:
        while True:
            await asyncio.sleep(1.0)
            seconds = (time.monotonic_ns() - self.begun) / 1e9
            progress(f"{seconds:5.0f} s: {self.report.progress()}")


async def wait_ready(
    address: Address, seconds: float, alive: Callable[[], bool] = lambda: True, every_s: float = 0.02
) -> bool:
    """Wait until a router answers PING with +PONG, looking every so many seconds."""
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
    """Note a ledger's faults on the run's time line; `begun` is on the same clock."""
    for record in faults:
        if record["kind"] == "fault":
            what = f"{record['fault']} {record['target']}"
        elif record["kind"] == "mended":
            what = f"{record['fault']} {record['target']} ends"
        else:
            continue
        report.marks.append(((record["t"] - begun) / 1e9, what))
