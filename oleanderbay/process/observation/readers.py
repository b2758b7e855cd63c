"""Which entries read the reports of which upstreams."""

from collections.abc import Iterable

from oleanderbay.process import interfaces
from oleanderbay.process.membership import rendezvous

READERS_PER_UPSTREAM = 2


def rank(key: str, membership: interfaces.MembershipView) -> int:
    """Returns this entry's place in the order of preference for a key."""
    live = [entry.start_id for entry in membership.live()]
    me = membership.me.start_id
    return rendezvous.ranked(key, live).index(me) if me in live else len(live)


def readers_of(
    key: str, platform_zone: str, entries: Iterable[interfaces.Entry]
) -> list[str]:
    """Returns the start ids of the entries that read an upstream.

    They are in the upstream's zone if any entry is; otherwise anywhere. The
    last entries go on reading while they leave, or what they still have to
    serve would find no eligible upstream.
    """
    known = list(entries)
    staying = [entry for entry in known if not entry.leaving] or known
    near = [entry for entry in staying if entry.zone == platform_zone]
    ids = [entry.start_id for entry in near or staying]
    return rendezvous.ranked(key, ids)[:READERS_PER_UPSTREAM]


class Readers:
    """The readers of each upstream while the live entries stay the same."""

    def __init__(self, membership: interfaces.MembershipView) -> None:
        self._membership = membership
        self._entries: tuple[interfaces.Entry, ...] = ()
        self._chosen: dict[tuple[str, str], list[str]] = {}

    def of(self, key: str, platform_zone: str) -> list[str]:
        """Returns the entries that read an upstream, the preferred one first.

        The choice is kept until the live entries change: at the design size
        it would otherwise rank hundreds of thousands of pairs each step.
        """
        entries = self._membership.live()
        if entries != self._entries:
            self._entries = entries
            self._chosen.clear()
        chosen = self._chosen.get((key, platform_zone))
        if chosen is None:
            chosen = readers_of(key, platform_zone, entries)
            self._chosen[key, platform_zone] = chosen
        return chosen
