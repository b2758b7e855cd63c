"""Searches interleavings of faults for one that breaks a rule of groups.

Example: python -m tests.gateway.explore_group_runs --seconds 60 --jobs 3
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import logging
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import random
import sys
import time

import structlog

from tests.gateway import (
    explore_groups,
    group_coverage,
    group_mutations,
    group_runs,
)

DEFAULT_STEPS = 40
# Each job searches seeds of its own, which start this far apart.
SEEDS_PER_JOB = 1_000_000
PROGRESS_INTERVAL_S = 10.0
# Violations of one rule that a job shortens; further ones are only counted.
SHORTENED_PER_RULE = 1
SHORTEN_LIMIT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What one or several runs have shown.

    Attributes:
        runs: Number of runs.
        steps: Number of steps.
        reached: Orders by state of the group, operation and result.
        settled_ms: Longest time until all had settled.
        taken_apart: Number of runs in which an order ended a whole group that
            served. No rule forbids it, but it costs requests.
        broken: Number of runs that broke a rule, by rule.
        violations: Shortened runs that break a rule, with the violation.
    """

    runs: int = 0
    steps: int = 0
    reached: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    settled_ms: int = 0
    taken_apart: int = 0
    broken: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: tuple = ()

    def __add__(self, other):
        return Found(
            self.runs + other.runs,
            self.steps + other.steps,
            self.reached + other.reached,
            max(self.settled_ms, other.settled_ms),
            self.taken_apart + other.taken_apart,
            self.broken + other.broken,
            self.violations + other.violations,
        )


def search_one(seed, count, shorten=False):
    """Plays the run of a seed.

    Args:
        seed: Seed.
        count: Number of steps.
        shorten: Whether to shorten a run that breaks a rule.

    Returns:
        What it has shown.
    """
    run = group_runs.draw(seed, count)
    played = asyncio.run(group_runs.play(run))
    violations = ()
    if played.violations:
        first = played.violations[0]
        if shorten:
            run = group_runs.shorten(run, first.rule, SHORTEN_LIMIT_S)
            again = asyncio.run(group_runs.play(run))
            first = next(v for v in again.violations if v.rule == first.rule)
            violations = ((run, first),)
    return Found(
        runs=1,
        steps=count,
        reached=played.rig.invariants.reached,
        settled_ms=played.settled_ms,
        taken_apart=int(played.rig.invariants.taken_apart > 0),
        broken=collections.Counter(v.rule for v in played.violations[:1]),
        violations=violations,
    )


def _search(connection, first_seed, count, until_s, mutation):
    """Searches until a time; sends what each run has shown."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    broken = collections.Counter()
    seed = first_seed
    with _mutated(mutation):
        while time.monotonic() < until_s:
            found = search_one(seed, count)
            if any(broken[rule] < SHORTENED_PER_RULE for rule in found.broken):
                found = search_one(seed, count, shorten=True)
            broken += found.broken
            connection.send(found)
            seed += 1
    connection.close()


def _mutated(name):
    if not name:
        return contextlib.nullcontext()
    return group_mutations.MUTATIONS[name][0]()


def explore(arguments):
    """Searches on several cores; returns what was found."""
    first_seed = arguments.seed
    if first_seed is None:
        first_seed = random.SystemRandom().randrange(1 << 40)
    print(f"seed {first_seed}, {arguments.jobs} jobs", flush=True)
    started_s = time.monotonic()
    until_s = started_s + arguments.seconds
    context = multiprocessing.get_context("spawn")
    jobs = {}
    for number in range(arguments.jobs):
        receiver, sender = context.Pipe(duplex=False)
        process = context.Process(
            target=_search,
            args=(
                sender,
                first_seed + number * SEEDS_PER_JOB,
                arguments.steps,
                until_s,
                arguments.mutation,
            ),
        )
        process.start()
        sender.close()
        jobs[receiver] = process
    total, failed = Found(), False
    shown_s = started_s
    while jobs:
        for receiver in multiprocessing.connection.wait(list(jobs), 1.0):
            try:
                found = receiver.recv()
            except EOFError:
                process = jobs.pop(receiver)
                process.join()
                failed |= process.exitcode != 0
                continue
            for run, violation in found.violations:
                _write(arguments.out, run, violation, started_s)
            total += found
        if time.monotonic() - shown_s >= PROGRESS_INTERVAL_S:
            shown_s = time.monotonic()
            print(_progress(total, shown_s - started_s), flush=True)
    print(_progress(total, time.monotonic() - started_s))
    print(group_coverage.report(total.reached))
    if failed:
        raise RuntimeError("a job ended with an error")
    return total


def _progress(total, elapsed_s):
    return (
        f"{elapsed_s:.0f} s: {total.runs} runs,"
        f" {total.steps / max(elapsed_s, 0.001):.0f} steps/s,"
        f" {group_coverage.count(total.reached)} pairs of state and order,"
        f" settled within {total.settled_ms} ms,"
        f" {total.taken_apart} runs that took a serving group apart,"
        f" {sum(total.broken.values())} violations {dict(total.broken)}"
    )


def _write(directory, run, violation, started_s):
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{violation.rule.lower()}-{run.seed}.json"
    group_runs.save(path, run, violation)
    print(
        f"{time.monotonic() - started_s:.0f} s: {violation.rule} broken,"
        f" {len(run.steps)} steps in {path}: {violation.text}",
        flush=True,
    )


def replay(run, mutation=""):
    """Plays a run with the logs of the gateways; returns what broke."""
    with _mutated(mutation):
        played = asyncio.run(
            group_runs.play(run, explore_groups.configure_logs)
        )
    for at_ms, line in played.rig.trace:
        print(f"{at_ms:6} {line}")
    for step in run.steps:
        print("step", step.text())
    for violation in played.violations:
        print(f"{violation.rule} at {violation.at_ms} ms: {violation.text}")
    if not played.violations:
        print(f"no rule broken, settled {played.settled_ms} ms after the end")
    return played.violations


def _positive(kind):
    def parse(text):
        try:
            value = kind(text)
        except ValueError:
            value = 0
        if not 0 < value < float("inf"):
            raise argparse.ArgumentTypeError(
                f"{text!r} is not a positive number"
            )
        return value

    return parse


def _jobs(text):
    value = _positive(int)(text)
    cores = len(os.sched_getaffinity(0))
    if value > cores:
        raise argparse.ArgumentTypeError(
            f"{value} jobs, but there are {cores} cores"
        )
    return value


def _run(text):
    try:
        return group_runs.load(pathlib.Path(text))
    except group_runs.ReplayError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


class _Parser(argparse.ArgumentParser):
    """Reports a wrong argument in one line."""

    def error(self, message):
        self.exit(2, f"{self.prog}: {message}\n")


def main(argv=None):
    """Searches or replays; exits with 1 if a rule is broken."""
    parser = _Parser(
        prog="explore_group_runs", description=__doc__.splitlines()[0]
    )
    parser.add_argument("--seconds", type=_positive(float), default=60.0)
    parser.add_argument("--jobs", type=_jobs, default=1)
    parser.add_argument("--seed", type=int, help="by default a fresh one")
    parser.add_argument("--steps", type=_positive(int), default=DEFAULT_STEPS)
    parser.add_argument(
        "--out", type=pathlib.Path, default=pathlib.Path("build/group-runs")
    )
    parser.add_argument(
        "--replay", type=_run, metavar="FILE", help="plays a run with logs"
    )
    parser.add_argument(
        "--mutation",
        choices=sorted(group_mutations.MUTATIONS),
        help="puts in a fault that has to be found",
    )
    arguments = parser.parse_args(argv)
    if arguments.replay is not None:
        broken = replay(arguments.replay, arguments.mutation)
    else:
        broken = explore(arguments).broken
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
