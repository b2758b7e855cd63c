"""Gateways with a store and six workers on loopback ports."""

import asyncio
import contextlib
import json

import aiohttp

from oleanderbay.gateway import entry, settings
from oleanderbay.platform import http_headers, names, orders, store
from oleanderbay.standins import group_worker, metadata_store, ports
from tests.gateway import links, parts

HOSTS = ("127.0.0.1", "127.0.0.2")
ROUTE = {
    "host": "api",
    "kind": "streaming",
    "timeout_ms": 10_000,
    "target_latency_ms": 1_000,
    "target_gap_ms": 300,
    "max_attempts": 3,
    "service": "chat",
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {**ROUTE, "name": "r", "path_prefix": "/stream/", "resumable": True},
        {**ROUTE, "name": "w", "path_prefix": "/stream/whole/"},
    ],
    "services": [
        {
            "name": "chat",
            "engine": {
                "slots": 4,
                "loads_per_s": 100,
                "models": [{"name": "small", "size": 2, "share": 1}],
            },
        }
    ],
}
STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(5))


class Site:
    """The store, the workers and the gateways of a test.

    Attributes:
        links: For each gateway's id, its paths to the workers by their ids.
    """

    def __init__(self, hosts=HOSTS, linked=False):
        self.hosts = hosts
        self.linked = linked
        self.links = {}
        self.store = metadata_store.MetadataStore()
        self.workers = []
        self.gateways = []
        # Records of workers that are in the store, by worker id.
        self.published = {}
        self.session = aiohttp.ClientSession()

    async def start(self, stack):
        self.stack = stack
        stack.push_async_callback(self.session.close)
        await self.store.start()
        stack.push_async_callback(self.store.close)
        await self.store.put(
            names.CONFIGURATION_TOPIC,
            names.CONFIGURATION_KEY,
            json.dumps(CONFIGURATION).encode(),
        )
        for number in range(6):
            worker = group_worker.GroupWorker(f"w{number}")
            await worker.start()
            stack.push_async_callback(worker.close)
            self.workers.append(worker)
        task = asyncio.create_task(self._publish())
        stack.callback(task.cancel)
        self.peers_port = ports.free_port(*self.hosts)
        for number, host in enumerate(self.hosts):
            await self._start_gateway(stack, f"g{number}", host)

    async def restart_gateways(self, stack):
        """Replaces all gateways by new ones, which know nothing."""
        stopped, self.gateways = self.gateways, []
        for gateway in stopped:
            await gateway.stop()
        for gateway in stopped:
            identity = gateway.config.entry
            await self._start_gateway(stack, identity.id, identity.host)
        await self.wait_for_groups()

    async def wait_for_groups(self):
        """Waits until all gateways know two groups of workers that run."""

        def ready(gateway):
            running = {worker.id for worker in self.workers}
            serving = [
                group
                for group in self.open_groups(gateway)
                if running.issuperset(group["members"])
            ]
            return len(serving) >= 2 and gateway.peers.live

        for gateway in self.gateways:
            await parts.wait_until(lambda g=gateway: ready(g))

    async def _start_gateway(self, stack, name, host):
        # Gateways that start later have yet to listen on the peers' port.
        found = set(ports.free_ports(3, (host,))) - {self.peers_port}
        callers, readiness = sorted(found)[:2]
        config = settings.Settings(
            entry=settings.EntrySettings(id=name, zone="z1", host=host),
            listeners=settings.ListenerSettings(
                callers=f"{host}:{callers}",
                readiness=f"{host}:{readiness}",
            ),
            peers=settings.PeerSettings(port=self.peers_port, heartbeat_ms=50),
            store=settings.StoreSettings(
                address=self.store.address,
                worker_interval_ms=50,
                join_interval_ms=50,
            ),
            workers=settings.WorkerSettings(heartbeat_ms=200),
            stop=settings.StopSettings(directory_ttl_ms=50),
            telemetry=settings.TelemetrySettings(metrics="prometheus"),
        )
        store_client = store.HttpStore(self.store.address, 1, 500)
        orders_client = orders.HttpOrders(600, 250)
        for client in (store_client, orders_client):
            await client.start()
            stack.push_async_callback(client.close)
        decoder = links.LinkDecoder()
        if self.linked:
            self.links[name] = decoder.links
            for worker in self.workers:
                link = links.Link(worker.address)
                await link.start()
                stack.push_async_callback(link.close)
                decoder.links[worker.id] = link
        gateway = entry.Gateway(
            config,
            store_client,
            orders_client,
            decoder,
            http_headers.HeaderTranslator(),
        )
        await gateway.start()
        stack.push_async_callback(gateway.stop)
        self.gateways.append(gateway)

    async def _publish(self):
        """Writes the workers' records to the store as they change."""
        while True:
            for worker in self.workers:
                body = json.dumps(worker.record()).encode()
                if self.published.get(worker.id) != body:
                    self.published[worker.id] = body
                    await self.store.put(names.WORKERS_TOPIC, worker.id, body)
            await asyncio.sleep(0.02)

    async def replace_ended(self):
        """Starts each crashed worker again, under a new id."""
        for index, worker in enumerate(self.workers):
            if not worker.crashed:
                continue
            await worker.close()
            await self.store.put(names.WORKERS_TOPIC, worker.id, b"")
            started = group_worker.GroupWorker(f"{worker.id}+")
            started.crashing_path = worker.crashing_path
            await started.start()
            self.stack.push_async_callback(started.close)
            self.workers[index] = started
        # Groups form again for the callers that still ask.
        callers = asyncio.create_task(self._keep_calling())
        try:
            await self.wait_for_groups()
        finally:
            callers.cancel()

    async def _keep_calling(self):
        while True:
            for gateway in self.gateways:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.call(gateway, "/stream/a")
            await asyncio.sleep(0.05)

    async def configure(self, version):
        await self.store.put(
            names.CONFIGURATION_TOPIC,
            names.CONFIGURATION_KEY,
            json.dumps({**CONFIGURATION, "version": version}).encode(),
        )

    async def wait_for_version(self, version):
        for gateway in self.gateways:
            await parts.wait_until(
                lambda g=gateway: g.status()["version"] == version
            )

    def open_groups(self, gateway):
        return [g for g in gateway.status()["groups"] if g["open"]]

    async def call(
        self, gateway, path, first_data=None, prompt="", request_id="r1"
    ):
        async with self.session.post(
            f"http://{gateway.config.listeners.callers}{path}",
            headers={
                "Host": "api",
                names.REQUEST_ID: request_id,
                names.MODEL: "small",
                names.PROMPT_PREFIX: prompt,
            },
            data=b"prompt",
        ) as response:
            body = b""
            async for part in response.content.iter_any():
                body += part
                if first_data is not None:
                    first_data.set()
            return response.status, body
