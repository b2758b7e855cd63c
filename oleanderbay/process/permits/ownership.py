"""Times that owners and holders of permits agree on, and who owns them."""

import dataclasses
from collections.abc import Sequence

import xxhash

from oleanderbay.process import interfaces


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitSettings:
    """Times and sizes of permits, the same at all entries.

    Attributes:
        permit_ttl_ms: How long a permit is valid.
        view_max_age_ms: Age up to which a peer's confirmation of the view
            counts towards the majority of an owner.
        lapse_ms: Longest loss of the majority, or pause of the owner, after
            which it goes on granting. An owner waits this much longer before
            its first grant, so that another owner cannot have begun.
        orphan_hold_ms: How long an unrenewed permit counts if load reports
            do not show its end before.
        report_age_ms: By how much the figures of a load report may be older
            than the time that it gives: members' reports are polled.
        request_timeout_ms: How long a holder waits for an owner.
        poll_ms: How often a holder with waiting requests asks again.
        idle_ms: How long a holder keeps a spare permit after its last use.
    """

    permit_ttl_ms: int = 2_000
    view_max_age_ms: int = 2_000
    lapse_ms: int = 500
    orphan_hold_ms: int = 60_000
    report_age_ms: int = 1_000
    request_timeout_ms: int = 500
    poll_ms: int = 50
    idle_ms: int = 5_000

    @property
    def hold_ms(self) -> int:
        """How long an owner must have had its majority before it grants."""
        return self.view_max_age_ms + self.permit_ttl_ms + self.lapse_ms


def owner_of(
    upstream: str, entries: Sequence[interfaces.Entry]
) -> interfaces.Entry:
    """Returns the owner of an upstream's permits by rendezvous hashing."""
    return max(
        entries,
        key=lambda e: (
            xxhash.xxh3_64_intdigest(f"{upstream}|{e.start_id}".encode()),
            e.start_id,
        ),
    )
