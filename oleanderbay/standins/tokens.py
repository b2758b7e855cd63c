"""Deterministic tokens and prefix blocks of the engine stand-in."""

from typing import Any

import xxhash

from oleanderbay.request import prefixes

_WORDS = (
    *("amber", "birch", "cedar", "delta", "ember", "fern", "grove", "harbor"),
    *("iris", "juniper", "kelp", "lark", "maple", "north", "oak", "pine"),
    *("quartz", "river", "slate", "tern", "umber", "vale", "willow", "yarrow"),
)


def prompt_of(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion or chat request as one string.

    Raises:
        ValueError: The body holds neither a prompt nor messages.
    """
    if isinstance(body.get("prompt"), str):
        return str(body["prompt"])
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("expected 'prompt' or a non-empty 'messages'")
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            raise ValueError("each message must be an object")
        lines.append(str(message.get("content")))
    return "\n".join(lines)


def token_at(prompt: str, position: int) -> str:
    """Returns the token at a position of the answer to a prompt."""
    digest = xxhash.xxh64_intdigest(f"{position}:{prompt}".encode())
    return _WORDS[digest % len(_WORDS)] + " "


def answer(prompt: str, count: int) -> str:
    """Returns the text of the first `count` tokens of an answer."""
    return "".join(token_at(prompt, at) for at in range(count))


def prefix_blocks(prompt: str) -> tuple[int, ...]:
    """Returns the hashes of the full blocks of a prompt, in order.

    Router and engine must name blocks alike, or cache events say nothing.
    """
    return prefixes.block_hashes(prompt.encode())
