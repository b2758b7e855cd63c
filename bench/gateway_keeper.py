"""What one step of the groups' keeper costs a gateway."""

import functools
from collections.abc import Callable, Iterator
from typing import Any

from bench import gateway_parts as parts
from bench import harness
from oleanderbay.gateway import entry
from oleanderbay.process import clock as clocks

WORKERS = (63, 260, 1_040, 4_160, 12_000)


def _step(gateway: entry.Gateway, change: bool) -> None:
    gateway.gateway_state.revision += change
    gateway.group_controller.reconcile()


def _steps(own: Callable[[str], bool], change: bool) -> list[Any]:
    series = []
    for count in WORKERS:
        clock = clocks.ManualClock()
        gateway = parts.gateway(clock=clock)
        whole = count // parts.GROUP_SIZE * parts.GROUP_SIZE
        parts.fill(gateway, whole)
        gateway.domain_ownership.owns = own  # type: ignore[method-assign, assignment]
        followed = gateway.feeds["workers"]
        followed.answered_ms = followed.uninterrupted_since_ms = 0
        clock.set_ms(10_000)
        followed.answered_ms = 10_000
        gateway.demand.has_traffic = True
        step = functools.partial(_step, gateway, change)
        series.append((whole, harness.cpu_us_per_call(step, 5, 3) / 1_000))
    return series


def steps() -> Iterator[harness.Result]:
    for name, own in (
        ("keeper_step_all_owned", lambda _: True),
        ("keeper_step_one_domain", lambda domain: domain.endswith("-0")),
        ("keeper_step_none_owned", lambda _: False),
    ):
        yield parts.result(name, "ms", _steps(own, False))
        yield parts.result(f"{name}_changed", "ms", _steps(own, True))
