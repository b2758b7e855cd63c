"""Tests of the detection of crashed workers."""

import asyncio
import dataclasses

import multidict
import pytest

from oleanderbay.gateway import crash_detection, interfaces, table
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker
from tests.gateway import parts

REQUEST = interfaces.CallerRequest(
    id="r1",
    method="POST",
    host="api",
    target="/book?kit=1",
    headers=multidict.CIMultiDict(),
    body=b"body",
)
TEAM = table.Team(name="team")


def broken(fingerprint, *shared_parts):
    return crash_detection.BrokenRequest(fingerprint, shared_parts)


class Detector:
    """A detector whose checks of connections have scripted results."""

    def __init__(self, *results):
        self.clock = clocks.ManualClock()
        self.results = list(results)
        self.crashes = []
        self.parts = []
        self.detector = crash_detection.CrashDetector(
            self.clock,
            lambda worker, requests: self.crashes.append((worker.id, requests)),
            lambda worker, found: self.parts.append((worker.id, found)),
            self.connect,
        )

    async def connect(self, worker):
        result = self.results.pop(0)
        if result is not None:
            raise result


async def test_a_worker_that_refuses_connections_has_crashed():
    """Each request that it broke off may have been the cause."""
    tested = Detector(None, ConnectionRefusedError())
    worker = parts.worker("w")
    tested.detector.check(worker, broken("a"))
    await tested.clock.advance(crash_detection.CHECK_DELAYS_MS[0])
    tested.detector.check(worker, broken("b"))
    await tested.clock.advance(sum(crash_detection.CHECK_DELAYS_MS))
    assert tested.crashes == [("w", {"a", "b"})]


async def test_a_request_broken_off_as_a_check_ends_gets_its_own_check():
    """Its crash did not count against it, and it went to further workers."""
    tested = Detector(ConnectionRefusedError(), ConnectionRefusedError())
    worker = parts.worker("w")
    record = tested.detector.record_requests

    def record_and_break(crashed, requests):
        record(crashed, requests)
        if "b" not in requests:
            # Runs after the check and before the callback for its end.
            asyncio.get_running_loop().call_soon(
                tested.detector.check, worker, broken("b")
            )

    tested.detector.record_requests = record_and_break
    tested.detector.check(worker, broken("a"))
    for _ in range(2):
        await tested.clock.advance(sum(crash_detection.CHECK_DELAYS_MS))
    assert tested.crashes == [("w", {"a"}), ("w", {"b"})]


async def test_a_crash_counts_against_the_parts_that_are_given():
    """A break of an idle connection alone does not count against a prompt."""
    tested = Detector(ConnectionRefusedError())
    worker = parts.worker("w")
    tested.detector.check(worker, broken("a", "p", "q"))
    tested.detector.check(worker, broken("b"))
    await tested.clock.advance(sum(crash_detection.CHECK_DELAYS_MS))
    assert ("w", ("p", "q")) in tested.parts


@pytest.mark.parametrize(
    "result", [None, ConnectionResetError(), TimeoutError(), OSError()]
)
async def test_a_worker_that_is_there_or_cut_off_has_not_crashed(result):
    """Sound requests would be refused, for a fault of worker or network."""
    tested = Detector(*[result] * len(crash_detection.CHECK_DELAYS_MS))
    tested.detector.check(parts.worker("w"), broken("a"))
    await tested.clock.advance(sum(crash_detection.CHECK_DELAYS_MS))
    assert not tested.crashes and not tested.results


async def test_checks_connect_to_the_address_of_the_worker():
    """Any other result than a refused connection would hide a crash."""
    worker = group_worker.GroupWorker("w")
    await worker.start()
    known = parts.worker("w", address=worker.address)
    await crash_detection.open_connection(known)
    await worker.close()
    with pytest.raises(ConnectionRefusedError):
        await crash_detection.open_connection(known)


async def test_close_ends_the_checks():
    """A check must not outlive its gateway."""
    tested = Detector(ConnectionRefusedError())
    tested.detector.check(parts.worker("w"), broken("a"))
    tested.detector.close()
    await asyncio.sleep(0)
    await tested.clock.advance(1_000)
    assert not tested.crashes


def test_fingerprints_tell_target_caller_and_body_apart():
    """A sound request must not be refused in place of the one that crashes."""
    variants = [
        (REQUEST, TEAM),
        (REQUEST, None),
        (REQUEST, table.Team(name="other")),
        *(
            (dataclasses.replace(REQUEST, **changes), TEAM)
            for changes in (
                {"method": "PUT"},
                {"host": "other"},
                {"target": "/book?kit=2"},
                {"body": b"other"},
                {"body": None},
            )
        ),
    ]
    found = {crash_detection.fingerprint(*variant) for variant in variants}
    assert len(found) == len(variants)
    repeat = dataclasses.replace(REQUEST, id="r2", arrived_ms=9)
    assert crash_detection.fingerprint(repeat, TEAM) in found


@pytest.mark.parametrize("path_broken", [False, True])
async def test_a_break_counts_unless_the_path_to_the_worker_is_broken(
    path_broken,
):
    """Guards against partitions that quarantine the prompts of callers."""
    counted = []

    async def connect(worker):
        raise ConnectionResetError

    detector = crash_detection.CrashDetector(
        clocks.SystemClock(),
        lambda *_: None,
        lambda worker, parts: counted.append(parts),
        connect,
        lambda worker: path_broken,
    )
    worker = parts.worker("w")
    detector.record_break(worker, ("a",))
    detector.record_break(worker, ("b",))
    await asyncio.sleep(0.02)
    assert sorted(counted) == ([] if path_broken else [("a",), ("b",)])
    detector.record_break(worker, ("c",))
    await asyncio.sleep(0.02)
    assert len(counted) == (0 if path_broken else 3)
    detector.close()
