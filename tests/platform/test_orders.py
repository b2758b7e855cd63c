"""Tests of the orders adapter against a worker's stand-in."""

import contextlib

import pytest
from aiohttp import web

from oleanderbay.gateway import interfaces, workers
from oleanderbay.platform import orders
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker, server

RESULT = interfaces.OrderResult


def described(stand_in, **changes):
    return workers.Worker(
        id=changes.get("id", stand_in.id),
        service="chat",
        address=stand_in.address,
        zone="z1",
    )


@contextlib.asynccontextmanager
async def client():
    clock = clocks.ManualClock()
    stand_in = group_worker.GroupWorker("w1", load_ms=50, clock=clock)
    await stand_in.start()
    giver = orders.HttpOrders(2_000, 1_000)
    await giver.start()
    yield giver, stand_in, clock
    await giver.close()
    await stand_in.close()


async def test_a_group_from_join_to_leave():
    """A wrong field name would make each order a refusal."""
    async with client() as (giver, stand_in, clock):
        worker = described(stand_in)
        join = (worker, 1, "g", 65_537, "small", ["w1", "w2"])
        assert await giver.join(*join) is RESULT.BEGUN
        assert await giver.open(worker, 1, "g", 65_537) is RESULT.CONFLICT
        await clock.advance(50)
        assert await giver.join(*join) is RESULT.DONE
        assert await giver.open(worker, 1, "g", 65_537) is RESULT.DONE
        report = await giver.report(worker, 2_000)
        assert report.worker_id == "w1" and report.models == ("small",)
        assert report.membership == workers.Membership(
            group="g", epoch=65_537, rank=0, state=workers.MemberState.OPEN
        )
        closed = await giver.close_group(worker, 1, "g", 65_537, True)
        assert closed is RESULT.DONE
        assert await giver.leave(worker, 1, "g", 65_537) is RESULT.DONE
        assert await giver.stage(worker, 1, "small") is RESULT.BEGUN
        report = await giver.report(worker, 2_000)
        assert report.membership is None and report.staged == {"small"}


async def test_fences_epochs_and_lists_are_refused_apart():
    """A conflict taken for a refused token would end an owner's work."""
    async with client() as (giver, stand_in, _):
        worker = described(stand_in)
        await giver.join(worker, 5, "g", 9, "small", ["w1", "w2"])
        assert await giver.open(worker, 4, "g", 9) is RESULT.FENCED
        for epoch, members in ((8, ["w1"]), (9, ["w1", "w3"])):
            result = await giver.join(worker, 5, "g", epoch, "small", members)
            assert result is RESULT.CONFLICT
        other = described(stand_in, id="w9")
        assert await giver.leave(other, 5, "g", 9) is RESULT.REFUSED
        assert await giver.report(other, 2_000) is RESULT.REFUSED
        assert len(stand_in.orders) == 4


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (400, RESULT.REFUSED),
        (429, RESULT.REFUSED),
        (503, RESULT.REFUSED),
        (500, RESULT.UNKNOWN),
        (0, RESULT.UNKNOWN),
    ],
)
async def test_an_order_that_may_have_been_obeyed_is_unknown(status, result):
    """Members would join elsewhere after an order that was not refused."""

    async def handle(request):
        await request.read()
        if not status:
            request.transport.abort()
        return web.Response(status=status or 200)

    app, listener = web.Application(), server.HttpServer()
    app.router.add_route("*", "/{path:.*}", handle)
    address = await listener.start(app, "127.0.0.1", 0)
    giver = orders.HttpOrders(2_000, 1_000)
    await giver.start()
    worker = workers.Worker(id="w", service="s", address=address, zone="z")
    assert await giver.open(worker, 1, "g", 1) is result
    await giver.close()
    await listener.close()


async def test_a_refused_connection_is_unreachable():
    """Only then is it certain that the worker's process is gone."""
    async with client() as (giver, stand_in, _):
        worker = described(stand_in)
        await stand_in.close()
        assert await giver.open(worker, 1, "g", 1) is RESULT.UNREACHABLE
        assert await giver.report(worker, 500) is RESULT.UNREACHABLE
