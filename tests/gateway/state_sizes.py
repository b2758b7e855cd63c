"""Counts the entries of all tables that a component keeps."""

import collections
import enum

TABLES = (dict, set, frozenset, list, tuple, collections.deque)


def tables(root):
    """Returns the number of entries of each table below an object.

    Tables are named by the attributes that lead to them; `[]` stands for any
    entry, so the tables that entries hold are counted together.
    """
    sizes = collections.Counter()
    seen = set()
    left = [("", root)]
    while left:
        path, found = left.pop()
        if id(found) in seen:
            continue
        seen.add(id(found))
        if isinstance(found, TABLES):
            sizes[path] += len(found)
            entries = found.values() if isinstance(found, dict) else found
            left.extend((f"{path}[]", entry) for entry in tuple(entries))
        elif type(found).__module__.startswith(
            "oleanderbay"
        ) and not isinstance(found, enum.Enum | type):
            left.extend(
                (f"{path}.{name}", value) for name, value in _fields(found)
            )
    return sizes


def grown(root, before):
    """Returns the tables that have more entries than before."""
    return {
        path: size
        for path, size in tables(root).items()
        if size > before.get(path, 0)
    }


def _fields(found):
    """Yields the attributes of an object, also those in slots."""
    yield from getattr(found, "__dict__", {}).items()
    for kind in type(found).__mro__:
        slots = getattr(kind, "__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            if hasattr(found, name):
                yield name, getattr(found, name)
