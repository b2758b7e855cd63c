"""Tests that a gateway keeps nothing about workers and peers that are gone."""

import asyncio
import dataclasses
import json

import pytest

from oleanderbay.gateway import entry, interfaces, settings, summaries
from oleanderbay.gateway import membership as membership_module
from oleanderbay.platform import http_headers, records
from oleanderbay.process import clock as clocks
from tests import worker_entries
from tests.gateway import parts, state_sizes

COUNT = 2_000
# Dropped keys of a topic, which followers and restored stores are told of.
DROPPED_KEYS = (".latest", "._changed_at")
# Workers that said that they drain: at most MAX_SAID_DRAINING.
BOUNDED = ("._said_draining",)
CONFIGURATION = {
    "version": 1,
    "routes": [],
    "services": [
        {
            "name": "chat",
            "health_path": "/h",
            "cold_per_s": 1,
            "engine": {"models": [{"name": "m", "size": 2}]},
        }
    ],
}


class NoWorkers:
    """Orders to workers of which none is reachable."""

    async def fetch_report(self, worker, timeout_ms):
        return interfaces.OrderResult.UNREACHABLE

    async def is_healthy(self, worker, path, timeout_ms):
        return False

    async def stage_model(self, worker, fence, model):
        return interfaces.OrderResult.UNREACHABLE


@pytest.fixture
async def gateway():
    made = entry.Gateway(
        dataclasses.replace(
            parts.SETTINGS, peers=settings.PeerSettings(port=1, seeds=("s1",))
        ),
        parts.Store(),
        NoWorkers(),
        records.JsonDecoder(),
        http_headers.HeaderTranslator(),
        clocks.ManualClock(),
    )
    _write(made, "configuration", "config", CONFIGURATION)
    yield made
    made.group_controller.tasks.close()
    await asyncio.sleep(0)


def _write(gateway, topic, key, body):
    """Applies a record of the store."""
    feed = gateway.feeds[topic]
    value = None if body is None else json.dumps(body).encode()
    record = interfaces.KeyedRecord(feed.offset + 1, key, value)
    feed.merge([record], record.offset + 1)


def _add_worker(gateway, number):
    """Registers a worker that has had, and been, all kinds of trouble."""
    key, group = f"w{number}", {"name": f"g{number // 2}", "epoch": 1}
    _write(
        gateway,
        "workers",
        key,
        {
            **worker_entries.GROUPED,
            "domain": f"d{number}",
            "born": 1,
            "cold_remaining_ms": 500,
            "group": {**group, "rank": number % 2, "state": "ready"},
        },
    )
    worker = gateway.gateway_state.workers[key]
    gateway.selector.cold_budget.record_request(key)
    gateway.selector.rests.record(worker, 1_000)
    gateway.worker_limits.record_statement(key, 1.0)
    gateway.worker_limits.available(key)
    gateway.worker_health.record_failure(key)
    gateway.worker_health.suspect(key)
    gateway.worker_health.mark_healthy(key)
    gateway.worker_health.record_lost(worker)
    gateway.paths.record_broken(worker)
    gateway.gateway_state.mark_draining(worker)
    gateway.group_controller.formations.stage(worker, parts.MODEL)
    gateway.group_controller._registering([worker])


def _add_peer(gateway, number):
    host = f"127.1.{number // 250}.{number % 250}"
    gateway.peers.members.apply_heartbeat(
        membership_module.Peer(
            id=f"p{number}",
            start_id="s",
            host=host,
            zone="z1",
            callers=f"{host}:1",
            ready=True,
            leaving=False,
            heard_ms=gateway.clock.now_ms(),
            sequence=1,
            offsets={},
            store_age_ms=0,
            interval_ms=200,
            loads_applied=True,
        )
    )
    gateway._apply_contents(
        f"p{number}",
        {
            **summaries.EMPTY_CONTENTS,
            "in_flight": {f"w{number}": 1},
            "demand": {"m": 1.0},
            "suspects": [f"w{number}"],
            "lost": {f"w{number}": 1},
            "store_answers": True,
        },
    )


async def _run_periodic_work(gateway):
    gateway._heartbeat_contents()
    gateway.peers.members.drop_silent()
    gateway.group_controller.reconcile()
    await gateway.paths.check()
    await asyncio.sleep(0)


async def _pass_time(gateway, seconds):
    """Runs what a gateway does regularly, for some seconds."""
    for _ in range(seconds):
        # The workers' records are current, so groups are kept up.
        gateway.feeds["workers"].answered_ms = gateway.clock.now_ms()
        gateway.feeds["workers"].uninterrupted_since_ms = 0
        await _run_periodic_work(gateway)
        await gateway.clock.advance(1_000)


async def test_workers_that_come_and_go_leave_no_entries(gateway):
    """Tables grew with each worker that was ever registered."""
    await _pass_time(gateway, 3)
    before = state_sizes.tables(gateway)
    for number in range(COUNT):
        _add_worker(gateway, number)
    await _run_periodic_work(gateway)
    for number in range(COUNT):
        _write(gateway, "workers", f"w{number}", None)
        gateway.gateway_state.forget_missing_member(f"w{number}")
    await _pass_time(gateway, 90)
    assert _grown(gateway, before) == {}


async def test_records_of_other_writers_that_go_leave_no_entries(gateway):
    """Each key whose record could not be read was kept for the log."""
    before = state_sizes.tables(gateway)
    for number in range(COUNT):
        _write(gateway, "workers", f"x{number}", {"state": "odd"})
        _write(gateway, "workers", f"x{number}", None)
    assert _grown(gateway, before) == {}


async def test_peers_that_come_and_go_leave_no_entries(gateway):
    """A restarted site has other gateways at other addresses."""
    await _pass_time(gateway, 3)
    before = state_sizes.tables(gateway)
    for number in range(COUNT):
        _add_peer(gateway, number)
    await _pass_time(gateway, 90)
    assert _grown(gateway, before) == {}


async def test_addresses_that_the_store_no_longer_has_are_forgotten(gateway):
    """Heartbeats went to each address at which a gateway ever was."""

    def record(number, host):
        value = json.dumps({"host": host}).encode()
        return interfaces.KeyedRecord(number, f"p{number}", value)

    before = dict(gateway.peers.addresses)
    _add_peer(gateway, 1)
    for moved in range(COUNT):
        gateway._apply_addresses(
            [record(2, f"127.2.{moved // 250}.{moved % 250}"), record(3, "h3")]
        )
    assert gateway.peers.addresses == {
        **before,
        "127.1.0.1": "p1",
        "127.2.7.249": "p2",
        "h3": "p3",
    }
    gateway._apply_addresses([])
    assert gateway.peers.addresses == {**before, "127.1.0.1": "p1"}


def _grown(gateway, before):
    found = state_sizes.grown(gateway, before)
    return {
        p: n for p, n in found.items() if not p.endswith(DROPPED_KEYS + BOUNDED)
    }
