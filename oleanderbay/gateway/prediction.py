"""Predicts the times of a request from the engine's figures."""

from oleanderbay.gateway import interfaces, table


def answer_ms(
    engine: table.Engine, route: table.Route, call: interfaces.Call
) -> float:
    """Predicts how long a full group takes to what has to be on time.

    The size of the call is left out where the usual one is known; otherwise
    large requests would wait less and be refused more often.
    """
    model = engine.model(call.model)
    step_ms = engine.step_ms + engine.step_ms_per_request * engine.slots
    prompt = engine.mean_prompt_tokens or call.prompt_tokens
    output = engine.mean_output_tokens or call.output_tokens
    if route.kind is table.RouteKind.STREAM:
        output = 1
    return (model.time_factor if model else 1.0) * (
        prompt / engine.prefill_tokens_per_ms + output * step_ms
    )


def service_ms(engine: table.Engine, call: interfaces.Call) -> float:
    """Predicts how long a request holds a slot of a half-full group."""
    model = engine.model(call.model)
    step_ms = engine.step_ms + engine.step_ms_per_request * engine.slots / 2
    output = engine.mean_output_tokens or call.output_tokens
    return (model.time_factor if model else 1.0) * (
        call.prompt_tokens / engine.prefill_tokens_per_ms + output * step_ms
    )
