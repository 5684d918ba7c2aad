"""The control socket of a fleet: a JSON object a line, one answer a line; errors are plain words."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

import orjson

from saltport.standins.faults import KINDS, Fault, FaultError, schedule
from saltport.standins.fleet import Fleet
from saltport.standins.peer import Address

MAX_LINE = 64 << 10


class ControlServer:
    """Listens on loopback for commands to a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.stopped = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE)
        address: Address = self._server.sockets[0].getsockname()
        return address

    def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                writer.write(orjson.dumps(self.carry_out(line)) + b"\n")
                await writer.drain()
        except (ValueError, ConnectionError):  # a line over the limit, or a caller that left
            pass
        except asyncio.CancelledError:  # the fleet ends; swallowed, as this is the connection's own task
            pass
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    def carry_out(self, line: bytes) -> dict[str, Any]:
        """Carry out one command; returns what it says, or `error`."""
        try:
            told = orjson.loads(line)
            if not isinstance(told, dict):
                raise FaultError("expected a JSON object")
            return {"ok": True, **self._command(told)}
        except (FaultError, orjson.JSONDecodeError, TypeError, ValueError) as error:
            return {"ok": False, "error": str(error)}

    def _command(self, told: dict[str, Any]) -> dict[str, Any]:
        match told.get("do"):
            case "strike":
                fault = self._fleet.strike(
                    str(told.get("kind")), str(told.get("target") or ""), told.get("figures") or {}
                )
                return {"fault": fault.as_json()}
            case "mend":
                self._fleet.mend(str(told.get("target")))
                return {}
            case "state":
                return self._fleet.state()
            case "faults":
                return {
                    "faults": {
                        name: {"target": kind.target, "about": kind.about} for name, kind in KINDS.items()
                    }
                }
            case "clock":
                return {"monotonic": time.monotonic_ns(), "unix": time.time_ns()}
            case "play":
                faults = self._schedule(told)
                self._fleet.play(faults)
                return {"schedule": [fault.as_json() for fault in faults]}
            case "warm":
                keys = told.get("keys")
                if not isinstance(keys, list):
                    raise FaultError("warm: keys must be a list")
                self._fleet.warm(map(str, keys))
                return {}
            case "flush_ledger":
                self._fleet.ledger.flush()
                return {}
            case "stop":
                self.stopped.set()
                return {}
            case other:
                raise FaultError(
                    f"unknown command {other!r}; there are strike, mend, state, faults, clock, play, warm, "
                    "flush_ledger, stop"
                )

    def _schedule(self, told: dict[str, Any]) -> list[Fault]:
        nodes = list(self._fleet.state()["nodes"])
        kinds = told.get("kinds") or list(KINDS)
        return schedule(
            int(told.get("seed", 1)),
            float(told.get("seconds", 10)),
            nodes,
            kinds,
            float(told.get("every_s", 1.0)),
        )


class ControlClient:
    """The other side of a control socket."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._turn = asyncio.Lock()  # answers come in the order of commands, and each caller wants its own

    @classmethod
    async def connect(cls, address: Address) -> ControlClient:
        """Connect; raises OSError."""
        return cls(*await asyncio.open_connection(*address, limit=8 << 20))

    async def call(self, do: str, **fields: Any) -> dict[str, Any]:
        """Give one command; raises FaultError with the fleet's words, ConnectionError if it is gone."""
        async with self._turn:
            self._writer.write(orjson.dumps({"do": do, **fields}) + b"\n")
            line = await self._reader.readline()
        if not line:
            raise ConnectionError("the fleet has closed its control socket")
        answer: dict[str, Any] = orjson.loads(line)
        if not answer.pop("ok"):
            raise FaultError(answer["error"])
        return answer

    async def clock_offset(self) -> tuple[int, int]:
        """The fleet's monotonic clock less one's own, and how far off that may be; nanoseconds."""
        best = (0, 1 << 62)
        for _ in range(5):
            before = time.monotonic_ns()
            there = (await self.call("clock"))["monotonic"]
            after = time.monotonic_ns()
            if after - before < best[1] * 2:
                best = there - (before + after) // 2, (after - before) // 2 + 1
        return best

    async def close(self) -> None:
        """Hang up."""
        self._writer.close()
        with contextlib.suppress(ConnectionError):
            await self._writer.wait_closed()
