"""Predicts the times of a request from the engine's figures."""

from oleanderbay.gateway import interfaces, table


def answer_ms(
    engine: table.Engine, route: table.Route, call: interfaces.CallerRequest
) -> float:
    """Predicts how long a full group takes to what has to be on time.

    The size of the call is left out where the usual one is known; otherwise
    large requests would wait less and be refused more often.
    """
    model = engine.model(call.model)
    step_ms = engine.step_ms + engine.sequence_ms * engine.slots
    prompt = engine.usual_prompt_tokens or call.prompt_tokens
    output = engine.usual_output_tokens or call.output_tokens
    if route.kind is table.Kind.STREAM:
        output = 1
    return (model.pace if model else 1.0) * (
        prompt / engine.read_tokens_per_ms + output * step_ms
    )


def service_ms(engine: table.Engine, call: interfaces.CallerRequest) -> float:
    """Predicts how long a request holds a slot of a half-full group."""
    model = engine.model(call.model)
    step_ms = engine.step_ms + engine.sequence_ms * engine.slots / 2
    output = engine.usual_output_tokens or call.output_tokens
    return (model.pace if model else 1.0) * (
        call.prompt_tokens / engine.read_tokens_per_ms + output * step_ms
    )
