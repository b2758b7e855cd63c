"""State of one request across its attempts."""

import dataclasses
from typing import TYPE_CHECKING

from oleanderbay.gateway import interfaces, table

if TYPE_CHECKING:
    from oleanderbay.gateway import silent_answers


@dataclasses.dataclass(slots=True)
class RequestState:
    """State of one request across its attempts.

    Attributes:
        caller_request: The request as it was received.
        route: Its route.
        service: The service that it goes to.
        team: The calling team; None if it is not known.
        deadline_ms: Monotonic time by which the request must be answered.
        last_event_id: Id of the last event that the caller has received; -1
            for none.
        possible_runs: Number of attempts that may have run.
        possible_arrivals: Number of attempts that may have reached a worker.
        refusals: Number of attempts that a worker refused without running
            them.
        events: Number of complete events of the current attempt.
        waits_since_ms: Monotonic time since which the caller waits for the
            response, or for the next event of a stream.
        tried_workers: Ids of the workers that it was sent to.
        may_have_run: Whether any worker may have run it.
        fingerprint: What it shares with repeats of the same request.
        stream_start: Status and media type of the stream that the caller has
            the beginning of; None before that.
        has_unnumbered_events: Whether the caller has received an event without
            an id. A stream with such events can't be resumed.
        silent: The answer that the caller has the beginning of, while another
            worker is asked for the rest; None if there is none.
    """

    caller_request: interfaces.CallerRequest
    route: table.Route
    service: table.Service
    team: table.Team | None
    deadline_ms: int
    waits_since_ms: int
    last_event_id: int = -1
    possible_runs: int = 0
    possible_arrivals: int = 0
    refusals: int = 0
    events: int = 0
    tried_workers: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    fingerprint: str = ""
    stream_start: tuple[int, str] | None = None
    has_unnumbered_events: bool = False
    silent: "silent_answers.SilentAnswer | None" = None

    def close_silent(self) -> None:
        """Closes the answer of a worker that fell silent, if there is one."""
        silent, self.silent = self.silent, None
        if silent is not None:
            silent.close()

    @property
    def next_event_due_ms(self) -> int:
        """Monotonic time by which the caller must get something, or leaves."""
        return min(
            self.deadline_ms, self.waits_since_ms + self.route.patience_ms
        )

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def model(self) -> str:
        """The model that is asked for; empty for a plain service.

        Callers choose the name that they send, so state may be kept only by
        this one, which the configuration has.
        """
        return self.caller_request.model if self.service.uses_groups else ""

    @property
    def latency_key(self) -> str:
        """Key for typical latencies: the model or the service."""
        return self.model or self.service.name
