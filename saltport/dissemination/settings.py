"""Rates, times and bounds of dissemination; times are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
MAX_DATAGRAM_BYTES = 256  # bytes: the longest datagram between routers
ENVELOPE_BYTES = 28  # version, key mark, MAC, sender, start and counter around a message
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES
UDP_IP_HEADER_BYTES = 28  # bytes on the wire around a datagram


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """The same at every router and voter of a fleet."""

    batch_interval: int = 250 * NS_PER_MS
    """Between two batches of the coordinator; an interval without a record sends a heartbeat."""
    region_relays: int = 4
    """Of each entry, in each region."""
    site_relays: int = 2
    """Of each entry, in each site."""
    forward_repaired_entries: int = 8
    """A relay that had to fetch one of so many latest entries passes it on like a pushed one."""
    silence_timeout: int = 350 * NS_PER_MS
    """Without a later push, after which a router polls others; more and more slowly."""
    poll_retry: int = 40 * NS_PER_MS
    max_poll_retry: int = 1_000 * NS_PER_MS
    gap_grace: int = 10 * NS_PER_MS
    """From a gap's discovery to the first fetch: the missing entry may be on its way."""
    site_retry: int = 15 * NS_PER_MS
    """Between the first two fetches within a site; later ones come more and more slowly."""
    region_retry: int = 50 * NS_PER_MS
    voter_retry: int = 200 * NS_PER_MS
    max_retry: int = 250 * NS_PER_MS
    tries_per_level: int = 5
    """Fetches without progress after which the next level is asked."""
    fetch_entries: int = 16
    """Asked for in one fetch."""
    submit_retry: int = 150 * NS_PER_MS
    submit_copies: int = 2
    submit_timeout: int = 10 * NS_PER_S
    """After which the outcome of a submission is unknown."""
    max_submissions: int = 256
    """Undecided ones of one router."""
    lease: int = NS_PER_S
    """Since a majority last confirmed a coordinator, for which it sends heartbeats and accepts submissions.

    Shorter than the time after which the voters choose another one.
    """
    submissions_per_s: int = 100
    """The coordinator accepts, with two seconds' worth at once."""
    acknowledge_interval: int = 2_000 * NS_PER_MS
    """Between two rounds of acknowledgement."""
    site_collect_delay: int = 500 * NS_PER_MS
    """From the round's begin until a site's collector passes its sum on."""
    region_collect_delay: int = 1_000 * NS_PER_MS
    retained_entries: int = 4_096
    """Of each topic's log; who needs older ones takes a snapshot."""
    pending_entries: int = 256
    """Of each topic, held beyond a gap."""
    max_topics: int = 16
    fresh_for: int = 2_500 * NS_PER_MS
    """From the last time at which a router was provably caught up until it must not serve the topic."""
    clock_poll_interval: int = 60 * NS_PER_S
    """Between two polls of a coordinator's clock; the first one is spread over `clock_spread`."""
    clock_spread: int = 300 * NS_PER_MS
    clock_retry: int = 300 * NS_PER_MS
    bytes_per_s: int = 16_000
    """A router's own sending, at the most."""
    burst_bytes: int = 48_000
    messages_per_s: int = 400
    """A router takes in, at the most."""
    burst_messages: int = 1_600
