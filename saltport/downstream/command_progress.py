"""Progress of the command that a client has sent in part."""

from __future__ import annotations

# A well-behaved client may take 2 s to send the head of a command, and a misbehaving one must get an error or
# a close within 3 s.
COMMAND_PROGRESS_TIMEOUT_S = 2.4  # to complete a command or to receive COMMAND_PROGRESS_BYTES more of it
COMMAND_PROGRESS_BYTES = 16 << 10  # that restart the time-out of a partially received command


class CommandProgress:
    """When a partial command can have begun, and when it last made progress."""

    __slots__ = ("_bytes", "began_ns", "made_at")

    def __init__(self) -> None:
        self.began_ns = 0
        """Time before which the command did not begin."""
        self.made_at = 0.0
        """Loop time at which the command began, or the latest COMMAND_PROGRESS_BYTES of it were complete."""
        self._bytes = 0  # received since `made_at`

    def received(self, size: int, now: float) -> None:
        """Count further bytes of the command.

        Danger: a timeout over the entire command would disconnect good clients that send long values slowly,
        and one that each byte restarts would let bad clients hold a connection indefinitely.
        """
        self._bytes += size
        if self._bytes >= COMMAND_PROGRESS_BYTES:
            self.restart(now)

    def begin(self, began_ns: int, now: float) -> None:
        """Time a command that began now, not before `began_ns`."""
        self.began_ns = began_ns
        self.restart(now)

    def restart(self, now: float) -> None:
        """Let the time-out begin anew."""
        self.made_at, self._bytes = now, 0

    def move_back(self, seconds: float) -> None:
        """Count time for which another process has waited for progress of this command.

        Danger: if each process restarted its timeout, a partial command could hold its connection
        indefinitely.
        """
        self.made_at -= seconds
