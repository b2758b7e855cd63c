"""Appends to the log within the budget, and finds out what became of them."""

import asyncio
import collections
import random
from typing import Any

import msgpack
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import deadline
from oleanderbay.process.configuration import budget as budgets

ATTEMPT_TIMEOUT_MS = 1_000
# Longest wait for the budget; a caller that is told to come back can do
# something else meanwhile.
MAX_BUDGET_WAIT_MS = 250
FIRST_BACKOFF_MS = 20
LAST_BACKOFF_MS = 400
PAGE_RECORDS = 512
RATE_WINDOW_MS = 1_000


class AppendBudgetError(native.PlatformUnavailableError):
    """The budget is used up; the record was not accepted.

    Attributes:
        retry_after_ms: When to try again.
    """

    def __init__(self, use: str, retry_after_ms: int) -> None:
        super().__init__(
            f"not accepted: the append budget for {use} is used up; "
            f"try again in {retry_after_ms} ms"
        )
        self.retry_after_ms = retry_after_ms


class Appender:
    """Implements `LogAppender`.

    A lost answer is resolved by reading forward for the record's id. If the
    record is not there, it is appended again as it is; whoever reads the
    stream ignores the second record with an id, so a first append that takes
    effect late does no harm.

    Attributes:
        budget: What may be appended.
    """

    def __init__(
        self,
        log: native.LogService,
        budget: budgets.AppendBudget,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.budget = budget
        self._log_service = log
        self._clock = clock
        self._rng = rng
        self._tasks: dict[tuple[str, bytes], asyncio.Task[int]] = {}
        # Offsets below which nothing can be appended any more.
        self._ends: dict[str, int] = {}
        self._times: collections.deque[int] = collections.deque()
        self._log = structlog.get_logger("appender")

    def note_end(self, stream: str, end: int) -> None:
        """Tells an offset that the next append to a stream won't be below."""
        self._ends[stream] = max(end, self._ends.get(stream, 1))

    def appends_per_s(self) -> int:
        """Returns the appends made within the last second."""
        oldest_ms = self._clock.now_ms() - RATE_WINDOW_MS
        while self._times and self._times[0] < oldest_ms:
            self._times.popleft()
        return len(self._times)

    async def append(
        self, stream: str, data: bytes, use: str, timeout_ms: int
    ) -> int:
        """Appends a record and returns its offset.

        The same record appended twice at the same time is appended once. An
        append goes on when its caller is cancelled.

        Args:
            stream: Stream name.
            data: The record.
            use: A key of `budget.SHARES`.
            timeout_ms: How long the whole call may take.

        Raises:
            AppendBudgetError: The budget is used up; nothing was appended.
            PlatformUnavailableError: Nothing was appended.
            PlatformUnknownError: The record may yet be appended.
        """
        if use not in budgets.SHARES:
            raise ValueError(f"unknown use of the append budget: {use!r}")
        key = (stream, data)
        task = self._tasks.get(key)
        if task is None:
            task = asyncio.create_task(
                self._append(stream, data, use, timeout_ms)
            )
            self._tasks[key] = task
            task.add_done_callback(lambda done: self._finish(key, done))
        try:
            return await deadline.within(
                self._clock, asyncio.shield(task), timeout_ms
            )
        except TimeoutError as error:
            raise native.PlatformUnknownError(
                f"the append was not answered within {timeout_ms} ms"
            ) from error

    async def close(self) -> None:
        """Cancels the appends in progress."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(
        self, key: tuple[str, bytes], task: "asyncio.Task[int]"
    ) -> None:
        self._tasks.pop(key, None)
        if not task.cancelled():
            # Its caller may be gone.
            task.exception()

    async def _append(
        self, stream: str, data: bytes, use: str, timeout_ms: int
    ) -> int:
        end_ms = self._clock.now_ms() + timeout_ms
        await self._wait_for_budget(use, end_ms)
        start = self._ends.get(stream, 0)
        try:
            return await self._attempt(stream, data, end_ms)
        except native.PlatformUnavailableError:
            raise
        except native.PlatformUnknownError as error:
            self._log.info("append unknown", stream=stream, error=str(error))
        return await self._resolve(stream, data, start, end_ms)

    async def _wait_for_budget(self, use: str, end_ms: int) -> None:
        now_ms = self._clock.now_ms()
        last_ms = min(end_ms, now_ms + MAX_BUDGET_WAIT_MS)
        while True:
            wait_ms = self.budget.take(use)
            if wait_ms == 0:
                return
            if self._clock.now_ms() + wait_ms > last_ms:
                raise AppendBudgetError(use, wait_ms)
            await self._clock.sleep_ms(wait_ms)

    async def _attempt(self, stream: str, data: bytes, end_ms: int) -> int:
        left_ms = end_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise native.PlatformUnknownError("no time left to append")
        self._times.append(self._clock.now_ms())
        offset = await self._log_service.append(
            stream, data, min(left_ms, ATTEMPT_TIMEOUT_MS)
        )
        self.note_end(stream, offset + 1)
        return offset

    async def _resolve(
        self, stream: str, data: bytes, start: int, end_ms: int
    ) -> int:
        record_id = _id(data)
        backoff_ms = FIRST_BACKOFF_MS
        offset: int | None = None
        while self._clock.now_ms() < end_ms:
            try:
                found, start = await self._find(
                    stream, record_id, data, start, end_ms
                )
                if found is not None:
                    return found
                if offset is not None:
                    # Appended again and read up to there: the first copy, if
                    # there is to be one, comes later.
                    return offset
                if record_id is not None and self.budget.take("group") == 0:
                    offset = await self._attempt(stream, data, end_ms)
                    continue
            except native.PlatformError as error:
                self._log.debug("append unresolved", error=str(error))
            await self._clock.sleep_ms(backoff_ms * self._rng.uniform(0.5, 1.5))
            backoff_ms = min(2 * backoff_ms, LAST_BACKOFF_MS)
        raise native.PlatformUnknownError(
            "the append's answer was lost and the record was not found in time"
        )

    async def _find(
        self,
        stream: str,
        record_id: str | None,
        data: bytes,
        start: int,
        end_ms: int,
    ) -> tuple[int | None, int]:
        # Returns the offset of the record, if found, and where the next
        # search has to start.
        start = max(1, start)
        while True:
            left_ms = max(1, end_ms - self._clock.now_ms())
            try:
                page = await self._log_service.read(
                    stream,
                    start,
                    PAGE_RECORDS,
                    0,
                    min(left_ms, ATTEMPT_TIMEOUT_MS),
                )
            except native.RecordsExpiredError as error:
                start = error.first
                continue
            by_offset = {record.offset: record for record in page.records}
            while start in by_offset:
                other = by_offset[start].data
                same_id = record_id is not None and _id(other) == record_id
                if same_id or other == data:
                    return start, start
                start += 1
            if start >= page.end:
                self.note_end(stream, page.end)
                return None, start
            if not by_offset:
                raise native.PlatformUnknownError("the log left out records")
            if min(by_offset) > start or left_ms <= 1:
                await self._clock.sleep_ms(FIRST_BACKOFF_MS)
                if self._clock.now_ms() >= end_ms:
                    raise native.PlatformUnknownError("no time left to read")


def _id(data: bytes) -> str | None:
    # Any stream's records are maps with an id; their other fields differ.
    try:
        value: Any = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    found = value.get("id") if isinstance(value, dict) else None
    return found if isinstance(found, str) else None
