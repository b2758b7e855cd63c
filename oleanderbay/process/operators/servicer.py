"""Answers to operators' calls."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

import grpc

from oleanderbay.process.configuration import submission
from oleanderbay.process.operators import watches
from oleanderbay.schema import convert, operators_pb2, operators_pb2_grpc
from oleanderbay.version import (
    changes,
    fields,
    imports,
    records,
    resources,
    stages,
    verdicts,
)

MAX_REASON_LENGTH = 1_000


class Servicer(operators_pb2_grpc.OperatorsServicer):
    """Answers operators' calls from the catalogue and the log.

    Expected refusals are typed answers; a gRPC error means that the call
    itself was wrong, such as an unknown kind.
    """

    def __init__(
        self, submissions: submission.Submission, watching: watches.Watches
    ) -> None:
        self.submissions = submissions
        self.watching = watching
        self.source = submissions.source
        self.versions = submissions.versions

    async def Get(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Returns one resource by id, or by fleet and name."""
        await _check_kind(request.kind, context)
        state = self.source.current
        if request.id:
            resource = state.get(request.kind, request.id)
        else:
            resource = state.find(request.kind, request.fleet, request.name)
        if resource is None:
            await context.abort(
                grpc.StatusCode.NOT_FOUND,
                f"there is no {request.kind} "
                f"{request.id or request.name!r} in force",
            )
            raise AssertionError("abort raises")
        return operators_pb2.GetResponse(
            resource=convert.resource_to_message(resource),
            offset=state.offset,
        )

    async def List(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Returns resources of one kind or of all kinds."""
        if request.kind:
            await _check_kind(request.kind, context)
        state = self.source.current
        kinds = [request.kind] if request.kind else resources.RESOURCE_KINDS
        return operators_pb2.ListResponse(
            resources=[
                convert.resource_to_message(resource)
                for kind in kinds
                for resource in state.all(kind)
                if not request.fleet
                or request.fleet in (resource.fleet, resource.id)
            ],
            offset=state.offset,
        )

    async def Watch(  # noqa: N802
        self, request: Any, context: Any
    ) -> AsyncIterator[Any]:
        """Sends the state, then updates."""
        for kind in request.kinds:
            await _check_kind(kind, context)
        updates = self.watching.watch(
            frozenset(request.kinds), request.after_offset
        )
        try:
            async with contextlib.aclosing(updates):
                async for update in updates:
                    yield _event(update)
        except watches.TooManyWatchesError as error:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))

    async def Plan(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Tells what Apply would answer now."""
        state = self.source.current
        try:
            change = convert.change_from_message(request.change)
        except fields.FieldsError as error:
            conflicts = _mistakes(error)
        else:
            conflicts = changes.check(state, change)
        return operators_pb2.PlanResponse(
            offset=state.offset, conflicts=_conflicts(conflicts)
        )

    async def Apply(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Applies a set of changes as a whole or not at all."""
        try:
            change = convert.change_from_message(request.change)
        except fields.FieldsError as error:
            return _refused(request.request_id, _mistakes(error))
        conflicts = tuple(
            conflict
            for upsert in change.upserts
            for conflict in changes.invalid(upsert.resource)
        )
        if not conflicts and not change.upserts and not change.deletes:
            conflicts = (_invalid("change", "", "must not be empty"),)
        if conflicts:
            # These don't depend on the state, so no entry would accept them
            # and no append is needed to decide.
            return _refused(request.request_id, conflicts)
        result = await self.submissions.submit(
            change, request.request_id, _timeout_ms(request)
        )
        return _response(result)

    async def ChangeStatus(  # noqa: N802
        self, request: Any, context: Any
    ) -> Any:
        """Returns a planned change and how far it is in force."""
        state = self.source.current
        change = state.get("planned_change", request.id)
        if not isinstance(change, resources.PlannedChange):
            await context.abort(
                grpc.StatusCode.NOT_FOUND,
                f"there is no planned change {request.id!r} in force",
            )
            raise AssertionError("abort raises")
        return operators_pb2.ChangeStatusResponse(
            change=convert.to_message(change, operators_pb2.PlannedChange),
            offset=state.offset,
            in_effect=stages.in_effect(change),
            entries_applied=sum(
                entry.offset >= change.version
                for entry in self.versions.entries()
            ),
            entries_known=self.versions.known_count(),
        )

    async def CancelChange(  # noqa: N802
        self, request: Any, context: Any
    ) -> Any:
        """Cancels a planned change that is not final."""
        change = self.source.current.get("planned_change", request.id)
        expected = request.expected or (change.version if change else 0)
        if len(request.reason) > MAX_REASON_LENGTH:
            conflict = _invalid(
                "reason",
                fields.shown(request.reason),
                f"is over {MAX_REASON_LENGTH} characters",
            )
            return _refused(request.request_id, (conflict,))
        result = await self.submissions.submit(
            records.Stage(
                change=request.id,
                expected=expected,
                stage=resources.ChangeStage.CANCELLED,
                detail=request.reason or "cancelled by an operator",
            ),
            request.request_id,
            _timeout_ms(request),
            same_body=False,
        )
        return _response(result)

    async def Where(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Returns, for each entry, the offset in force and its age."""
        return operators_pb2.WhereResponse(
            entries=[
                operators_pb2.EntryVersion(**dataclasses.asdict(entry))
                for entry in self.versions.entries()
            ],
            entries_known=self.versions.known_count(),
        )

    async def Import(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Adds the resources of another fleet, if nothing conflicts."""
        mistakes: list[fields.Mistake] = []
        incoming = []
        for index, item in enumerate(request.resources):
            try:
                incoming.append(
                    convert.resource_from_message(item, f"resources[{index}]")
                )
            except fields.FieldsError as error:
                mistakes.extend(error.mistakes)
        if mistakes:
            return operators_pb2.ImportResponse(
                conflicts=_conflicts(
                    _mistakes(fields.FieldsError(tuple(mistakes)))
                )
            )
        report = imports.examine(self.source.current, tuple(incoming))
        response = operators_pb2.ImportResponse(
            clashes=[
                operators_pb2.NameClash(**dataclasses.asdict(clash))
                for clash in report.clashes
            ],
            conflicts=_conflicts(report.conflicts),
            to_create=len(report.change.upserts),
            already_present=report.already_present,
        )
        # A retry finds its own resources and must still get its answer.
        record_id = records.id_of_request(request.request_id)
        known = request.request_id and self.source.current.verdict(record_id)
        if request.commit and (
            known or (report.is_clear and report.change.upserts)
        ):
            result = await self.submissions.submit(
                report.change,
                request.request_id,
                _timeout_ms(request),
                same_body=False,
            )
            response.result.CopyFrom(_response(result))
        return response


async def _check_kind(kind: str, context: Any) -> None:
    if kind not in resources.RESOURCE_KINDS:
        known = ", ".join(resources.RESOURCE_KINDS)
        await context.abort(
            grpc.StatusCode.INVALID_ARGUMENT,
            f"kind: must be one of {known} (found {fields.shown(kind)})",
        )


def _event(update: watches.Update) -> Any:
    return operators_pb2.WatchEvent(
        offset=update.offset,
        initial=update.initial,
        upserts=[
            convert.resource_to_message(resource) for resource in update.upserts
        ],
        deletes=[
            operators_pb2.ResourceKey(kind=kind, id=id)
            for kind, id in update.deletes
        ],
    )


def _timeout_ms(request: Any) -> int:
    return max(0, request.timeout_ms)


def _invalid(path: str, value: str, message: str) -> verdicts.Conflict:
    return verdicts.Conflict(
        code=verdicts.ConflictCode.INVALID,
        path=path,
        value=value,
        message=message,
    )


def _mistakes(error: fields.FieldsError) -> tuple[verdicts.Conflict, ...]:
    return tuple(
        _invalid(mistake.path, mistake.value, mistake.reason)
        for mistake in error.mistakes
    )


def _conflicts(conflicts: tuple[verdicts.Conflict, ...]) -> list[Any]:
    return [
        convert.to_message(conflict, operators_pb2.Conflict)
        for conflict in conflicts
    ]


def _refused(request_id: str, conflicts: tuple[verdicts.Conflict, ...]) -> Any:
    return _response(
        submission.Result(
            status=submission.Status.REJECTED,
            request_id=request_id,
            conflicts=conflicts,
            message="rejected before it was appended",
        )
    )


def _response(result: submission.Result) -> Any:
    name = f"STATUS_{result.status.value.upper()}"
    return operators_pb2.ApplyResponse(
        status=operators_pb2.Status.Value(name),
        request_id=result.request_id,
        offset=result.offset,
        conflicts=_conflicts(result.conflicts),
        retry_after_ms=result.retry_after_ms,
        message=result.message,
        entries_applied=result.entries_applied,
        entries_known=result.entries_known,
    )
