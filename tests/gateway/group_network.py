"""Directed links between gateways, workers and the store of a simulation."""

import asyncio
import collections
import itertools

from oleanderbay.process import clock as clocks

STORE = "store"


class SettlingClock(clocks.ManualClock):
    """A clock that lets tasks run until all of them sleep.

    It needs far fewer turns of the event loop than a fixed number after each
    sleeper, which take most of the time of a simulation otherwise.
    """

    async def _settle(self):
        loop = asyncio.get_running_loop()
        await clocks.next_turn()
        while loop._ready:
            await clocks.next_turn()


class Links:
    """Which directed links are cut; a link may be cut several times at once."""

    def __init__(self):
        self._cuts = collections.Counter()

    def cut(self, pairs):
        """Cuts links, given as source and target.

        Returns:
            What `restore` takes to end this cut.
        """
        pairs = tuple(pairs)
        self._cuts.update(pairs)
        return pairs

    def restore(self, pairs):
        """Ends one cut of each of the links."""
        for pair in pairs:
            if self._cuts[pair] <= 1:
                del self._cuts[pair]
            else:
                self._cuts[pair] -= 1

    def restore_all(self):
        """Ends all cuts."""
        self._cuts.clear()

    def is_open(self, source, target):
        """Whether messages pass from a source to a target."""
        return (source, target) not in self._cuts

    def is_open_both_ways(self, one, other):
        """Whether messages pass in both directions."""
        return self.is_open(one, other) and self.is_open(other, one)


def between(sources, targets, direction="both"):
    """Returns the links between two sets of names.

    Args:
        sources: Names on the one side.
        targets: Names on the other side.
        direction: `to` for the links to the targets, `from` for those from
            them, `both` for all.
    """
    pairs = [
        pair
        for pair in itertools.product(sorted(sources), sorted(targets))
        if pair[0] != pair[1]
    ]
    found = set()
    if direction in ("to", "both"):
        found.update(pairs)
    if direction in ("from", "both"):
        found.update((target, source) for source, target in pairs)
    return sorted(found)
