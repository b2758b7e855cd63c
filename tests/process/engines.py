"""Engines that a test can stop, delay and cut off, without sockets."""

from oleanderbay.connection import permissions
from oleanderbay.native import interfaces as native
from oleanderbay.standins import engine_state


class Engine(engine_state.EngineState):
    """An engine whose control side is called directly."""

    def __init__(self, world, line, **settings):
        super().__init__(
            line.id, engine_state.EngineSettings(**settings), world.clock
        )
        self.line = line
        self.down = False
        self.lose_answers = 0
        self.held_orders = []
        self.hold_orders = False
        # Called while the connection for an order is opened.
        self.on_connect = lambda: None

    def reach(self):
        if self.down:
            raise native.PlatformUnavailableError(f"{self.instance} is down")

    def add_stream(self, request_id="stream"):
        """Starts a request that runs until `running` is cleared."""
        self.running.append(_Stream(request_id))


class _Stream:
    """A request in flight; it is its own task and ignores being cancelled."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.task = self

    def cancel(self):
        pass


class EngineClient:
    """The adapter that one entry uses for an engine."""

    def __init__(self, world, entry, engine):
        self.world, self.entry, self.target = world, entry, engine

    def _reach(self):
        self.target.reach()
        if (self.entry, self.target.instance) in self.world.cut:
            raise native.PlatformUnavailableError("partition")

    async def report(self, timeout_ms):
        self._reach()
        return self.target.report()

    async def order(self, order, timeout_ms):
        self._reach()
        self.target.on_connect()
        try:
            permissions.check()
        except permissions.PermissionExpiredError as error:
            raise native.PlatformUnavailableError("not sent") from error
        sent = (self.world.clock.now_ms(), order)
        self.world.sent_orders.append((self.target.instance, *sent))
        if self.target.hold_orders:
            self.target.held_orders.append(order)
            raise native.PlatformUnknownError("held in the network")
        refusal = self.target.order(order)
        if refusal:
            raise native.OrderRefusedError(refusal)
        if self.target.lose_answers:
            self.target.lose_answers -= 1
            raise native.PlatformUnknownError("answer lost")
        return self.target.report()

    async def cache_events(self, since):
        self._reach()
        for event in self.target.events:
            if event.sequence > since:
                yield event

    async def export_cache(self, block, timeout_ms):
        self._reach()
        self.world.clock.set_ms(
            self.world.clock.now_ms() + self.world.block_move_ms
        )
        return self.target.cache[block]

    async def import_cache(self, block, data, timeout_ms):
        self._reach()
        self.target.use_cache((block,))
