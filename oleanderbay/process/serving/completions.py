"""Validation of completion requests and extraction of their prompts."""

import json
from typing import Any

MAX_TOKENS = 1_000_000


def find_error(fields: Any, path: str) -> str:
    """Returns the first error in a completion request, or an empty string."""
    if not isinstance(fields, dict):
        return "the request body must be a JSON object"
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        return "the field 'model' must be a non-empty string"
    if not isinstance(fields.get("stream", False), bool | None):
        return "the field 'stream' must be true or false"
    for name in ("max_tokens", "max_completion_tokens"):
        count = fields.get(name)
        if count is not None and (
            not isinstance(count, int)
            or isinstance(count, bool)
            or not 1 <= count <= MAX_TOKENS
        ):
            return f"the field {name!r} must be from 1 to {MAX_TOKENS}"
    if path.endswith("/chat/completions"):
        messages = fields.get("messages")
        if not isinstance(messages, list) or not messages:
            return "the field 'messages' must be a non-empty list"
        for message in messages:
            if not isinstance(message, dict) or not isinstance(
                message.get("role"), str
            ):
                return "each message must be an object with a role"
            if not isinstance(message.get("content"), str | list | None):
                return "the content of a message must be a string or a list"
        return ""
    prompt = fields.get("prompt")
    if isinstance(prompt, list):
        valid = all(isinstance(part, str) for part in prompt) and bool(prompt)
    else:
        valid = isinstance(prompt, str)
    return "" if valid else "the field 'prompt' must be a string or strings"


def prompt_text(fields: dict[str, Any]) -> str:
    """Returns the prompt text that is looked up in the prefix index."""
    prompt = fields.get("prompt")
    if isinstance(prompt, str):
        return prompt
    if isinstance(prompt, list):
        return "\n".join(prompt)
    parts = [m.get("content") for m in fields.get("messages", ())]
    return "\n".join(p if isinstance(p, str) else json.dumps(p) for p in parts)
