"""Selects the entries that read the reports of each upstream."""

from collections.abc import Iterable

from oleanderbay.process import interfaces
from oleanderbay.process.membership import rendezvous

READERS_PER_UPSTREAM = 2


def preference_rank(key: str, membership: interfaces.MembershipView) -> int:
    """Returns the position of this entry in the preference order for a key."""
    live = [entry.start_id for entry in membership.live()]
    own_id = membership.me.start_id
    return (
        rendezvous.ranked(key, live).index(own_id)
        if own_id in live
        else len(live)
    )


def select_readers(
    key: str, platform_zone: str, entries: Iterable[interfaces.Entry]
) -> list[str]:
    """Returns the start ids of the entries that read an upstream.

    If any entry is in the zone of the upstream, only such entries are selected.
    Leaving entries are selected only if all entries are leaving: without any
    reader, the requests that they still have to serve would find no eligible
    upstream.
    """
    live = list(entries)
    staying = [entry for entry in live if not entry.leaving] or live
    same_zone = [entry for entry in staying if entry.zone == platform_zone]
    ids = [entry.start_id for entry in same_zone or staying]
    return rendezvous.ranked(key, ids)[:READERS_PER_UPSTREAM]


class ReaderAssignment:
    """Caches the readers of each upstream until the live entries change."""

    def __init__(self, membership: interfaces.MembershipView) -> None:
        self._membership = membership
        self._entries: tuple[interfaces.Entry, ...] = ()
        self._selected: dict[tuple[str, str], list[str]] = {}

    def readers_of(self, key: str, platform_zone: str) -> list[str]:
        """Returns start ids of the entries that read an upstream, best first.

        Without the cache, each polling step would rank hundreds of thousands of
        pairs at the design size.
        """
        entries = self._membership.live()
        if entries != self._entries:
            self._entries = entries
            self._selected.clear()
        selected = self._selected.get((key, platform_zone))
        if selected is None:
            selected = select_readers(key, platform_zone, entries)
            self._selected[key, platform_zone] = selected
        return selected
