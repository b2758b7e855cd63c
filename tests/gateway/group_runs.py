"""Runs of a deployment under a list of steps: drawn, played and shortened."""

import asyncio
import contextlib
import dataclasses
import json
import random
import time

from tests.gateway import group_rig, group_steps

FILE_VERSION = 1
TRAFFIC_FROM_MS = 5_000
# An order may be carried out this late, also after the last step.
LATEST_ORDER_MS = 12_000
# From then on, service has to be back in the time of R16 (docs/design.md).
SETTLE_MS = LATEST_ORDER_MS + 12_000
POLL_MS = 500
MEAN_GAPS_MS = (150, 400, 1_000)


class ReplayError(Exception):
    """A file does not hold a run that can be played."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What determines a play.

    Attributes:
        seed: Seed of the short delays of messages and of reads.
        steps: The steps, in the order of their times.
    """

    seed: int
    steps: tuple[group_steps.Step, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """A run after its end.

    Attributes:
        rig: The deployment.
        settled_ms: Time from the last step until all held; -1 for never.
    """

    rig: group_rig.Rig
    settled_ms: int

    @property
    def violations(self):
        """What broke a rule."""
        return self.rig.violations


def draw(seed, count, kinds=group_steps.KINDS):
    """Draws a run.

    Args:
        seed: Seed.
        count: Number of steps.
        kinds: Kinds of steps to draw from.

    Returns:
        The run. Each run uses some of the kinds only, so that one kind does
        not hide what another one does.
    """
    rng = random.Random(seed)
    used = rng.sample(kinds, min(len(kinds), rng.randint(2, 9)))
    mean_gap_ms = rng.choice(MEAN_GAPS_MS)
    at_ms = TRAFFIC_FROM_MS
    steps = []
    for _ in range(count):
        at_ms += rng.randint(1, 2 * mean_gap_ms)
        kind = rng.choice(used)
        steps.append(
            group_steps.Step(at_ms, kind, group_steps.DRAWS[kind](rng))
        )
    return Run(seed, tuple(steps))


async def play(run, on_start=None):
    """Plays a run until a rule is broken or all has settled.

    Args:
        run: The run.
        on_start: Called with the rig before anything happens.

    Returns:
        The played run.
    """
    rig = group_rig.Rig(run.seed, zones=len(group_steps.ZONES))
    if on_start is not None:
        on_start(rig)
    steps = group_steps.Steps(rig)
    try:
        await rig.clock.advance(TRAFFIC_FROM_MS)
        rig.begin_traffic()
        steps.demand(large=6, small=6)
        for step in run.steps:
            await rig.clock.advance(max(0, step.at_ms - rig.clock.now_ms()))
            if rig.violations:
                return Played(rig, -1)
            steps.apply(step)
        steps.end_all()
        return Played(rig, await settle(rig))
    finally:
        rig.close()
        await asyncio.sleep(0)


async def settle(rig):
    """Waits until all that should hold in the end does; returns the time."""
    from_ms = rig.clock.now_ms()
    rig.note("all disturbances end")
    settled_ms = -1
    while not rig.violations:
        now_ms = rig.clock.now_ms()
        found = rig.invariants.unsettled()
        if found:
            settled_ms = -1
        elif settled_ms < 0:
            settled_ms = now_ms - from_ms
        if now_ms - from_ms >= LATEST_ORDER_MS and settled_ms >= 0:
            return settled_ms
        if now_ms - from_ms >= SETTLE_MS:
            for rule, text in found:
                rig.invariants.violate(rule, text)
            return -1
        await rig.clock.advance(POLL_MS)
    return -1


def shorten(run, rule, limit_s=60.0):
    """Removes steps as long as a rule stays broken.

    Args:
        run: A run that breaks the rule.
        rule: Name of the rule.
        limit_s: Time of the machine after which it stops.

    Returns:
        The shortened run.
    """
    until_s = time.monotonic() + limit_s

    def breaks(steps):
        played = asyncio.run(play(dataclasses.replace(run, steps=steps)))
        return any(found.rule == rule for found in played.violations)

    steps = run.steps
    size = max(1, len(steps) // 2)
    while time.monotonic() < until_s:
        start, removed = 0, False
        while start < len(steps) and time.monotonic() < until_s:
            fewer = steps[:start] + steps[start + size :]
            if breaks(fewer):
                steps, removed = fewer, True
            else:
                start += size
        if size > 1:
            size //= 2
        elif not removed:
            break
    return dataclasses.replace(run, steps=steps)


def save(path, run, violation):
    """Writes a run that breaks a rule to a file."""
    content = {
        "version": FILE_VERSION,
        "rule": violation.rule,
        "text": violation.text,
        "at_ms": violation.at_ms,
        "seed": run.seed,
        "steps": [
            {"at_ms": s.at_ms, "kind": s.kind, **s.arguments} for s in run.steps
        ],
    }
    path.write_text(json.dumps(content, indent=1) + "\n")


def load(path):
    """Reads a run from a file.

    Raises:
        ReplayError: The file can't be read, or is of another version.
    """
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ReplayError(f"{path} can't be read: {error}") from error
    if not isinstance(content, dict) or "version" not in content:
        raise ReplayError(f"{path} is not a replay file")
    if content["version"] != FILE_VERSION:
        raise ReplayError(
            f"{path} has version {content['version']}, expected {FILE_VERSION}"
        )
    with contextlib.suppress(KeyError, TypeError, ValueError, AttributeError):
        steps = tuple(_parse_step(dict(item)) for item in content["steps"])
        return Run(int(content["seed"]), steps)
    raise ReplayError(f"{path} does not hold a seed and steps")


def _parse_step(item):
    step = group_steps.Step(int(item.pop("at_ms")), item.pop("kind"), item)
    expected = group_steps.DRAWS[step.kind](random.Random(0))
    if {k: type(v) for k, v in step.arguments.items()} != {
        k: type(v) for k, v in expected.items()
    }:
        raise ValueError(step.kind)
    return step
