"""Clients of the memcached binary protocol at the real router: a client library, and scripted clients."""

from __future__ import annotations

import re
from pathlib import Path

import bmemcached
import pytest

from saltport.router.config import ConfigError, load_config
from saltport.router.features import FeatureError, read_features
from saltport.wire.memcached import (
    Opcode,
    Packet,
    Status,
)
from tests.binary import MEMCACHED_FEATURE, MemcachedClient, OriginStore, run_memcached_router
from tests.sockets import (
    TIMEOUT_S,
    Peer,
    eventually,
    get,
    hit,
    run_router,
    start_router,
)


@pytest.mark.parametrize("shared", [True, False])
def test_a_real_library_reads_writes_and_deletes(tmp_path: Path, shared: bool) -> None:
    store = OriginStore()
    store.values = {b"a": b"one", b"long": b"x" * 200_000}
    with run_memcached_router(tmp_path, store) as (router, port):
        client = bmemcached.Client([f"127.0.0.1:{router.port if shared else port}"])
        assert client.get("a") == "one"
        assert client.get("cold") == "fresh cold"
        assert client.get("long") == "x" * 200_000
        assert client.set("b", "two") is True
        assert client.get("b") == "two"
        assert client.get_multi(["a", "b", "cold2"]) == {"a": "one", "b": "two", "cold2": "fresh cold2"}
        assert client.set_multi({"c": "three", "d": "four"}) == []
        assert client.delete("b")
        client.disconnect_all()
    first, *both, last = [(key, body) for key, body, _ in store.writes]
    assert (first, last) == ((b"b", b"two"), (b"b", b""))
    assert sorted(both) == [(b"c", b"three"), (b"d", b"four")]  # the commands of a batch run concurrently
    # The time-out sent is at most the time left; the rest of the list is the router's own.
    timeouts_ms = [re.findall(rb"Request-Info: c=put,t=acme,d=(\d+),k=", head) for _, _, head in store.writes]
    assert all(len(found) == 1 and 0 < int(found[0]) <= 5000 for found in timeouts_ms)


def test_both_protocols_on_one_listener_see_the_same(tmp_path: Path) -> None:
    store = OriginStore()
    store.values = {b"k": b"value"}
    with run_memcached_router(tmp_path, store) as (router, port):
        binary = MemcachedClient(router.port)
        binary.send(Packet(Opcode.GET, b"k", opaque=1))
        assert binary.answers(1) == [Packet(Opcode.GET, extras=bytes(4), value=b"value", opaque=1)]
        assert router.client().ask(get("r1", "k")) == b"value"
        alone = MemcachedClient(port)
        alone.socket.sendall(b"*1\r\n$4\r\nPING\r\n")
        (answer,) = alone.answers(1)
        assert answer.status == Status.INVALID_ARGUMENTS
        assert alone.at_end()


def test_quiet_reads_are_answered_in_order_and_failures_are_never_silent(tmp_path: Path) -> None:
    store = OriginStore()
    store.values = {b"k%d" % i: b"v%d" % i for i in range(1000)}
    with run_memcached_router(tmp_path, store) as (_, port):
        client = MemcachedClient(port)
        reads = [Packet(Opcode.GETKQ, b"k%d" % i, opaque=i) for i in range(1000)]
        client.send(*reads, Packet(Opcode.GETQ, b"broken", opaque=5000), Packet(Opcode.NOOP, opaque=6000))
        answers = client.answers(1002)
        assert [packet.opaque for packet in answers] == [*range(1000), 5000, 6000]
        assert all(packet.key == b"k%d" % i for i, packet in enumerate(answers[:1000]))
        assert answers[1000].status in (Status.BUSY, Status.TEMPORARY_FAILURE)
        client.send(
            Packet(Opcode.SETQ, b"n", bytes(8), b"1"), Packet(Opcode.DELETEQ, b"n"), Packet(Opcode.NOOP)
        )
        assert client.answers(1) == [Packet(Opcode.NOOP)]
        assert [key for key, _, _ in store.writes] == [b"n", b"n"]


def test_quit_and_a_client_gone_in_the_middle_of_a_batch(tmp_path: Path) -> None:
    store = OriginStore()
    store.values = {b"k": b"v"}
    with run_memcached_router(tmp_path, store) as (router, port):
        client = MemcachedClient(port)
        client.send(Packet(Opcode.GET, b"k"), Packet(Opcode.QUIT, opaque=8))
        assert [packet.opcode for packet in client.answers(2)] == [Opcode.GET, Opcode.QUIT]
        assert client.at_end()
        descriptors = router.descriptors()
        leaver = MemcachedClient(port)
        leaver.send(*[Packet(Opcode.GETQ, b"cold%d" % i) for i in range(200)])
        leaver.socket.close()
        eventually(lambda: router.descriptors() <= descriptors + 20, "the client's connection is closed")
        again = MemcachedClient(port)
        again.send(Packet(Opcode.GET, b"k"))
        assert again.answers(1)[0].value == b"v"


@pytest.mark.parametrize(
    "junk",
    [
        b"\x80" + b"\xff" * 23,
        b"\x80\x00\x00\x05\x08\x00\x00\x00\xff\xff\xff\xff" + bytes(12),
        b"\x81" + bytes(23),
    ],
    ids=["ones", "4 GB", "response"],
)
def test_unparsable_stream_gets_an_error_and_a_close_and_affects_no_other_client(
    tmp_path: Path, junk: bytes
) -> None:
    store = OriginStore()
    store.values = {b"k": b"v"}
    with run_memcached_router(tmp_path, store) as (_, port):
        good, bad = MemcachedClient(port), MemcachedClient(port)
        bad.send(Packet(Opcode.GET, b"k", opaque=1))
        bad.socket.sendall(junk)
        first, last = bad.answers(2)
        assert (first.value, last.status) == (b"v", Status.INVALID_ARGUMENTS)
        assert bad.at_end()
        good.send(Packet(Opcode.GET, b"k"))
        assert good.answers(1)[0].value == b"v"


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ('read_class = "nothing"', "memcached.read_class: 'nothing' is none of get, put, once"),
        ('read_class = "put"', "memcached.read_class: repeats"),
        ('tenant = "nobody"', "memcached.tenant: 'nobody' is unknown"),
        ("deadline_ms = 0", "memcached.deadline_ms: must be above 0"),
        ('listen = "nowhere"', "memcached.listen"),
        ("shared = 1", "memcached.shared: expected true or false"),
        ('tenant_prefixes = {"x/" = "nobody"}', "memcached.tenant_prefixes: 'x/': 'nobody' is unknown"),
        ('tenant_prefixes = {"" = "acme"}', "memcached.tenant_prefixes: '' is not a valid key prefix"),
        ('tenant_prefixes = "x"', "memcached.tenant_prefixes: expected a table"),
    ],
)
def test_mistakes_are_reported_with_their_place(tmp_path: Path, line: str, words: str) -> None:
    name = line.split(" ", maxsplit=1)[0]
    others = [
        other for other in MEMCACHED_FEATURE.format(port=1).splitlines() if not other.startswith(name + " ")
    ]
    path = tmp_path / "memcached.toml"
    path.write_text("\n".join([*others, line]))
    with run_router(tmp_path, {"s1": Peer(lambda _, words: hit(words[2]))}) as router:
        config_values = router.read_configuration()
    config = tmp_path / "config.json"
    with pytest.raises((ConfigError, FeatureError)) as raised:
        load_config({"LB_CONFIG": str(config)}, [path])
    assert words in str(raised.value)
    process = start_router(tmp_path, config_values, ["--with", str(path)])
    _, log = process.communicate(timeout=TIMEOUT_S)
    assert (process.returncode, words in log) == (2, True)


def test_the_shipped_file_is_good() -> None:
    features = read_features([Path(__file__).parents[2] / "deploy/memcached.toml"]).memcached
    assert (features.on, features.read_class) == (True, "fetch")
