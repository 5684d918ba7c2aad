"""Rates, intervals and limits of dissemination; times are in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
MAX_DATAGRAM_BYTES = 256  # the longest datagram between routers
ENVELOPE_BYTES = 28  # version, key mark, MAC, sender, process start and counter around a message
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES
UDP_IP_HEADER_BYTES = 28  # around a datagram on the wire


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Settings of routers and voters; they must be equal on all nodes of a fleet."""

    batch_interval: int = 250 * NS_PER_MS
    """Interval of the coordinator's batches; a heartbeat is sent if there is no record."""
    region_relays: int = 4
    """Number of relays of each entry in each region."""
    site_relays: int = 2
    """Number of relays of each entry in each site."""
    forward_repaired_entries: int = 8
    """Number of latest entries that a relay forwards like pushed ones when it had to fetch them."""
    silence_timeout: int = 350 * NS_PER_MS
    """Time without a newer push after which a router polls others, at growing intervals."""
    poll_retry: int = 40 * NS_PER_MS
    """Interval between the first two polls; later intervals grow."""
    max_poll_retry: int = 1_000 * NS_PER_MS
    """Upper limit of the interval between polls."""
    gap_grace: int = 10 * NS_PER_MS
    """Delay of the first fetch after a gap is found: the missing entry may be in flight."""
    site_retry: int = 15 * NS_PER_MS
    """Interval between the first two fetches within a site; later intervals grow."""
    region_retry: int = 50 * NS_PER_MS
    """As `site_retry`, for fetches from the region's relays and for parts of snapshots."""
    voter_retry: int = 200 * NS_PER_MS
    """As `site_retry`, for fetches from voters."""
    max_retry: int = 250 * NS_PER_MS
    """Upper limit of the interval between fetches."""
    tries_per_level: int = 5
    """Fetches without progress before the next level is asked."""
    fetch_entries: int = 16
    """Maximum of entries, or of snapshot parts, in one fetch."""
    submit_retry: int = 150 * NS_PER_MS
    """Interval after which undecided submissions are sent again."""
    submit_copies: int = 2
    """Datagrams sent of each message with submissions, because datagrams get lost."""
    submit_timeout: int = 10 * NS_PER_S
    """Time after which the outcome of an undecided submission is reported as unknown."""
    max_submissions: int = 256
    """Maximum of undecided submissions of one router."""
    lease: int = NS_PER_S
    """Time after a majority's last confirmation in which a coordinator may send heartbeats and accept work.

    It must be shorter than the time after which the voters elect another coordinator.
    """
    submissions_per_s: int = 100
    """Submissions that the coordinator accepts per second, in bursts of up to two seconds' worth."""
    acknowledge_interval: int = 2_000 * NS_PER_MS
    """Interval between two rounds of acknowledgement."""
    site_collect_delay: int = 500 * NS_PER_MS
    """Delay from the first acknowledgement of a round until a site's collector sends its sum."""
    region_collect_delay: int = 1_000 * NS_PER_MS
    """As `site_collect_delay`, for a region's collector."""
    retained_entries: int = 4_096
    """Entries retained of each topic's log; a router that needs older ones loads a snapshot."""
    pending_entries: int = 256
    """Maximum of entries of each topic stored beyond a gap."""
    max_topics: int = 16
    """Maximum of topics; entries of further topics are dropped."""
    fresh_for: int = 2_500 * NS_PER_MS
    """Maximum time since a router was provably caught up with a topic for which it may serve the topic."""
    clock_poll_interval: int = 60 * NS_PER_S
    """Interval between polls of a coordinator's clock; the first is spread over `clock_spread`."""
    clock_spread: int = 300 * NS_PER_MS
    """Time over which routers spread their first poll of a new coordinator."""
    clock_retry: int = 300 * NS_PER_MS
    """Interval after the first unanswered poll of a coordinator's clock; later intervals grow."""
    bytes_per_s: int = 16_000
    """Maximum rate at which a router sends."""
    burst_bytes: int = 48_000
    """Bytes that a router may send at once beyond that rate."""
    messages_per_s: int = 400
    """Maximum rate of messages that a router processes."""
    burst_messages: int = 1_600
    """Messages that a router may process at once beyond that rate."""
