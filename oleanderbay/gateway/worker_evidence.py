"""What an attempt shows about its worker."""

from collections.abc import Mapping

from oleanderbay.gateway import (
    health,
    interfaces,
    request_state,
    selection,
    worker_client,
    worker_limits,
    workers,
)


class WorkerEvidence:
    """Records what failures and responses show about their workers."""

    def __init__(
        self,
        selector: selection.WorkerSelector,
        worker_health: health.HealthTracker,
        limits: worker_limits.WorkerLimits,
        translator: interfaces.Translator,
    ) -> None:
        self.selector = selector
        self.worker_health = worker_health
        self.limits = limits
        self.translator = translator

    def record_failure(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        error: worker_client.AttemptError,
    ) -> None:
        """Records that a worker sent no usable response."""
        if error.expired:
            return
        timed_out = error.timed_out and request.service.engine is not None
        if not error.may_have_arrived or error.unreachable or timed_out:
            self.worker_health.suspect(worker.id)
        elif not error.stale_connection and not error.tunnelled:
            self.worker_health.record_failure(worker.id)

    def suspect_reported_member(
        self,
        head: workers.Worker,
        headers: Mapping[str, str],
    ) -> None:
        """Suspects the group member that the head reports as failed.

        The head is suspected too, since workers are selected by group heads.
        """
        member_id = self.translator.failed_worker_id(headers)
        gateway_state = self.selector.gateway_state
        member = gateway_state.workers.get(
            member_id
        ) or gateway_state.missing_members.get(member_id)
        head_membership = head.membership
        member_membership = member.membership if member is not None else None
        if (
            head_membership is None
            or member_membership is None
            or (head_membership.group, head_membership.epoch)
            != (member_membership.group, member_membership.epoch)
        ):
            return
        self.worker_health.suspect(member_id)
        self.worker_health.suspect(head.id)

    def record_statements(
        self,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
        response_class: interfaces.ResponseClass,
    ) -> None:
        """Records what a response says of its worker, if it is that one's."""
        if (
            response_class is not interfaces.ResponseClass.OTHER_WORKER
            and self.translator.is_leaving(worker_response.headers)
        ):
            self.selector.gateway_state.mark_draining(worker)
        if response_class not in (
            interfaces.ResponseClass.OTHER_WORKER,
            interfaces.ResponseClass.UNUSABLE,
        ):
            self.limits.record_statement(
                worker.id,
                self.translator.stated_limit_per_s(worker_response.headers),
            )
            rest_ms = self.translator.rest_ms(
                worker_response.status, worker_response.headers
            )
            if rest_ms:
                self.selector.rests.record(worker, rest_ms)
