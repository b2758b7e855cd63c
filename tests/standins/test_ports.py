"""Tests of the choice of ports for listeners of tests and benchmarks."""

import contextlib
import socket

import pytest

from oleanderbay.standins import ports

HOSTS = ("127.0.0.1", "127.0.0.2")
KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)


# A gateway failed to bind its port with "address already in use": an outgoing
# connection had taken it after it was found to be free.
def test_ports_are_not_those_of_outgoing_connections():
    found = ports.free_ports(50, HOSTS)
    assert len(set(found)) == 50
    assert all(p < ports.first_outgoing_port() for p in found)
    with socket.socket() as listener:
        listener.bind((HOSTS[0], 0))
        assert listener.getsockname()[1] >= ports.first_outgoing_port()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("host", HOSTS)
def test_a_port_in_use_on_one_host_is_not_chosen(monkeypatch, kind, host):
    """Gateways on several hosts share a port, which each has to bind."""
    first = ports.free_port(*HOSTS)
    monkeypatch.setattr(ports, "FIRST_PORT", first)
    monkeypatch.setattr(ports, "MIN_CHOICE", 1)
    monkeypatch.setattr(ports, "first_outgoing_port", lambda: first + 1)
    assert ports.free_port(*HOSTS) == first
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind((host, first))
        with pytest.raises(ports.NoFreePortsError):
            ports.free_port(*HOSTS)


def test_runs_at_once_start_at_different_ports():
    """They would choose the same ports before the first of them listens."""
    assert len({ports.free_port(HOSTS[0]) for _ in range(20)}) > 10


@pytest.mark.parametrize(
    ("text", "first"),
    [
        ("20000\t60999\n", 20_000),
        ("", ports.DEFAULT_FIRST_OUTGOING),
        ("none", ports.DEFAULT_FIRST_OUTGOING),
        (None, ports.DEFAULT_FIRST_OUTGOING),
    ],
)
def test_the_range_is_that_of_the_operating_system(
    monkeypatch, tmp_path, text, first
):
    """A machine may have another range than the default one."""
    path = tmp_path / "range"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr(ports, "_SETTING", path)
    assert ports.first_outgoing_port() == first


def test_ports_are_found_if_outgoing_connections_use_all(monkeypatch):
    """Some machines are set to give away each port from 1024 on."""
    monkeypatch.setattr(ports, "first_outgoing_port", lambda: 1_024)
    with contextlib.ExitStack() as stack:
        for port in ports.free_ports(3, HOSTS):
            listener = stack.enter_context(socket.socket())
            listener.bind((HOSTS[0], port))
