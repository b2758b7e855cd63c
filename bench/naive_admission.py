"""First come, first served without limits, to compare the gateway with."""

from collections.abc import Sequence


def least_loaded(held: Sequence[int]) -> int:
    """Returns the group with the fewest requests, however many those are."""
    return min(range(len(held)), key=lambda group: held[group])
