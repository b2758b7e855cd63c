"""Idempotency keys and tickets in requests of callers."""

import dataclasses
import hashlib
import uuid

from oleanderbay.request import outcome

MAX_KEY_LENGTH = 255

# A ticketed key consists of a ticket, a colon and the caller's own suffix. The
# ticket is a part of the key because a key that is sent again with a newer
# ticket would be claimed at another entry and run twice.
TICKET_PREFIX = "tk."
TICKET_SEPARATOR = ":"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Binds keys to the claim table of one entry's process.

    Attributes:
        start_id: Start id of the home entry, which issued the ticket.
        issued_ms: Monotonic time of the home entry at the issue; unlike wall
            time, it does not jump, which would change the ticket's age.
        nonce: Random part that makes the ticket unique.
    """

    start_id: str
    issued_ms: int
    nonce: str

    def __str__(self) -> str:
        return f"{TICKET_PREFIX}{self.issued_ms:x}.{self.nonce}.{self.start_id}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A key with the data that determines its age.

    Attributes:
        id: Hash of the scope and the key.
        issued_ms: Wall time of the issue; 0 for a ticketed key.
        ticket: Ticket at the beginning of the key; None for other keys.
    """

    id: bytes
    issued_ms: int = 0
    ticket: Ticket | None = None


def parse_ticket(text: str) -> Ticket | None:
    """Parses a ticket; returns None if it is malformed."""
    parts = text.removeprefix(TICKET_PREFIX).split(".", 2)
    if (
        not text.startswith(TICKET_PREFIX)
        or len(parts) != 3
        or not parts[1]
        or not parts[2]
    ):
        return None
    try:
        issued_ms = int(parts[0], 16)
    except ValueError:
        return None
    if issued_ms < 0 or len(text) > 2 * MAX_KEY_LENGTH:
        return None
    ticket = Ticket(start_id=parts[2], issued_ms=issued_ms, nonce=parts[1])
    # int() also accepts signs, prefixes, underscores and digits of other
    # scripts, which no entry writes.
    return ticket if str(ticket) == text else None


def parse_key(
    scope: str, value: str, issued_header: str = ""
) -> Key | outcome.Refusal:
    """Parses the headers that make up a key.

    Args:
        scope: Scope in which the key is unique: service and team.
        value: Value of `Idempotency-Key`.
        issued_header: Value of `Oleanderbay-Key-Issued-Ms`; empty if absent.
            Ignored for a ticketed key.

    Returns:
        The key, or a refusal if it is malformed or its age is unknown.
    """
    if not 0 < len(value) <= MAX_KEY_LENGTH or not value.isprintable():
        return _bad_request(
            f"a key has 1 to {MAX_KEY_LENGTH} printable characters"
        )
    hashed = hashlib.blake2b(digest_size=16)
    hashed.update(scope.encode())
    hashed.update(b"\0")
    hashed.update(value.encode())
    id = hashed.digest()
    if value.startswith(TICKET_PREFIX):
        ticket, separator, suffix = value.partition(TICKET_SEPARATOR)
        parsed = parse_ticket(ticket)
        if parsed is None or not separator or not suffix:
            return _bad_request(
                "a ticketed key is a ticket, a colon and a suffix"
            )
        return Key(id=id, ticket=parsed)
    if issued_header:
        if not issued_header.isascii() or not issued_header.isdigit():
            return _bad_request(
                "the time of issue is not a number of milliseconds"
            )
        # 16 digits of milliseconds exceed any realistic date.
        if len(issued_header) > 16:
            return _bad_request("the time of issue is out of range")
        return Key(id=id, issued_ms=int(issued_header))
    try:
        parsed_uuid = uuid.UUID(value)
    except ValueError:
        parsed_uuid = None
    if parsed_uuid is not None and parsed_uuid.version == 7:
        return Key(id=id, issued_ms=parsed_uuid.int >> 80)
    return _bad_request(
        "a key begins with a ticket, comes with a time of issue, or is a UUIDv7"
    )


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns a hash that must be equal for all requests with one key."""
    hashed = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode(), body):
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()


def _bad_request(message: str) -> outcome.Refusal:
    return outcome.Refusal(
        reason=outcome.Reason.BAD_REQUEST,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        status=400,
    )
