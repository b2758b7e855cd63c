"""Latency predictions from the performance figures of an engine."""

from oleanderbay.gateway import interfaces, table


def response_ms(
    engine: table.Engine, route: table.Route, call: interfaces.CallerRequest
) -> float:
    """Predicts the response time of a group whose slots are all in use.

    This is the time to the first token of a stream, and to the complete
    response otherwise. The usual request size is used if it is known instead
    of the size of this request; otherwise large requests would be allowed
    less time in the queue and be refused more often.
    """
    if route.kind is not table.RouteKind.STREAM:
        return complete_ms(engine, call)
    return _time_ms(engine, call, output=1)


def complete_ms(engine: table.Engine, call: interfaces.CallerRequest) -> float:
    """Predicts the time to the end of a response if all slots are in use."""
    return _time_ms(
        engine, call, engine.mean_output_tokens or call.output_tokens
    )


def _time_ms(
    engine: table.Engine, call: interfaces.CallerRequest, output: float
) -> float:
    model = engine.model(call.model)
    step_ms = engine.step_ms + engine.step_ms_per_request * engine.slots
    prompt = engine.mean_prompt_tokens or call.prompt_tokens
    return (model.time_factor if model else 1.0) * (
        prompt / engine.prefill_tokens_per_ms + output * step_ms
    )


def slot_time_ms(engine: table.Engine, call: interfaces.CallerRequest) -> float:
    """Predicts how long a request holds a slot if half of them are in use."""
    model = engine.model(call.model)
    step_ms = engine.step_ms + engine.step_ms_per_request * engine.slots / 2
    output = engine.mean_output_tokens or call.output_tokens
    return (model.time_factor if model else 1.0) * (
        call.prompt_tokens / engine.prefill_tokens_per_ms + output * step_ms
    )
