"""Positions in the metadata store, which increase across its restorations.

A store that is restored from an older copy gives out the same offsets and
generations again, and counts its restorations in an era. A position has the era
in its high bits and the offset or generation in its low bits, so positions of
different eras compare in the order in which the store gave them out.
"""

from collections.abc import Mapping
from typing import Any

from oleanderbay.gateway import fields

# Low bits of a position that hold the offset.
OFFSET_BITS = 40
# Low bits of a position that hold the generation. Epochs of groups, which have
# a counter below the generation, have to stay exact in JSON.
GENERATION_BITS = 24
# Highest era, with which positions still fit into 63 bits.
MAX_ERA = (1 << 22) - 1
MAX_POSITION = ((MAX_ERA + 1) << OFFSET_BITS) - 1


def combine(era: int, number: int, bits: int = OFFSET_BITS) -> int:
    """Returns the position of an offset or generation in an era."""
    if number < 0:
        return number
    return (era << bits) | (number & ((1 << bits) - 1))


def era_of(position: int, bits: int = OFFSET_BITS) -> int:
    """Returns the era of a position; 0 if it is before the first one."""
    return max(0, position) >> bits


def number_in_era(position: int, bits: int = OFFSET_BITS) -> int:
    """Returns the offset or generation within the era of a position."""
    return position if position < 0 else position & ((1 << bits) - 1)


def split_offsets(offsets: Mapping[str, int]) -> dict[str, Any]:
    """Returns the fields of a message that hold the positions of topics.

    Gateways of earlier versions read the offsets and ignore the eras.
    """
    return {
        "offsets": {n: number_in_era(p) for n, p in offsets.items()},
        "eras": {n: era_of(p) for n, p in offsets.items()},
    }


def parse_offsets(body: Mapping[str, Any]) -> dict[str, int]:
    """Returns the positions of topics that a message holds.

    Gateways before d4559bc send no eras.

    Raises:
        ValueError, KeyError, TypeError: The fields are malformed.
    """
    offsets = {
        name: fields.whole(offset, -1, (1 << OFFSET_BITS) - 1)
        for name, offset in fields.mapping(body["offsets"]).items()
    }
    eras = fields.mapping(body.get("eras", dict.fromkeys(offsets, 0)))
    return {
        name: combine(fields.whole(eras[name], 0, MAX_ERA), offset)
        for name, offset in offsets.items()
    }
