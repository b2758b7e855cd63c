"""Runs of several owners of one domain under drawn steps."""

import asyncio
import collections
import logging

import pytest
import structlog

from tests.gateway import (
    group_invariants,
    group_mutations,
    group_runs,
    group_steps,
)

STEPS = 40
SEEDS = range(80)
# Decisions that the runs of the test have to reach, so that they test them.
REACHED = {
    ("none", "join"),
    ("ready", "open"),
    ("ready member", "leave"),
    ("open", "close"),
    ("open", "close now"),
    ("open stalled", "close now"),
    ("broken", "leave"),
}


@pytest.fixture(autouse=True)
def quiet_logs():
    """Leaves out the gateways' logs, which take most of the time."""
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    yield
    structlog.configure(**before)


# Guards against orders, of any of several owners, that break a rule of groups
# in an interleaving that no other test has.
async def test_no_rule_of_groups_breaks_in_drawn_runs():
    reached = collections.Counter()
    for seed in SEEDS:
        played = await group_runs.play(group_runs.draw(seed, STEPS))
        assert not played.violations, f"seed {seed}: {played.violations[0]}"
        assert played.settled_ms >= 0
        reached += played.rig.invariants.reached
    assert {(state, decision) for state, decision, _ in reached} >= REACHED


# Guards against a search that would not find faults: each fault is put in, and
# one of a few runs has to break the rule that it concerns.
@pytest.mark.parametrize("name", sorted(group_mutations.MUTATIONS))
async def test_a_fault_put_in_on_purpose_breaks_its_rule(name):
    mutated, rule = group_mutations.MUTATIONS[name]
    with mutated():
        for seed in SEEDS:
            played = await group_runs.play(group_runs.draw(seed, STEPS))
            if any(found.rule == rule for found in played.violations):
                return
    pytest.fail(f"{rule} did not break")


# Guards against steps that no run carries out.
@pytest.mark.parametrize("kind", group_steps.KINDS)
async def test_each_kind_of_step_leaves_a_deployment_that_settles(kind):
    played = await group_runs.play(group_runs.draw(1, 12, kinds=(kind,)))
    assert not played.violations
    assert any(line.startswith(f"step {kind} ") for _, line in played.rig.trace)


# Guards against replays that differ from the run that was found.
async def test_a_run_repeats_also_from_its_file(tmp_path):
    run = group_runs.draw(7, STEPS)
    first = await group_runs.play(run)
    path = tmp_path / "run.json"
    violation = group_invariants.Violation(1, "TWO", "text")
    group_runs.save(path, run, violation)
    again = await group_runs.play(group_runs.load(path))
    assert again.rig.trace == first.rig.trace


# Guards against files that hold more steps than a violation needs.
async def test_a_shortened_run_breaks_the_same_rule_with_fewer_steps():
    mutated, rule = group_mutations.MUTATIONS["member-not-asked-to-leave"]
    run = group_runs.draw(3, STEPS)
    with mutated():
        shortened = await asyncio.to_thread(group_runs.shorten, run, rule)
        played = await group_runs.play(shortened)
    assert any(found.rule == rule for found in played.violations)
    assert len(shortened.steps) < STEPS / 2
    assert all(step in run.steps for step in shortened.steps)
