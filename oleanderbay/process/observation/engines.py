"""Connections to the control side of engines."""

from collections.abc import Callable, Iterable

from oleanderbay.native import interfaces as native
from oleanderbay.process.observation import inventory

EngineAt = Callable[[str], native.ModelEngine]


class Engines:
    """Keeps one adapter to each instance that this entry reads."""

    def __init__(
        self, listing: inventory.Inventory, engine_at: EngineAt
    ) -> None:
        self._inventory = listing
        self._engine_at = engine_at
        # Address and adapter by instance.
        self._open: dict[str, tuple[str, native.ModelEngine]] = {}

    def get(self, instance: str) -> native.ModelEngine | None:
        """Returns the adapter of an instance that is or was listed."""
        known = self._open.get(instance)
        line = self._inventory.instances.get(instance)
        if line is None:
            return known[1] if known else None
        if known is None or known[0] != line.address:
            known = (line.address, self._engine_at(line.address))
            self._open[instance] = known
        return known[1]

    async def keep(self, instances: Iterable[str]) -> None:
        """Closes the adapters of all other instances."""
        wanted = set(instances)
        for id in [id for id in self._open if id not in wanted]:
            await close_engine(self._open.pop(id)[1])

    async def close(self) -> None:
        """Closes all adapters."""
        await self.keep(())


async def close_engine(engine: native.ModelEngine) -> None:
    """Closes an engine adapter that holds connections."""
    close = getattr(engine, "close", None)
    if close is not None:
        await close()
