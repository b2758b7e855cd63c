"""Parsers of the platform's JSON records into the gateway's types."""

import json
import re
from collections.abc import Mapping, Sequence
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
# Largest numbers that a worker's record may hold. They are sent to other
# gateways and used in calculations with floating-point numbers.
MAX_SLOTS = 1_000_000
MAX_RANK = 1_000_000
MAX_COLD_MS = 86_400_000
MAX_COUNT = 2**53
MAX_PACE = 1_000_000
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


def _non_empty_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, found {value!r}")
    # JSON strings may contain lone surrogates, which can't be encoded as UTF-8;
    # encoding raises UnicodeEncodeError for them.
    value.encode()
    return value


def _parse_table(body: Any) -> table.RoutingTable:
    hosts: dict[str, list[table.Route]] = {}
    for item in body["routes"]:
        route = _parse_route(item)
        hosts.setdefault(route.host, []).append(route)
    teams = {
        _non_empty_string(key): table.Team(
            name=_non_empty_string(item["name"]), priority=item.get("priority")
        )
        for item in body.get("tenants") or ()
        for key in item.get("api_keys") or ()
    }
    services = [_parse_service(item) for item in body["services"]]
    return table.RoutingTable(
        version=int(body["version"]),
        services={service.name: service for service in services},
        hosts={
            host: tuple(
                sorted(routes, key=lambda r: len(r.path_prefix), reverse=True)
            )
            for host, routes in hosts.items()
        },
        teams=teams,
        key_required="tenants" in body,
        limits=_parse_limits(body.get("limits") or {}),
    )


def _parse_limits(body: Mapping[str, Any]) -> table.Limits:
    known = {
        name: int(body[name])
        for name in (
            "max_header_bytes",
            "max_body_bytes",
            "header_timeout_ms",
            "idle_timeout_ms",
        )
        if body.get(name)
    }
    return table.Limits(**known)


def _parse_route(body: Mapping[str, Any]) -> table.Route:
    split: Sequence[Any] = body.get("traffic_split") or (
        {"service": body["service"], "weight": 1},
    )
    return table.Route(
        name=_non_empty_string(body["name"]),
        host=_non_empty_string(body["host"]).lower(),
        path_prefix=_non_empty_string(body["path_prefix"]),
        kind=ROUTE_KINDS[body["kind"]],
        timeout_ms=int(body["timeout_ms"]),
        latency_target_ms=int(
            body.get("target_latency_ms") or body["timeout_ms"]
        ),
        gap_target_ms=int(body.get("target_gap_ms") or 0),
        priority=int(body.get("priority") or 0),
        service_weights=tuple(
            (_non_empty_string(part["service"]), float(part["weight"]))
            for part in split
        ),
        max_attempts=max(1, int(body.get("max_attempts") or 1)),
        public=bool(body.get("public")),
        resumable=bool(body.get("resumable")),
    )


def _parse_service(body: Mapping[str, Any]) -> table.Service:
    engine = body.get("engine")
    return table.Service(
        name=_non_empty_string(body["name"]),
        health_path=str(body.get("health_path") or ""),
        max_connections=int(body.get("max_connections") or 0),
        cold_requests_per_s=float(body.get("cold_per_s") or 0.0),
        engine=_parse_engine(engine) if engine else None,
    )


def _parse_engine(body: Mapping[str, Any]) -> table.Engine:
    usual = body.get("usual") or {}
    return table.Engine(
        slots=max(1, int(body.get("slots") or 1)),
        kv_capacity_tokens=int(body.get("kv_capacity_tokens") or 0),
        step_ms=float(body.get("step_ms") or 0.0),
        step_ms_per_request=float(body.get("per_seq_ms") or 0.0),
        step_ms_per_1000_context_tokens=float(body.get("context_per_k") or 0.0),
        prefill_tokens_per_ms=float(body.get("read_per_s") or 1_000.0) / 1_000,
        prefill_ms_per_million_token_pairs=float(
            body.get("pairs_per_m") or 0.0
        ),
        prefill_chunk_tokens=int(body.get("chunk") or 2_048),
        steps_per_pass=max(1, int(body.get("stride") or 1)),
        loads_per_s=float(body.get("loads_per_s") or 1.0),
        full_speed_loads=max(1, int(body.get("loads_at_once") or 1)),
        max_staged_models=int(body.get("cached_prefixes") or 1),
        cross_domain_factor=float(body.get("far_x") or 1.0),
        formation_ms=int(body.get("form_ms") or 0),
        mean_prompt_tokens=int(usual.get("prompt") or 0),
        mean_output_tokens=int(usual.get("answer") or 0),
        models=tuple(_parse_model(item) for item in body.get("models") or ()),
    )


def _parse_model(body: Mapping[str, Any]) -> table.Model:
    return table.Model(
        name=_non_empty_string(body["name"]),
        group_size=max(1, int(body.get("size") or 1)),
        expected_share=float(body.get("share") or 0.0),
        time_factor=float(body.get("pace") or 1.0),
        load_ms=round(float(body.get("load_s") or 0.0) * 1_000),
        warm_load_ms=round(float(body.get("warm_s") or 0.0) * 1_000),
    )
