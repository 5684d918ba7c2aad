"""The control socket of a fleet: one JSON object per line as a command, one per line as its reply."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

import orjson

from saltport.standins.faults import KINDS, Fault, FaultError, schedule
from saltport.standins.fleet import Fleet
from saltport.standins.peer import Address

MAX_LINE_BYTES = 64 << 10  # limit of the length of a command


class ControlServer:
    """Accepts control connections on loopback and executes their commands on a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.stopped = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Start listening and return the bound address."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE_BYTES)
        address: Address = self._server.sockets[0].getsockname()
        return address

    def close(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Execute the commands of one connection until it ends."""
        try:
            while line := await reader.readline():
                writer.write(orjson.dumps(self.execute(line)) + b"\n")
                await writer.drain()
        except (ValueError, ConnectionError):  # line over the size limit, or connection lost
            pass
        except asyncio.CancelledError:  # shutdown; not re-raised, as nothing awaits this task
            pass
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    def execute(self, line: bytes) -> dict[str, Any]:
        """Execute one JSON command and return its reply: `ok` true with the result, or false with `error`."""
        try:
            message = orjson.loads(line)
            if not isinstance(message, dict):
                raise FaultError("expected a JSON object")
            return {"ok": True, **self._command(message)}
        except (FaultError, orjson.JSONDecodeError, TypeError, ValueError) as error:
            return {"ok": False, "error": str(error)}

    def _command(self, message: dict[str, Any]) -> dict[str, Any]:
        """Execute the command named by `do`, and return the fields of its reply; raises FaultError."""
        match message.get("do"):
            case "strike":
                fault = self._fleet.start_fault(
                    str(message.get("kind")), str(message.get("target") or ""), message.get("figures") or {}
                )
                return {"fault": fault.as_json()}
            case "mend":
                self._fleet.end_fault(str(message.get("target")))
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
                faults = self._schedule(message)
                self._fleet.schedule_faults(faults)
                return {"schedule": [fault.as_json() for fault in faults]}
            case "warm":
                keys = message.get("keys")
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

    def _schedule(self, message: dict[str, Any]) -> list[Fault]:
        """Return the random faults that the fields of a `play` command ask for."""
        nodes = list(self._fleet.state()["nodes"])
        kinds = message.get("kinds") or list(KINDS)
        return schedule(
            int(message.get("seed", 1)),
            float(message.get("seconds", 10)),
            nodes,
            kinds,
            float(message.get("every_s", 1.0)),
        )


class ControlClient:
    """The client side of a control socket."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._call_lock = asyncio.Lock()  # replies come in the order of commands: one call at a time

    @classmethod
    async def connect(cls, address: Address) -> ControlClient:
        """Connect to a fleet's control socket; raises OSError."""
        return cls(*await asyncio.open_connection(*address, limit=8 << 20))

    async def call(self, do: str, **fields: Any) -> dict[str, Any]:
        """Send one command and return its reply; raises FaultError if it failed, or ConnectionError."""
        async with self._call_lock:
            self._writer.write(orjson.dumps({"do": do, **fields}) + b"\n")
            line = await self._reader.readline()
        if not line:
            raise ConnectionError("the fleet has closed its control socket")
        answer: dict[str, Any] = orjson.loads(line)
        if not answer.pop("ok"):
            raise FaultError(answer["error"])
        return answer

    async def clock_offset(self) -> tuple[int, int]:
        """Return the fleet's monotonic clock minus the local one, and the maximum error, in nanoseconds."""
        best = (0, 1 << 62)
        for _ in range(5):
            before = time.monotonic_ns()
            fleet_clock = (await self.call("clock"))["monotonic"]
            after = time.monotonic_ns()
            if after - before < best[1] * 2:
                best = fleet_clock - (before + after) // 2, (after - before) // 2 + 1
        return best

    async def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        with contextlib.suppress(ConnectionError):
            await self._writer.wait_closed()
