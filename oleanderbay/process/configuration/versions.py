"""The offsets in force at the entries, as this entry knows them."""

from collections.abc import Sequence

from oleanderbay.process.configuration import replication, submission


class Versions:
    """Implements `EntryVersions` with what heartbeats say."""

    def __init__(self, replicated: replication.Replication) -> None:
        self.replicated = replicated

    def entries(self) -> Sequence[submission.EntryVersion]:
        """Returns one line for each entry that is heard from."""
        members = self.replicated.members
        me = members.me
        age_ms = self.replicated.lease.confirmation_age_ms()
        lines = [
            submission.EntryVersion(
                entry=me.id,
                start_id=me.start_id,
                zone=me.zone,
                offset=self.replicated.follower.current.offset,
                age_ms=-1 if age_ms is None else age_ms,
                counts=members.counts(me),
            )
        ]
        for state in members.heard():
            peer_age_ms = state.heartbeat.confirmation_age_ms
            lines.append(
                submission.EntryVersion(
                    entry=state.entry.id,
                    start_id=state.entry.start_id,
                    zone=state.entry.zone,
                    offset=state.heartbeat.offset,
                    age_ms=-1 if peer_age_ms is None else peer_age_ms,
                    counts=members.counts(state.entry),
                )
            )
        return lines

    def known_count(self) -> int:
        """Size of the known set that majorities are counted against."""
        return self.replicated.members.known_count()
