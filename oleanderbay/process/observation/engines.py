"""Connections to the control side of engines."""

from collections.abc import Callable, Iterable

from oleanderbay.native import interfaces as native
from oleanderbay.process.observation import inventory

EngineFactory = Callable[[str], native.ModelEngine]


class EngineAdapters:
    """Keeps one adapter to each instance that this entry reads."""

    def __init__(
        self, listing: inventory.Inventory, engine_at: EngineFactory
    ) -> None:
        self._inventory = listing
        self._engine_at = engine_at
        # Address and adapter by instance.
        self._adapters: dict[str, tuple[str, native.ModelEngine]] = {}

    def get(self, instance: str) -> native.ModelEngine | None:
        """Returns the adapter of an instance that is or was listed."""
        cached = self._adapters.get(instance)
        line = self._inventory.instances.get(instance)
        if line is None:
            return cached[1] if cached else None
        if cached is None or cached[0] != line.address:
            cached = (line.address, self._engine_at(line.address))
            self._adapters[instance] = cached
        return cached[1]

    async def retain(self, instances: Iterable[str]) -> None:
        """Closes the adapters of all other instances."""
        wanted = set(instances)
        for id in [id for id in self._adapters if id not in wanted]:
            await close_engine(self._adapters.pop(id)[1])

    async def close(self) -> None:
        """Closes all adapters."""
        await self.retain(())


async def close_engine(engine: native.ModelEngine) -> None:
    """Closes an engine adapter that holds connections."""
    close = getattr(engine, "close", None)
    if close is not None:
        await close()
