"""A head is cut off while its group opens; what do the members do?"""

import asyncio
import os
import pathlib
from typing import Any

import group_case
import standins

from oleanderbay.standins import group_worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# With this, the worker loses the store first, and the rest some time after the
# order to open.
SPREAD = os.environ.get("SPREAD", "0") != "0"
SPREAD_S = float(os.environ.get("SPREAD_S", "1"))
# The worker is cut off while its group opens, which takes `form_ms`.
CUT_AFTER_S = 0.15


class Case(group_case.GroupCase):
    """Cuts off the first head that is told to open."""

    # One of them is within the shares of workers that the pages cut off.
    worker_count = 7

    def __init__(self, record: standins.Record) -> None:
        super().__init__(record)
        self.cut: group_worker.GroupWorker | None = None
        self.is_cut_planned = False

    def taken(
        self, worker: group_worker.GroupWorker, order: dict[str, Any]
    ) -> None:
        """Cuts the head off a little after it has accepted the order."""
        super().taken(worker, order)
        if order["operation"] != "open" or not TROUBLE:
            return
        if not SPREAD and self.cut is None:
            self.cut = worker
        if worker is self.cut and not self.is_cut_planned:
            self.is_cut_planned = True
            asyncio.get_running_loop().call_later(
                SPREAD_S if SPREAD else CUT_AFTER_S, worker.isolate
            )

    def ready(self, worker: group_worker.GroupWorker) -> None:
        """Cuts the first head that is ready off from the store."""
        is_head = worker.members[0] == worker.id
        if TROUBLE and SPREAD and self.cut is None and is_head:
            self.cut = worker
            assert worker.registration is not None
            worker.registration.reaches_store = False
            self.record.write(f"{worker.id} is cut off from the store")

    async def play(self) -> None:
        """Waits until the head would be broken, then sends requests."""
        await asyncio.sleep(6.3)
        await self.serve(1)


if __name__ == "__main__":
    group_case.main(pathlib.Path(__file__).resolve().parent, Case)
