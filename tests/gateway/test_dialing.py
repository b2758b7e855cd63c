"""Tests of the ways to open a connection to a worker."""

import asyncio
import socket

import pytest

from oleanderbay.gateway import dialing

LONG_MS = 60_000


class Ways:
    """Ways with scripted results, and the connections they opened."""

    def __init__(self):
        self.started = []
        self.opened = []

    def add(self, gateway, patience_ms, result):
        async def connect():
            self.started.append(gateway)
            if isinstance(result, asyncio.Event):
                await result.wait()
            if isinstance(result, Exception):
                raise result
            sock = socket.socket()
            self.opened.append(sock)
            return sock

        return dialing.Way(gateway, connect, patience_ms)


async def test_a_way_that_fails_is_followed_by_the_next_at_once():
    """Guards against requests that wait for the delay of the next way."""
    ways = Ways()
    gateway, sock = await dialing.try_in_turn(
        [
            ways.add("", LONG_MS, ConnectionRefusedError()),
            ways.add("g1", LONG_MS, OSError()),
            ways.add("g2", LONG_MS, None),
        ]
    )
    assert (gateway, ways.started) == ("g2", ["", "g1", "g2"])
    sock.close()


async def test_a_way_that_hangs_is_followed_after_its_delay():
    ways = Ways()
    gateway, sock = await dialing.try_in_turn(
        [ways.add("", 1, asyncio.Event()), ways.add("g1", LONG_MS, None)]
    )
    assert gateway == "g1"
    sock.close()


async def test_no_second_way_is_tried_while_the_first_one_connects():
    ways = Ways()
    gateway, sock = await dialing.try_in_turn(
        [ways.add("", LONG_MS, None), ways.add("g1", LONG_MS, None)]
    )
    assert (gateway, ways.started) == ("", [""])
    sock.close()


async def test_all_connections_but_the_first_are_closed():
    """Guards against connections that leak at workers."""
    ways = Ways()
    late = asyncio.Event()
    attempt = asyncio.create_task(
        dialing.try_in_turn(
            [ways.add("", 1, late), ways.add("g1", LONG_MS, late)]
        )
    )
    await asyncio.sleep(0.05)
    late.set()
    _, sock = await attempt
    assert len(ways.opened) == 2
    assert [s.fileno() >= 0 for s in ways.opened] == [
        s is sock for s in ways.opened
    ]
    sock.close()


async def test_a_cancelled_attempt_leaves_no_connection():
    ways = Ways()
    late = asyncio.Event()
    attempt = asyncio.create_task(
        dialing.try_in_turn(
            [ways.add("", LONG_MS, late), ways.add("g1", LONG_MS, None)]
        )
    )
    await asyncio.sleep(0)
    late.set()
    attempt.cancel()
    with pytest.raises(asyncio.CancelledError):
        await attempt
    assert all(s.fileno() < 0 for s in ways.opened)


async def test_the_error_of_the_direct_way_is_raised():
    """Guards against a crashed worker that looks merely unreachable."""
    ways = Ways()
    with pytest.raises(ConnectionRefusedError):
        await dialing.try_in_turn(
            [
                ways.add("g1", LONG_MS, OSError()),
                ways.add("", LONG_MS, ConnectionRefusedError()),
            ]
        )


async def test_further_ways_are_not_chosen_while_the_first_one_connects():
    """Guards against a choice among all gateways for each connection."""
    ways = Ways()

    def choose():
        yield ways.add("", LONG_MS, None)
        raise AssertionError("a second way was chosen")

    _, sock = await dialing.try_in_turn(choose())
    sock.close()
