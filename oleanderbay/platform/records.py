"""The platform's records as product types."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from oleanderbay.gateway import interfaces, table, workers
from oleanderbay.platform import names

KINDS = {
    "idempotent": table.RouteKind.IDEMPOTENT,
    "non_idempotent": table.RouteKind.NON_IDEMPOTENT,
    "streaming": table.RouteKind.STREAM,
}
STATES = {
    "joining": workers.MemberState.JOINING,
    "ready": workers.MemberState.READY,
    "open": workers.MemberState.OPEN,
    "closing": workers.MemberState.CLOSING,
    "broken": workers.MemberState.BROKEN,
}
# A number that is infinite is an arithmetic error, and a deeply nested text
# exceeds the recursion limit.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class JsonDecoder:
    """Reads the records of the store."""

    def table(self, value: bytes) -> table.RoutingTable | str:
        """Reads a configuration; a text says what is wrong."""
        try:
            return _table(json.loads(value))
        except MALFORMED as error:
            return f"{type(error).__name__}: {error}"

    def worker(self, key: str, value: bytes) -> workers.Worker | str:
        """Reads a worker's record; a text says what is wrong."""
        try:
            return _worker(key, json.loads(value))
        except MALFORMED as error:
            return f"{type(error).__name__}: {error}"

    def is_configuration(self, key: str) -> bool:
        """Whether a key holds the configuration."""
        return key == names.CONFIGURATION_KEY

    def evacuated_zone(self, key: str) -> str | None:
        """Returns the zone whose evacuation a key stands for."""
        if not key.startswith(names.EVACUATION_PREFIX):
            return None
        return key.removeprefix(names.EVACUATION_PREFIX)


def report(body: Mapping[str, Any], worker_id: str) -> interfaces.Report:
    """Reads a worker's report.

    Raises:
        ValueError, TypeError, KeyError: It is malformed.
    """
    return interfaces.Report(
        worker_id=worker_id,
        membership=_membership(body.get("group")),
        models=_model_names(body),
        staged=_staged(body),
        born_ms=int(body.get("born") or 0),
        in_flight=int(body.get("in_flight") or 0),
        queued=int(body.get("queue_depth") or 0),
        pace=float(body.get("pace") or 1.0),
    )


def _worker(key: str, body: Any) -> workers.Worker:
    state = _text(body["state"])
    if state not in ("ready", "draining"):
        raise ValueError(f"state {state!r}")
    host, _, port = _text(body["address"]).rpartition(":")
    if not host or not 0 < int(port) < 65_536:
        raise ValueError("address")
    slots = body.get("slots", 1)
    if type(slots) is not int or slots < 1:
        raise ValueError("slots")
    return workers.Worker(
        id=key,
        service=_text(body["service"]),
        address=f"{host}:{port}",
        zone=_text(body["zone"]),
        domain=_text(str(body["domain"])) if body.get("domain") else "",
        slots=slots,
        draining=state == "draining",
        cold_remaining_ms=int(body.get("cold_remaining_ms") or 0),
        started_ms=int(body.get("born") or 0),
        sequence=int(body.get("sequence") or 0),
        models=_model_names(body),
        staged=_staged(body),
        membership=_membership(body.get("group")),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected text, found {value!r}")
    # JSON can hold lone surrogates, which no protocol can carry.
    value.encode()
    return value


def _model_names(body: Mapping[str, Any]) -> tuple[str, ...]:
    return tuple(_text(model["name"]) for model in body.get("models") or ())


def _staged(body: Mapping[str, Any]) -> frozenset[str]:
    return frozenset(
        _text(item["name"] if isinstance(item, Mapping) else item)
        for item in body.get("staged") or ()
    )


def _membership(body: Any) -> workers.Membership | None:
    if not body or not body.get("name"):
        return None
    return workers.Membership(
        group=_text(body["name"]),
        epoch=int(body["epoch"]),
        rank=int(body["rank"]),
        state=STATES[body["state"]],
    )


def _table(body: Any) -> table.RoutingTable:
    hosts: dict[str, list[table.Route]] = {}
    for item in body["routes"]:
        route = _route(item)
        hosts.setdefault(route.host, []).append(route)
    teams = {
        _text(key): table.Team(
            name=_text(item["name"]), priority=item.get("priority")
        )
        for item in body.get("tenants") or ()
        for key in item.get("api_keys") or ()
    }
    services = [_service(item) for item in body["services"]]
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
        limits=_limits(body.get("limits") or {}),
    )


def _limits(body: Mapping[str, Any]) -> table.Limits:
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


def _route(body: Mapping[str, Any]) -> table.Route:
    split: Sequence[Any] = body.get("traffic_split") or (
        {"service": body["service"], "weight": 1},
    )
    return table.Route(
        name=_text(body["name"]),
        host=_text(body["host"]).lower(),
        path_prefix=_text(body["path_prefix"]),
        kind=KINDS[body["kind"]],
        timeout_ms=int(body["timeout_ms"]),
        latency_target_ms=int(
            body.get("target_latency_ms") or body["timeout_ms"]
        ),
        gap_target_ms=int(body.get("target_gap_ms") or 0),
        priority=int(body.get("priority") or 0),
        service_weights=tuple(
            (_text(part["service"]), float(part["weight"])) for part in split
        ),
        max_attempts=max(1, int(body.get("max_attempts") or 1)),
        public=bool(body.get("public")),
        resumable=bool(body.get("resumable")),
    )


def _service(body: Mapping[str, Any]) -> table.Service:
    engine = body.get("engine")
    return table.Service(
        name=_text(body["name"]),
        health_path=str(body.get("health_path") or ""),
        max_connections=int(body.get("max_connections") or 0),
        cold_requests_per_s=float(body.get("cold_per_s") or 0.0),
        engine=_engine(engine) if engine else None,
    )


def _engine(body: Mapping[str, Any]) -> table.Engine:
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
        models=tuple(_model(item) for item in body.get("models") or ()),
    )


def _model(body: Mapping[str, Any]) -> table.Model:
    return table.Model(
        name=_text(body["name"]),
        group_size=max(1, int(body.get("size") or 1)),
        expected_share=float(body.get("share") or 0.0),
        time_factor=float(body.get("pace") or 1.0),
        load_ms=round(float(body.get("load_s") or 0.0) * 1_000),
        warm_load_ms=round(float(body.get("warm_s") or 0.0) * 1_000),
    )
