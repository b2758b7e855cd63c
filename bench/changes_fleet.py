"""Gateways on loopback that follow one store in real time."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Iterable

from bench import gateway_parts as parts
from oleanderbay.gateway import domain_ownership, entry, interfaces
from oleanderbay.gateway import settings as settings_module
from oleanderbay.platform import http_headers, names, records, store
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store, ports

GATEWAYS = 7
PARTITIONS = 46
# The platform states this time for its answers.
ANSWER_MS = 4
ROUTES = 100
ADDED_ROUTES = 350
DEFAULTS = settings_module.StoreSettings(address="127.0.0.1:9")
TTL_MS = DEFAULTS.ownership_ttl_ms
JOIN_INTERVAL_MS = DEFAULTS.join_interval_ms
LOOK_S = 0.01
# A process that did not run for this time is disturbed, and for as long after
# it as rules with a time limit do not apply (section 10.2 of the design).
STALL_S = 0.1
CONTACT_S = 3.0


class Disturbances:
    """Notes when the machine did not run this process for some time.

    Gateways share one process and its machine has other work. Stalls that the
    process spends working itself are not counted: they are its own fault.
    """

    def __init__(self) -> None:
        self._ends: list[float] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to watch."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Ends it."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def among(self, start: float, end: float) -> bool:
        """Whether there was one after a time or shortly before it."""
        return any(start - CONTACT_S < at < end + LOOK_S for at in self._ends)

    async def _run(self) -> None:
        while True:
            wall, used = time.monotonic(), time.process_time()
            await asyncio.sleep(LOOK_S)
            wall, used = time.monotonic() - wall, time.process_time() - used
            if wall > STALL_S and used < wall / 2:
                self._ends.append(time.monotonic())


class Follower:
    """One gateway without listeners for callers.

    Attributes:
        gateway: The gateway.
        client: Its client of the store.
        applied: Versions with the monotonic time in s at which they came
            into force.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        client: store.HttpStore,
    ) -> None:
        self.client = client
        self.gateway = entry.Gateway(
            config,
            client,
            parts.NoOrders(),  # type: ignore[arg-type]
            records.JsonDecoder(),
            http_headers.HeaderTranslator(),
        )
        self.applied: list[tuple[int, float]] = []
        self._tasks: list[asyncio.Task[None]] = []
        followed = self.gateway.feeds["configuration"]
        self._changed = followed.apply_record
        followed.apply_record = self._note

    async def start(self) -> None:
        """Starts what follows the store and the peers."""
        await self.client.start()
        await self.gateway.peers.start()
        for run in (
            *(followed.run for followed in self.gateway.feeds.values()),
            self.gateway.peers.run,
            self.gateway.domain_ownership.run,
        ):
            self._tasks.append(asyncio.create_task(run()))

    async def close(self) -> None:
        """Stops it."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.gateway.peers.close()
        await self.client.close()

    def since(self, version: int) -> float | None:
        """Returns when this version or a later one came into force."""
        return next((at for v, at in self.applied if v >= version), None)

    def _note(self, record: interfaces.KeyedRecord) -> None:
        self._changed(record)
        table = self.gateway.gateway_state.table
        if table is not None:
            self.applied.append((table.version, time.monotonic()))


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """One measured time.

    Attributes:
        ms: The time.
        disturbed: Whether the machine did not run the process in it.
    """

    ms: float
    disturbed: bool


@dataclasses.dataclass(slots=True)
class Fleet:
    """Gateways before one store.

    Attributes:
        site: The store.
        broken: A store to which some gateways can be moved.
        followers: The gateways.
        disturbances: Times at which the process did not run.
        written: Versions with the monotonic time in s of their writing.
    """

    site: metadata_store.MetadataStore
    broken: metadata_store.MetadataStore
    followers: list[Follower]
    disturbances: Disturbances
    written: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    async def write(self, version: int, routes: int) -> None:
        """Writes a version of the configuration.

        Its time is taken before the store holds it, so that the delays are
        at least those from the store's acknowledgement.
        """
        body = parts.configuration(routes, version)
        self.written.append((version, time.monotonic()))
        await self.site.put(
            names.CONFIGURATION_TOPIC, names.CONFIGURATION_KEY, body
        )

    def delays(self, followers: Iterable[Follower]) -> list[Delay]:
        """Returns the time to each version in force at each gateway.

        A version that never came into force counts as unlimited.
        """
        delays = []
        for follower in followers:
            for version, at in self.written:
                found = follower.since(version)
                until = time.monotonic() if found is None else found
                ms = float("inf") if found is None else 1_000 * (found - at)
                delays.append(Delay(ms, self.disturbances.among(at, until)))
        return delays


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    """Starts gateways that have a first version in force."""
    async with contextlib.AsyncExitStack() as stack:
        sites = []
        for _ in range(2):
            site = metadata_store.MetadataStore(PARTITIONS)
            await site.start()
            stack.push_async_callback(site.close)
            sites.append(site)
        site, broken = sites
        watch = Disturbances()
        await watch.start()
        stack.push_async_callback(watch.close)
        site.answer_ms = ANSWER_MS
        made = Fleet(site, broken, [], watch)
        await made.write(1, ROUTES)
        hosts = [parts.settings_of(n, "").entry.host for n in _numbers()]
        port = ports.free_port(*hosts)
        for number in _numbers():
            config = dataclasses.replace(
                parts.settings_of(number, site.address),
                peers=settings_module.PeerSettings(
                    port=port, seeds=tuple(hosts)
                ),
            )
            client = store.HttpStore(
                site.address, PARTITIONS, config.store.timeout_ms
            )
            one = Follower(config, client)
            await one.start()
            stack.push_async_callback(one.close)
            made.followers.append(one)
        await asyncio.sleep(2)
        made.written.clear()
        yield made


def _numbers() -> range:
    return range(1, GATEWAYS + 1)


class PausableClock(clocks.SystemClock):
    """A clock whose sleepers do not wake while it is paused."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.running.set()

    async def sleep_ms(self, delay_ms: float) -> None:
        """Waits, and until it runs again."""
        await super().sleep_ms(delay_ms)
        await self.running.wait()


class Owner:
    """One run of one gateway's ownership of domains."""

    def __init__(self, address: str, member: str) -> None:
        self.clock = PausableClock()
        self.client = store.HttpStore(address, PARTITIONS, DEFAULTS.timeout_ms)
        self.duties = domain_ownership.DomainOwnership(
            self.client, self.clock, member, TTL_MS, JOIN_INTERVAL_MS
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Joins the owners."""
        await self.client.start()
        self._task = asyncio.create_task(self.duties.run())

    async def kill(self) -> None:
        """Ends it without a word to the store."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.client.close()
        self.duties.confirmed_ms = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """What became of the domains of one lost holder.

    Attributes:
        by_domain: Time until another gateway held each domain.
        shared: Looks that found two holders of one domain.
    """

    by_domain: tuple[Delay, ...]
    shared: int


class Owners:
    """Gateways that share domains, some of which are lost."""

    def __init__(self, seed: int, disturbances: Disturbances) -> None:
        self.disturbances = disturbances
        self.rng = random.Random(seed)
        self.site = metadata_store.MetadataStore(PARTITIONS)
        self.site.answer_ms = ANSWER_MS
        self.owners: list[Owner] = []
        self._domains = [f"chat/domain-{n}" for n in range(PARTITIONS)]
        self._runs = 0

    async def start(self) -> None:
        """Starts the store and all gateways, out of step."""
        await self.site.start()
        for number in _numbers():
            await self._add(number)
            await asyncio.sleep(self.rng.random() * JOIN_INTERVAL_MS / 1_000)
        await asyncio.sleep(2 * TTL_MS / 1_000)

    async def close(self) -> None:
        """Stops everything."""
        for owner in self.owners:
            await owner.kill()
        await self.site.close()

    async def lose(self, pause_ms: int) -> Loss:
        """Loses one holder, for good if the pause is 0, and replaces it."""
        await asyncio.sleep(self.rng.random() * JOIN_INTERVAL_MS / 1_000)
        lost = self.rng.choice(self.owners)
        held = [d for d in self._domains if lost.duties.owns(d)]
        begun = time.monotonic()
        if pause_ms:
            lost.clock.running.clear()
        else:
            await lost.kill()
        number = self.owners.index(lost) + 1
        found, shared = await self._watch(lost, held, begun, pause_ms)
        if not pause_ms:
            self.owners.remove(lost)
            await self._add(number)
        await asyncio.sleep(2 * TTL_MS / 1_000)
        return Loss(
            tuple(
                Delay(
                    found[domain],
                    self.disturbances.among(
                        begun, begun + min(found[domain], 10_000) / 1_000
                    ),
                )
                for domain in held
            ),
            shared,
        )

    async def _add(self, number: int) -> None:
        self._runs += 1
        made = Owner(self.site.address, f"gateway-{number}/{self._runs}")
        await made.start()
        self.owners.insert(number - 1, made)

    async def _watch(
        self, lost: Owner, held: list[str], begun: float, pause_ms: int
    ) -> tuple[dict[str, float], int]:
        found: dict[str, float] = {}
        shared = 0
        others = [owner for owner in self.owners if owner is not lost]
        end_s = begun + max(pause_ms + TTL_MS, 4 * TTL_MS) / 1_000
        while time.monotonic() < end_s:
            passed_ms = 1_000 * (time.monotonic() - begun)
            if pause_ms and passed_ms >= pause_ms:
                lost.clock.running.set()
            for domain in held:
                holders = sum(o.duties.owns(domain) for o in others)
                if holders:
                    found.setdefault(domain, passed_ms)
                shared += holders + lost.duties.owns(domain) > 1
            if len(found) == len(held) and not pause_ms:
                break
            await asyncio.sleep(LOOK_S)
        for domain in held:
            found.setdefault(domain, float("inf"))
        return found, shared
