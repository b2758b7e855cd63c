"""Tests of how broken paths are told from lost workers."""

import random

from oleanderbay.gateway import paths
from oleanderbay.process import clock as clocks
from tests.gateway import parts


class Fleet:
    """Workers of which some can't be reached."""

    def __init__(self, count):
        self.workers = [parts.worker(f"w{n}") for n in range(count)]
        self.unreachable = set()
        self.partitions = 0
        self.connections = 0
        self.paths = paths.Paths(
            clocks.ManualClock(),
            random.Random(1),
            lambda: self.workers,
            self._connect,
            self._on_partition,
        )

    async def _connect(self, worker):
        self.connections += 1
        return worker.id not in self.unreachable

    def _on_partition(self):
        self.partitions += 1

    def cut(self, count):
        """Cuts the paths to some workers, and finds two of them broken."""
        self.unreachable = {worker.id for worker in self.workers[:count]}
        for worker in self.workers[: min(count, paths.MIN_BROKEN)]:
            self.paths.record_broken(worker)


async def test_a_gateway_that_reaches_no_worker_is_partitioned_until_it_does():
    """Guards against a partition that is taken for the loss of all workers."""
    fleet = Fleet(30)
    fleet.cut(30)
    await fleet.paths.check()
    assert fleet.paths.partitioned and fleet.partitions == 1
    assert all(fleet.paths.is_broken(worker) for worker in fleet.workers)
    await fleet.paths.check()
    assert fleet.partitions == 1
    fleet.unreachable.clear()
    await fleet.paths.check()
    assert not fleet.paths.partitioned
    assert not any(fleet.paths.is_broken(worker) for worker in fleet.workers)


async def test_a_few_broken_paths_are_no_partition():
    """Guards against a gateway that gives up its duties for few workers."""
    fleet = Fleet(30)
    fleet.cut(6)
    for _ in range(20):
        await fleet.paths.check()
        assert not fleet.paths.partitioned
    broken = [w.id for w in fleet.workers if fleet.paths.is_broken(w)]
    assert broken == ["w0", "w1"]
    fleet.unreachable.clear()
    await fleet.paths.check()
    assert not fleet.paths.broken


async def test_workers_that_no_gateway_reaches_are_no_partition():
    """Guards against gateways that all give up their duties.

    A path counts as broken only if another gateway has one.
    """
    fleet = Fleet(30)
    fleet.unreachable = {worker.id for worker in fleet.workers}
    await fleet.paths.check()
    assert not fleet.paths.partitioned and not fleet.connections


async def test_checks_connect_to_a_bounded_number_of_workers():
    fleet = Fleet(1_000)
    fleet.cut(1_000)
    await fleet.paths.check()
    assert fleet.connections <= 2 * paths.SAMPLE_SIZE


async def test_a_new_incarnation_of_a_worker_has_no_broken_path():
    fleet = Fleet(5)
    fleet.cut(1)
    fleet.workers[0] = parts.worker("w0", started_ms=7)
    assert not fleet.paths.is_broken(fleet.workers[0])
    await fleet.paths.check()
    assert not fleet.paths.broken


async def test_a_direct_connection_ends_a_broken_path():
    fleet = Fleet(5)
    fleet.cut(1)
    fleet.paths.record_reached(fleet.workers[0])
    assert not fleet.paths.is_broken(fleet.workers[0])
