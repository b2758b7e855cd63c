"""Adapters for the control API of engines."""

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
        # Address and adapter by instance id.
        self._adapters: dict[str, tuple[str, native.ModelEngine]] = {}

    def get(self, instance: str) -> native.ModelEngine | None:
        """Returns the adapter of an instance; None if it was never listed.

        A new adapter is made when the address of the instance has changed.
        """
        cached = self._adapters.get(instance)
        listed = self._inventory.instances.get(instance)
        if listed is None:
            return cached[1] if cached else None
        if cached is None or cached[0] != listed.address:
            cached = (listed.address, self._engine_at(listed.address))
            self._adapters[instance] = cached
        return cached[1]

    async def retain(self, instances: Iterable[str]) -> None:
        """Closes the adapters of all instances except the given ones."""
        retained = set(instances)
        for id in [id for id in self._adapters if id not in retained]:
            await close_engine(self._adapters.pop(id)[1])

    async def close(self) -> None:
        """Closes all adapters."""
        await self.retain(())


async def close_engine(engine: native.ModelEngine) -> None:
    """Closes an engine adapter if it has a `close` method."""
    close = getattr(engine, "close", None)
    if close is not None:
        await close()
