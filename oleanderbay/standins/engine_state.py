"""Role, load, cache and faults of the engine stand-in."""

import asyncio
import dataclasses
import statistics
import uuid
from collections import OrderedDict, deque
from typing import Any

import aiohttp

from oleanderbay.native import interfaces
from oleanderbay.process import clock as clocks


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """How the stand-in behaves.

    Attributes:
        checks_fencing: Whether it refuses an order with an older fence.
        load_ms: Time to load a model without a weight store.
        weights_address: `host:port` of a weight store to load from.
        weight_bytes: Bytes that a load takes from the weight store.
        token_interval_ms: Time between tokens; 0 for as fast as possible.
        prefill_block_ms: Time per prefix block that is not cached.
        cold_limit: Requests in flight that it can handle when cold.
        warm_after: Requests served after which it is warm.
        max_running: Requests that run at once; more are queued.
        report_lag_ms: Age that a report may reach.
        cache_blocks: Prefix blocks that the cache holds.
        block_bytes: Size of one exported cache block.
    """

    checks_fencing: bool = True
    load_ms: int = 0
    weights_address: str = ""
    weight_bytes: int = 0
    token_interval_ms: float = 0.0
    prefill_block_ms: float = 0.0
    cold_limit: int = 1
    warm_after: int = 4
    max_running: int = 64
    report_lag_ms: int = 0
    cache_blocks: int = 4096
    block_bytes: int = 1024


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in effect; `POST /control/fault` sets any of them.

    Attributes:
        paused: Nothing is read or answered apart from faults and records.
        silent: Number of next requests that are accepted, then get no byte.
        truncate: Number of next requests cut off in the middle.
        truncate_at: Tokens sent before a cut.
        drop_answer: Number of next requests that run but get no answer.
        drop_order_answer: Number of next orders that take effect but get no
            answer.
        skip_events: Number of next cache events that are not published.
        slow: Factor on all times of a request.
    """

    paused: bool = False
    silent: int = 0
    truncate: int = 0
    truncate_at: int = 1
    drop_answer: int = 0
    drop_order_answer: int = 0
    skip_events: int = 0
    slow: float = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """A request in flight at the engine."""

    request_id: str
    attempt: str
    priority: int
    task: "asyncio.Task[Any]"
    start: asyncio.Event


class EngineState:
    """What one engine process knows and what it was told to do.

    Attributes:
        instance: Instance id.
        settings: Fixed behaviour.
        faults: Faults in effect.
        records: Everything executed and every order, oldest first.
        role: The newest order that it obeyed.
        start_id: Process start id; changes with a restart.
        loaded: Model and version in memory.
        ready: Whether the model of its role is loaded.
        served: Requests completed since the process started.
    """

    def __init__(
        self,
        instance: str,
        settings: EngineSettings | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.instance = instance
        self.settings = settings or EngineSettings()
        self.faults = Faults()
        self.records: list[dict[str, Any]] = []
        self.clock = clock or clocks.SystemClock()
        self.awake = asyncio.Event()
        self.awake.set()
        self.running: list[Running] = []
        self.waiting: list[Running] = []
        self._loading: asyncio.Task[None] | None = None
        self._reports = 0
        self._reset()

    def _reset(self) -> None:
        self.start_id = uuid.uuid4().hex
        self.role: interfaces.Order | None = None
        self.loaded = ("", "")
        self.ready = False
        self.served = 0
        self.warm_from = self.settings.warm_after
        self.cache: OrderedDict[int, bytes] = OrderedDict()
        self.cache_sequence = 0
        self.events: deque[interfaces.CacheEvent] = deque(maxlen=1024)
        self.first_ms: deque[float] = deque(maxlen=32)
        self.token_ms: deque[float] = deque(maxlen=32)

    @property
    def cold(self) -> bool:
        """Whether it can handle only light load."""
        return self.served < self.warm_from

    def record(self, event: str, **fields: Any) -> None:
        """Adds to the list of records."""
        self.records.append(
            {"event": event, "at_ms": self.clock.wall_ms(), **fields}
        )

    def report(self) -> interfaces.EngineReport:
        """Returns a report with present figures."""
        role = self.role
        self._reports += 1
        return interfaces.EngineReport(
            instance=self.instance,
            start_id=self.start_id,
            group=role.group if role else "",
            epoch=role.fence if role else 0,
            rank=role.rank if role else 0,
            service=role.service if role else "",
            model=self.loaded[0],
            model_version=self.loaded[1],
            adapter=role.adapter if role and self.ready else "",
            ready=self.ready,
            cold=self.cold,
            running=len(self.running),
            queued=len(self.waiting),
            served=self.served,
            time_to_first_token_ms=_median(self.first_ms),
            time_per_token_ms=_median(self.token_ms),
            cache_sequence=self.cache_sequence,
            sequence=self._reports,
        )

    def order(self, order: interfaces.Order, waited_ms: int = 0) -> str:
        """Obeys or refuses an order.

        Args:
            order: The order.
            waited_ms: How long it lay unread, for example during a pause.

        Returns:
            Why it was refused; empty if it was obeyed.
        """
        refusal = ""
        if self.settings.checks_fencing:
            if self.role is not None and order.fence < self.role.fence:
                refusal = f"fence {order.fence} is below {self.role.fence}"
            elif order.expected_start_id not in ("", self.start_id):
                refusal = "meant for another process start"
            elif waited_ms > order.valid_ms:
                refusal = f"order is {waited_ms} ms old"
        self.record(
            "order",
            order=dataclasses.asdict(order),
            previous_fence=self.role.fence if self.role else 0,
            start_id=self.start_id,
            refusal=refusal,
        )
        if refusal:
            return refusal
        # A repeated order and a new adapter leave requests in flight alone.
        if self.role is None or _work(order) != _work(self.role):
            for running in [*self.running, *self.waiting]:
                self.record("interrupted", request_id=running.request_id)
                running.task.cancel()
        elif self._loading is not None and not self._loading.done():
            self.role = order
            return ""
        self.role = order
        if self._loading is not None:
            self._loading.cancel()
            self._loading = None
        self.ready = bool(order.group) and self.loaded == (
            order.model,
            order.model_version,
        )
        if order.group and not self.ready:
            self._loading = asyncio.get_running_loop().create_task(
                self._load(order)
            )
        return ""

    async def stop_loading(self) -> None:
        """Ends a load in progress and waits for it."""
        if self._loading is not None:
            self._loading.cancel()
            await asyncio.gather(self._loading, return_exceptions=True)

    async def _load(self, order: interfaces.Order) -> None:
        self.loaded = ("", "")
        address = self.settings.weights_address
        if address:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{address}/v1/loads",
                    json={"bytes": self.settings.weight_bytes},
                    timeout=aiohttp.ClientTimeout(total=None),
                ) as response,
            ):
                response.raise_for_status()
        await self.clock.sleep_ms(self.settings.load_ms)
        self.loaded = (order.model, order.model_version)
        self.warm_from = self.served + self.settings.warm_after
        self.cache.clear()
        self.ready = True

    def admit(self) -> None:
        """Starts waiting requests, highest priority first, up to the limit."""
        while self.waiting and len(self.running) < self.settings.max_running:
            best = max(self.waiting, key=lambda r: r.priority)
            self.waiting.remove(best)
            self.running.append(best)
            best.start.set()

    def use_cache(self, blocks: tuple[int, ...]) -> int:
        """Caches the blocks and returns how many were missing."""
        added = [block for block in blocks if block not in self.cache]
        for block in blocks:
            data = block.to_bytes(8, "big") * (self.settings.block_bytes // 8)
            self.cache[block] = data
            self.cache.move_to_end(block)
        removed = []
        while len(self.cache) > self.settings.cache_blocks:
            removed.append(self.cache.popitem(last=False)[0])
        if added or removed:
            self.cache_sequence += 1
            if not self.spend("skip_events"):
                self.events.append(
                    interfaces.CacheEvent(
                        sequence=self.cache_sequence,
                        added=tuple(added),
                        removed=tuple(removed),
                    )
                )
        return len(added)

    def spend(self, fault: str) -> bool:
        """Uses up one occurrence of a counted fault, if any is left."""
        left = getattr(self.faults, fault)
        if left > 0:
            setattr(self.faults, fault, left - 1)
        return bool(left > 0)

    def set_faults(self, wanted: dict[str, Any]) -> None:
        """Sets faults; `cold` and `restart` take effect once."""
        for name, value in wanted.items():
            if name == "cold":
                self.served = 0
                self.warm_from = self.settings.warm_after
                self.cache.clear()
            elif name == "restart":
                for running in [*self.running, *self.waiting]:
                    running.task.cancel()
                if self._loading is not None:
                    self._loading.cancel()
                self._reset()
            elif hasattr(self.faults, name):
                setattr(self.faults, name, value)
            else:
                raise ValueError(f"unknown fault {name!r}")
        if self.faults.paused:
            self.awake.clear()
        else:
            self.awake.set()


def _work(order: interfaces.Order) -> tuple[str, int, str, str]:
    return (order.group, order.rank, order.model, order.model_version)


def _median(values: deque[float]) -> float:
    return float(statistics.median(values)) if values else 0.0
