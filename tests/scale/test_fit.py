"""Fits are compared with known lines, and computed byte counts with those of real sockets."""

from __future__ import annotations

import math
import socket
import struct
from dataclasses import dataclass

import pytest

from benchmarks.scale import fit


def test_a_line_is_found_and_the_distance_from_it() -> None:
    line = fit.fit_line([(25, 57.0), (100, 207.0), (400, 807.0), (1600, 3207.0)])
    assert (line.slope, line.baseline) == pytest.approx((2.0, 7.0))
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    assert line.value_at(fit.FLEET_ROUTERS) == pytest.approx(3207.0)
    bent = fit.fit_line([(0, 0.0), (1, 2.0), (2, 0.0)])
    assert (bent.slope, bent.baseline) == pytest.approx((0.0, 2 / 3))
    assert bent.residual == pytest.approx(math.sqrt((4 / 9 + 16 / 9 + 4 / 9) / 3))


def test_the_exponent_tells_flat_linear_and_quadratic_apart() -> None:
    for exponent in (0.0, 1.0, 2.0):
        points = [(float(size), 3 * size**exponent) for size in fit.FLEET_SIZES]
        assert fit.fit_power(points).slope == pytest.approx(exponent)


def test_one_size_gives_no_slope() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit.fit_line([(25, 1.0), (25, 2.0)])
    assert fit.format_fits([Row(25, 1.0)], "routers", ("cpu_percent",)) == "one size gives no slope"


def test_shares_of_times() -> None:
    times = [float(number) for number in range(100, 0, -1)]
    assert [fit.quantile(times, share) for share in (0.5, 0.99, 1.0)] == [50.0, 99.0, 100.0]
    assert fit.quantile([], 0.5) == math.inf


@dataclass
class Row:
    routers: int
    cpu_percent: float


def test_a_table_and_its_fits_name_each_figure() -> None:
    rows = [Row(25, 1.0), Row(100, 4.0)]
    assert fit.format_table(rows).splitlines()[0].split("  ") == ["routers", "cpu percent"]
    lines = fit.format_fits(rows, "routers", ("cpu_percent",))
    assert lines == "cpu percent: 0 + 0.04 N, residual 0, exponent 1.00; at 1600: 64"


def test_udp_bytes_are_those_of_a_socket_with_headers() -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as here,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as there,
    ):
        there.bind(("127.0.0.1", 0))
        there.settimeout(30)
        sizes = [0, 1, 200, 256]
        for size in sizes:
            here.sendto(bytes(size), there.getsockname())
        received = [len(there.recv(2_048)) for _ in sizes]
    assert fit.udp_bytes(sum(received), len(received)) == sum(sizes) + 4 * 28


@pytest.mark.parametrize("payload", [1, 1_460, 1_461, 50_000])
def test_tcp_segments_are_as_many_as_the_kernel_counts(payload: int) -> None:
    """The segment size is limited as on Ethernet; with TCP time stamps a segment carries 12 bytes less."""
    with socket.create_server(("127.0.0.1", 0)) as server, socket.socket() as client:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, fit.TCP_SEGMENT_BYTES)
        client.connect(server.getsockname())
        connection, _ = server.accept()
        with connection:
            client.sendall(bytes(payload))
            client.shutdown(socket.SHUT_WR)
            received_bytes = 0
            while data := connection.recv(65_536):
                received_bytes += len(data)
            tcp_info = client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
            max_segment_bytes = client.getsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG)
    assert received_bytes == payload
    data_segments = struct.unpack_from("I", tcp_info, 156)[0]
    assert data_segments == -(-payload // max_segment_bytes)
    assert fit.TCP_SEGMENT_BYTES - 12 <= max_segment_bytes <= fit.TCP_SEGMENT_BYTES
    assert 0 <= data_segments - fit.tcp_segments(payload) <= 1
    assert fit.tcp_bytes(payload, acknowledged=False) == payload + 40 * fit.tcp_segments(payload)
