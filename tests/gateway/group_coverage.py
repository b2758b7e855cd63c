"""Which decisions of gateways reached groups in which states."""

import itertools

from oleanderbay.gateway import workers

# States of a member, and then of a head; `none` is a worker without a group.
STATES = (
    "none",
    "joining member",
    "ready member",
    *(state.value for state in workers.MemberState),
    "open stalled",
    "closing stalled",
)
OPERATIONS = ("join", "open", "close", "close now", "leave", "stage")


def _pairs(reached):
    return {(state, operation) for state, operation, _ in reached}


def count(reached):
    """Returns how many of all pairs were reached, as text."""
    return f"{len(_pairs(reached))} of {len(STATES) * len(OPERATIONS)}"


def report(reached):
    """Returns a table of the pairs of state and order.

    Args:
        reached: Number of orders by state of the group at the worker,
            operation and result.
    """
    lines = [f"{'':18}" + "".join(f"{name:>10}" for name in OPERATIONS)]
    for state in STATES:
        cells = (
            sum(
                number
                for (known, operation, _), number in reached.items()
                if (known, operation) == (state, name)
            )
            for name in OPERATIONS
        )
        lines.append(f"{state:18}" + "".join(f"{cell:10}" for cell in cells))
    missing = [
        f"{state}/{name}"
        for state, name in itertools.product(STATES, OPERATIONS)
        if (state, name) not in _pairs(reached)
    ]
    lines.append("never reached: " + (", ".join(missing) or "nothing"))
    refused = sorted(
        f"{state}/{name} {result}: {number}"
        for (state, name, result), number in reached.items()
        if result not in ("done", "begun")
    )
    lines.append("refused: " + (", ".join(refused) or "nothing"))
    return "\n".join(lines)
