"""Plays many deployments of `group_faults` and shows which break a rule.

Example: python -m tests.gateway.explore_groups --first 1 --count 100
"""

import argparse
import asyncio
import collections
import logging
import sys

import structlog

from tests.gateway import group_faults


def main():
    """Plays the seeds asked for; exits with 1 if a rule is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument(
        "--trace", action="store_true", help="print all that happened"
    )
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    broken = taken_apart = 0
    accepted = collections.Counter()
    for seed in range(arguments.first, arguments.first + arguments.count):
        rig = asyncio.run(group_faults.play(seed, configure_logs))
        accepted.update(
            line.split()[1] for _, line in rig.trace if line.endswith("begun")
        )
        if arguments.trace:
            for at_ms, line in rig.trace:
                print(f"{at_ms:6} {line}")
        taken_apart += bool(rig.invariants.taken_apart)
        for violation in rig.violations:
            broken += 1
            print(
                f"seed {seed}: {violation.rule} at {violation.at_ms} ms:"
                f" {violation.text}",
                flush=True,
            )
    print(
        f"{arguments.count} plays, {broken} broken rules, {taken_apart} plays"
        f" with a serving group that was taken apart, {dict(accepted)}"
    )
    sys.exit(1 if broken else 0)


def configure_logs(rig):
    """Lets the gateways' logs go into the trace of a rig."""

    def note(logger, method, event):
        gateway = event.pop("gateway", "")
        rig.note(gateway, "logs", event.pop("event"), event)
        raise structlog.DropEvent

    structlog.configure(
        processors=[structlog.contextvars.merge_contextvars, note],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        cache_logger_on_first_use=False,
    )


if __name__ == "__main__":
    main()
