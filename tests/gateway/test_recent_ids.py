"""Tests of the ids of recent requests."""

from oleanderbay.gateway import recent_ids


def test_an_id_is_new_once():
    """A repeated id can't tell a late answer from the right one."""
    known = recent_ids.RecentIds(10)
    assert known.add("a") and known.add("b")
    assert not known.add("a")
    assert known.add("\udcff")


def test_only_the_most_recent_ids_are_remembered():
    """Callers choose the ids, so their number must not grow without end."""
    known = recent_ids.RecentIds(2)
    for request_id in ("a", "b", "a", "c"):
        known.add(request_id)
    assert len(known._hashes) == 2
    assert not known.add("a") and known.add("b")
