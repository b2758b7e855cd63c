"""Parsers of the platform's JSON records into the gateway's types."""

import json
import re
from collections.abc import Mapping
from typing import Any

from oleanderbay.gateway import interfaces, table, workers
from oleanderbay.platform import fields, names

ROUTE_KINDS = {
    "idempotent": table.RouteKind.IDEMPOTENT,
    "non_idempotent": table.RouteKind.NON_IDEMPOTENT,
    "streaming": table.RouteKind.STREAM,
}
MEMBER_STATES = {
    "joining": workers.MemberState.JOINING,
    "ready": workers.MemberState.READY,
    "open": workers.MemberState.OPEN,
    "closing": workers.MemberState.CLOSING,
    "broken": workers.MemberState.BROKEN,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}
GROUP_FIELDS = ("models", "domain", "staged", "group")
# Largest numbers that a record may hold. Those of workers are sent to other
# gateways and used in calculations with floating-point numbers.
MAX_SLOTS = 1_000_000
MAX_RANK = 1_000_000
MAX_COLD_MS = 86_400_000
MAX_COUNT = 2**53
MAX_PACE = 1_000_000
MAX_PRIORITY = 1_000_000
MAX_EPOCH = 2**63 - 1
# Longest reason for which a record is rejected, in characters.
MAX_REASON = 200
ADDRESS = re.compile(r"([A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
# Ids of workers are sent in headers.
WORKER_ID = re.compile(r"[!-~]+")
# Exceptions that parsing an untrusted record may raise. Converting an infinite
# number raises ArithmeticError, deeply nested JSON raises RecursionError.
PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class JsonDecoder:
    """Decodes the records of the metadata store."""

    def table(self, value: bytes) -> table.RoutingTable | str:
        """Parses a configuration; returns an error message if invalid."""
        try:
            return _parse_table(json.loads(value))
        except PARSE_ERRORS as error:
            return _reason(error)

    def worker(self, key: str, value: bytes) -> workers.Worker | str:
        """Parses a worker's record; returns an error message if invalid."""
        try:
            return _parse_worker(key, json.loads(value))
        except PARSE_ERRORS as error:
            return _reason(error)

    def is_configuration(self, key: str) -> bool:
        """Whether a key is that of the configuration record."""
        return key == names.CONFIGURATION_KEY

    def evacuated_zone(self, key: str) -> str | None:
        """Returns the zone that a key marks as evacuated; None if none."""
        if not key.startswith(names.EVACUATION_PREFIX):
            return None
        return key.removeprefix(names.EVACUATION_PREFIX)


def _reason(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_REASON]


def parse_report(body: Mapping[str, Any], worker_id: str) -> interfaces.Report:
    """Parses a worker's report.

    Raises:
        ValueError, TypeError, KeyError: The report is malformed.
    """
    return interfaces.Report(
        worker_id=worker_id,
        membership=_parse_membership(body),
        models=_model_names(body),
        staged=_staged_models(body),
        started_ms=fields.whole(body, "born", MAX_COUNT),
        accepted_orders=(
            None
            if body.get("sequence") is None
            else fields.whole(body, "sequence", MAX_COUNT)
        ),
        # No decision rests on these so far, so a report may lack them.
        in_flight=int(fields.number(body, "in_flight", MAX_COUNT, default=0)),
        queued=int(fields.number(body, "queue_depth", MAX_COUNT, default=0)),
        time_factor=fields.number(body, "pace", MAX_PACE, default=0) or 1.0,
    )


def _parse_worker(key: str, body: Any) -> workers.Worker:
    if not WORKER_ID.fullmatch(key):
        raise ValueError("the key is no worker's id")
    if not isinstance(body, Mapping):
        raise ValueError("the record is not an object")
    address = ADDRESS.fullmatch(fields.text(body, "address"))
    if address is None or not 0 < int(address[2]) < 65_536:
        raise ValueError("address is not host:port")
    # A worker that serves models in groups states all of these, any other none.
    if any(name in body for name in GROUP_FIELDS):
        for name in GROUP_FIELDS:
            if name not in body:
                raise ValueError(f"{name} is missing")
    # No decision rests on the version; an entry without it is not a worker's.
    fields.text(body, "version")
    return workers.Worker(
        id=key,
        service=fields.text(body, "service"),
        address=f"{address[1]}:{int(address[2])}",
        zone=fields.text(body, "zone"),
        domain=fields.text(body, "domain", default=""),
        slots=fields.whole(body, "slots", MAX_SLOTS, least=1),
        draining=fields.choice(body, "state", DRAINING_BY_STATE),
        remaining_cold_ms=int(
            fields.number(body, "cold_remaining_ms", MAX_COLD_MS)
        ),
        started_ms=fields.whole(body, "born", MAX_COUNT),
        sequence=fields.whole(body, "sequence", MAX_COUNT),
        models=_model_names(body),
        staged=_staged_models(body),
        membership=_parse_membership(body),
    )


def _model_names(body: Mapping[str, Any]) -> tuple[str, ...]:
    return tuple(
        fields.text(fields.as_mapping(item, "models"), "name")
        for item in fields.array(body, "models")
    )


def _staged_models(body: Mapping[str, Any]) -> frozenset[str]:
    return frozenset(
        fields.text(
            item if isinstance(item, Mapping) else {"staged": item},
            "name" if isinstance(item, Mapping) else "staged",
        )
        for item in fields.array(body, "staged")
    )


def _parse_membership(body: Mapping[str, Any]) -> workers.Membership | None:
    if body.get("group") is None:
        return None
    group = fields.mapping(body, "group")
    return workers.Membership(
        group=fields.text(group, "name"),
        epoch=fields.whole(group, "epoch", MAX_EPOCH),
        rank=fields.whole(group, "rank", MAX_RANK),
        state=fields.choice(group, "state", MEMBER_STATES),
    )


def _parse_table(body: Any) -> table.RoutingTable:
    body = fields.as_mapping(body, "configuration")
    hosts: dict[str, list[table.Route]] = {}
    for item in fields.array(body, "routes", required=True):
        route = _parse_route(fields.as_mapping(item, "routes"))
        hosts.setdefault(route.host, []).append(route)
    teams = {
        fields.text({"api_keys": key}, "api_keys"): table.Team(
            name=fields.text(item, "name"),
            priority=None
            if item.get("priority") is None
            else int(fields.number(item, "priority", MAX_PRIORITY)),
        )
        for item in fields.array(body, "tenants")
        for key in fields.array(fields.as_mapping(item, "tenants"), "api_keys")
    }
    services = [
        _parse_service(fields.as_mapping(item, "services"))
        for item in fields.array(body, "services", required=True)
    ]
    return table.RoutingTable(
        version=fields.whole(body, "version", MAX_COUNT),
        services={service.name: service for service in services},
        hosts={
            host: tuple(
                sorted(routes, key=lambda r: len(r.path_prefix), reverse=True)
            )
            for host, routes in hosts.items()
        },
        teams=teams,
        key_required="tenants" in body,
        limits=_parse_limits(fields.mapping(body, "limits")),
    )


def _parse_limits(body: Mapping[str, Any]) -> table.Limits:
    stated = {
        name: int(fields.number(body, name, default=0))
        for name in (
            "max_header_bytes",
            "max_body_bytes",
            "header_timeout_ms",
            "idle_timeout_ms",
        )
    }
    return table.Limits(**{k: v for k, v in stated.items() if v})


def _parse_route(body: Mapping[str, Any]) -> table.Route:
    timeout_ms = int(fields.number(body, "timeout_ms"))
    split = fields.array(body, "traffic_split") or (
        {"service": fields.text(body, "service"), "weight": 1},
    )
    return table.Route(
        name=fields.text(body, "name"),
        host=fields.text(body, "host").lower(),
        path_prefix=fields.text(body, "path_prefix"),
        kind=fields.choice(body, "kind", ROUTE_KINDS),
        timeout_ms=timeout_ms,
        latency_target_ms=_number(body, "target_latency_ms") or timeout_ms,
        gap_target_ms=_number(body, "target_gap_ms"),
        priority=int(fields.number(body, "priority", MAX_PRIORITY, default=0)),
        service_weights=tuple(
            (fields.text(part, "service"), fields.number(part, "weight"))
            for part in (fields.as_mapping(p, "traffic_split") for p in split)
        ),
        max_attempts=max(1, _number(body, "max_attempts")),
        public=fields.flag(body, "public"),
        resumable=fields.flag(body, "resumable"),
    )


def _parse_service(body: Mapping[str, Any]) -> table.Service:
    engine = fields.mapping(body, "engine")
    return table.Service(
        name=fields.text(body, "name"),
        health_path=fields.text(body, "health_path", default=""),
        max_connections=_number(body, "max_connections"),
        cold_requests_per_s=fields.number(body, "cold_per_s", default=0),
        engine=_parse_engine(engine) if engine else None,
    )


def _parse_engine(body: Mapping[str, Any]) -> table.Engine:
    usual = fields.mapping(body, "usual")
    return table.Engine(
        slots=max(1, _number(body, "slots")),
        kv_capacity_tokens=_number(body, "kv_capacity_tokens"),
        step_ms=fields.number(body, "step_ms", default=0),
        step_ms_per_request=fields.number(body, "per_seq_ms", default=0),
        step_ms_per_1000_context_tokens=fields.number(
            body, "context_per_k", default=0
        ),
        prefill_tokens_per_ms=(
            fields.number(body, "read_per_s", default=0) or 1_000.0
        )
        / 1_000,
        prefill_ms_per_million_token_pairs=fields.number(
            body, "pairs_per_m", default=0
        ),
        prefill_chunk_tokens=_number(body, "chunk") or 2_048,
        steps_per_pass=max(1, _number(body, "stride")),
        loads_per_s=(fields.number(body, "loads_per_s", default=0) or 1.0),
        full_speed_loads=max(1, _number(body, "loads_at_once")),
        max_staged_models=_number(body, "cached_prefixes") or 1,
        cross_domain_factor=(fields.number(body, "far_x", default=0) or 1.0),
        formation_ms=_number(body, "form_ms"),
        mean_prompt_tokens=_number(usual, "prompt"),
        mean_output_tokens=_number(usual, "answer"),
        models=tuple(
            _parse_model(fields.as_mapping(item, "models"))
            for item in fields.array(body, "models")
        ),
    )


def _parse_model(body: Mapping[str, Any]) -> table.Model:
    return table.Model(
        name=fields.text(body, "name"),
        group_size=max(1, _number(body, "size")),
        expected_share=fields.number(body, "share", default=0),
        time_factor=(fields.number(body, "pace", default=0) or 1.0),
        load_ms=round(fields.number(body, "load_s", default=0) * 1_000),
        warm_load_ms=round(fields.number(body, "warm_s", default=0) * 1_000),
    )


def _number(body: Mapping[str, Any], name: str) -> int:
    """Returns a number without its fraction; 0 if the field is absent."""
    return int(fields.number(body, name, default=0))
