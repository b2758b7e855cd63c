"""A stand-in for the platform's log service, in process and over HTTP.

Faults are set on `Log.faults`, or over HTTP with `POST /faults` and a JSON
object of the fields to change; `GET /faults` shows them.
`POST /streams/{stream}/expire` with `{"before": offset}` drops old records.
"""

import asyncio
import dataclasses
from typing import Any

import msgpack
from aiohttp import web

from oleanderbay.native import interfaces
from oleanderbay.process import clock as clocks
from oleanderbay.process import deadline
from oleanderbay.standins import server


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """What goes wrong at the log.

    Attributes:
        down: Every call is refused and nothing is done.
        append_delay_ms: Time that each append takes.
        read_delay_ms: Time that each read takes.
        lose_answers: Number of next appends whose answer is lost after they
            took effect.
        hold_appends: Number of next appends that are answered as unknown and
            take effect only after `hold_ms`.
        hold_ms: See `hold_appends`.
        reorder_pages: Whether pages list their records backwards.
        skip_records: Number of next pages that leave out their first record.
    """

    down: bool = False
    append_delay_ms: int = 0
    read_delay_ms: int = 0
    lose_answers: int = 0
    hold_appends: int = 0
    hold_ms: int = 0
    reorder_pages: bool = False
    skip_records: int = 0


class Stream:
    """The records of one stream."""

    def __init__(self) -> None:
        self.first = 1
        self.records: list[tuple[int, bytes]] = []
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset that the next append will get."""
        return self.first + len(self.records)


class Log:
    """The state of the log; each client has a `LogClient`.

    Attributes:
        faults: What goes wrong for all clients.
        retention_ms: Age after which records expire; 0 keeps all.
        retention_records: Number of records that a stream keeps; 0 keeps all.
        appended: Number of appends that took effect.
        held: Appends that their client no longer waits for.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        retention_ms: int = 0,
        retention_records: int = 0,
        faults: Faults | None = None,
    ) -> None:
        self.clock = clock
        self.faults = faults or Faults()
        self.retention_ms = retention_ms
        self.retention_records = retention_records
        self.appended = 0
        self.streams: dict[str, Stream] = {}
        self.held: set[asyncio.Future[Any]] = set()

    def stream(self, name: str) -> Stream:
        """Returns a stream, without the records that have expired."""
        stream = self.streams.setdefault(name, Stream())
        if self.retention_ms:
            oldest_ms = self.clock.now_ms() - self.retention_ms
            kept = 0
            while (
                kept < len(stream.records)
                and stream.records[kept][0] < oldest_ms
            ):
                kept += 1
            self.expire(name, stream.first + kept)
        if self.retention_records:
            self.expire(name, stream.end - self.retention_records)
        return stream

    def append_now(self, name: str, data: bytes) -> int:
        """Appends at once, whatever the faults, and returns the offset."""
        stream = self.stream(name)
        offset = stream.end
        stream.records.append((self.clock.now_ms(), data))
        self.appended += 1
        stream.grown.set()
        stream.grown = asyncio.Event()
        return offset

    def read_now(self, name: str, start: int, limit: int) -> interfaces.LogPage:
        """Reads at once, whatever the faults.

        Raises:
            RecordsExpiredError: `start` has expired.
        """
        stream = self.stream(name)
        if start < stream.first:
            raise interfaces.RecordsExpiredError(stream.first)
        index = start - stream.first
        records = tuple(
            interfaces.LogRecord(start + number, data)
            for number, (_, data) in enumerate(
                stream.records[index : index + limit]
            )
        )
        return interfaces.LogPage(records, stream.first, stream.end)

    def expire(self, name: str, before: int) -> None:
        """Drops the records before an offset."""
        stream = self.streams.setdefault(name, Stream())
        count = min(before - stream.first, len(stream.records))
        if count > 0:
            del stream.records[:count]
            stream.first += count

    async def append(self, name: str, data: bytes) -> int:
        """Appends under the faults.

        Raises:
            PlatformUnavailableError: Nothing was appended.
            PlatformUnknownError: The record was or will be appended.
        """
        self.check_up()
        if self.faults.hold_appends > 0:
            self.faults.hold_appends -= 1
            task = asyncio.create_task(
                self._append_later(name, data, self.faults.hold_ms)
            )
            self.held.add(task)
            task.add_done_callback(self.held.discard)
            raise interfaces.PlatformUnknownError("the append is delayed")
        if self.faults.append_delay_ms:
            await self.clock.sleep_ms(self.faults.append_delay_ms)
        offset = self.append_now(name, data)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise interfaces.PlatformUnknownError("the answer was lost")
        return offset

    async def read(
        self, name: str, start: int, limit: int, wait_ms: int
    ) -> interfaces.LogPage:
        """Reads under the faults.

        Raises:
            RecordsExpiredError: `start` has expired.
            PlatformUnavailableError: The log is down.
        """
        self.check_up()
        if self.faults.read_delay_ms:
            await self.clock.sleep_ms(self.faults.read_delay_ms)
        if wait_ms > 0 and start >= self.stream(name).end:
            try:
                await deadline.within(
                    self.clock, self.stream(name).grown.wait(), wait_ms
                )
            except TimeoutError:
                pass
            self.check_up()
        page = self.read_now(name, start, limit)
        if self.faults.skip_records > 0 and page.records:
            self.faults.skip_records -= 1
            page = dataclasses.replace(page, records=page.records[1:])
        if self.faults.reorder_pages:
            page = dataclasses.replace(page, records=page.records[::-1])
        return page

    def check_up(self) -> None:
        """Refuses a call while the log is down.

        Raises:
            PlatformUnavailableError: The log is down.
        """
        if self.faults.down:
            raise interfaces.PlatformUnavailableError("the log is down")

    async def close(self) -> None:
        """Drops the appends that are still delayed."""
        held = list(self.held)
        for task in held:
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)

    async def _append_later(self, name: str, data: bytes, hold_ms: int) -> None:
        await self.clock.sleep_ms(hold_ms)
        self.append_now(name, data)


class LogClient:
    """One client's way to an in-process `Log`.

    Attributes:
        cut: Whether this client alone cannot reach the log.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.cut = False

    async def append(self, stream: str, data: bytes, timeout_ms: int) -> int:
        """Appends a record and returns its offset.

        Raises:
            PlatformUnavailableError: Nothing was appended.
            PlatformUnknownError: The record may be appended, now or later.
        """
        self._check()
        # As over a network, an append that has left is not called back when
        # the client gives up, so it is shielded from the cancellation.
        task = asyncio.ensure_future(self.log.append(stream, data))
        try:
            return await deadline.within(
                self.log.clock, asyncio.shield(task), timeout_ms
            )
        except TimeoutError as error:
            self.log.held.add(task)
            task.add_done_callback(self._finish)
            raise interfaces.PlatformUnknownError(
                "the log did not answer in time"
            ) from error

    async def read(
        self,
        stream: str,
        start: int,
        limit: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> interfaces.LogPage:
        """Reads from an offset, waiting up to `wait_ms` for a first record.

        Raises:
            RecordsExpiredError: `start` is older than what the log holds.
            PlatformError: The log could not be read.
        """
        self._check()
        try:
            page = await deadline.within(
                self.log.clock,
                self.log.read(stream, start, limit, wait_ms),
                timeout_ms,
            )
        except TimeoutError as error:
            raise interfaces.PlatformUnknownError(
                "the log did not answer in time"
            ) from error
        self._check()
        return page

    def _check(self) -> None:
        if self.cut:
            raise interfaces.PlatformUnavailableError("the log is unreachable")

    def _finish(self, task: "asyncio.Future[int]") -> None:
        self.log.held.discard(task)
        if not task.cancelled():
            task.exception()


class LogServer:
    """Serves a `Log` over HTTP.

    Attributes:
        log: The state that is served.
        address: `host:port` once started.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.address = ""
        self._server = server.HttpServer()

    async def start(self, host: str, port: int) -> None:
        """Listens; port 0 takes any free port."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.add_routes(
            [
                web.post("/streams/{stream}/records", self._append),
                web.get("/streams/{stream}/records", self._read),
                web.post("/streams/{stream}/expire", self._expire),
                web.get("/faults", self._show_faults),
                web.post("/faults", self._set_faults),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        await self._server.close()
        await self.log.close()

    async def _append(self, request: web.Request) -> web.Response:
        data = await request.read()
        name = request.match_info["stream"]
        try:
            return web.json_response(
                {"offset": await self.log.append(name, data)}
            )
        except interfaces.PlatformUnavailableError as error:
            return web.json_response({"error": str(error)}, status=503)
        except interfaces.PlatformUnknownError:
            if request.transport is not None:
                request.transport.close()
            return web.Response(status=500)

    async def _read(self, request: web.Request) -> web.Response:
        try:
            start, limit, wait_ms = (
                int(request.query[name])
                for name in ("start", "limit", "wait_ms")
            )
        except (KeyError, ValueError):
            return web.json_response(
                {"error": "start, limit and wait_ms must be integers"},
                status=400,
            )
        try:
            page = await self.log.read(
                request.match_info["stream"], start, limit, wait_ms
            )
        except interfaces.RecordsExpiredError as error:
            return web.json_response({"first": error.first}, status=410)
        except interfaces.PlatformUnavailableError as error:
            return web.json_response({"error": str(error)}, status=503)
        body = msgpack.packb(
            {
                "first": page.first,
                "end": page.end,
                "records": [[r.offset, r.data] for r in page.records],
            }
        )
        return web.Response(body=body, content_type="application/msgpack")

    async def _expire(self, request: web.Request) -> web.Response:
        fields = await request.json()
        self.log.expire(request.match_info["stream"], int(fields["before"]))
        return web.json_response({})

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self.log.faults))

    async def _set_faults(self, request: web.Request) -> web.Response:
        return await set_fields(request, self.log.faults)


async def set_fields(request: web.Request, faults: Any) -> web.Response:
    """Sets the fields of a faults object from a JSON object."""
    fields = await request.json()
    known = {field.name for field in dataclasses.fields(faults)}
    unknown = sorted(set(fields) - known)
    if unknown:
        return web.json_response(
            {"error": f"unknown faults: {', '.join(unknown)}"}, status=400
        )
    for name, value in fields.items():
        setattr(faults, name, value)
    return web.json_response(dataclasses.asdict(faults))
