"""Permit settings shared by all entries, and the choice of owners."""

import dataclasses
from collections.abc import Sequence

import xxhash

from oleanderbay.process import interfaces


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitSettings:
    """Timing of permits; must be the same at all entries.

    Attributes:
        permit_ttl_ms: How long a permit is valid.
        view_max_age_ms: Maximum age at which a peer's confirmation of the
            membership view counts towards an owner's majority. Also the
            maximum age of a load report that a holder without an owner uses.
        max_majority_gap_ms: Longest loss of the majority, or pause of the
            owner, after which it continues to grant. A new owner waits this
            much longer before its first grant, so that two owners never grant
            at the same time.
        orphan_timeout_ms: How long a permit that was not renewed counts,
            unless load reports show earlier that its request has ended.
        max_report_lag_ms: Maximum lag of the figures of a load report behind
            its timestamp. The lag occurs because members' reports are polled.
        request_timeout_ms: Timeout of a permit request to an owner.
        poll_ms: Interval of permit requests while requests wait for permits.
        idle_ms: How long a holder keeps a spare permit after its last use.
    """

    permit_ttl_ms: int = 2_000
    view_max_age_ms: int = 2_000
    max_majority_gap_ms: int = 500
    orphan_timeout_ms: int = 60_000
    max_report_lag_ms: int = 1_000
    request_timeout_ms: int = 500
    poll_ms: int = 50
    idle_ms: int = 5_000

    @property
    def first_grant_delay_ms(self) -> int:
        """How long an owner must have had a majority before its first grant."""
        return (
            self.view_max_age_ms + self.permit_ttl_ms + self.max_majority_gap_ms
        )


def owner_of(
    upstream: str, entries: Sequence[interfaces.Entry]
) -> interfaces.Entry:
    """Selects the owner of an upstream's permits by rendezvous hashing."""
    return max(
        entries,
        key=lambda entry: (
            xxhash.xxh3_64_intdigest(f"{upstream}|{entry.start_id}".encode()),
            entry.start_id,
        ),
    )
