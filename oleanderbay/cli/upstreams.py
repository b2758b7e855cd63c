"""Stand-ins of upstreams for the `standin` command."""

import argparse
from typing import Any

import aiohttp

from oleanderbay.native import instances_http, interfaces
from oleanderbay.standins import engine, engine_state, plain, weights

ANNOUNCE_TIMEOUT_MS = 2_000


class Announced:
    """A stand-in that adds itself to the instance list.

    Attributes:
        inner: The stand-in.
        line: Its line in the list, without the address.
        listing: Base address of the instance list; empty for none.
    """

    def __init__(
        self, inner: Any, line: interfaces.Instance, listing: str
    ) -> None:
        self.inner = inner
        self.line = line
        self.listing = listing

    @property
    def address(self) -> str:
        """`host:port` that it listens on."""
        address: str = self.inner.address
        return address

    async def start(self, host: str, port: int) -> None:
        """Listens, then announces itself."""
        await self.inner.start(host, port)
        await self._announce(interfaces.InstanceState.LIVE)

    async def close(self) -> None:
        """Announces that it leaves, then stops listening."""
        try:
            await self._announce(interfaces.InstanceState.LEAVING)
        except interfaces.PlatformError:
            pass  # The list may have been stopped first.
        await self.inner.close()

    async def _announce(self, state: interfaces.InstanceState) -> None:
        if not self.listing:
            return
        line = interfaces.Instance(
            id=self.line.id,
            role=self.line.role,
            address=self.address,
            zone=self.line.zone,
            domain=self.line.domain,
            state=state,
        )
        async with aiohttp.ClientSession() as session:
            await instances_http.HttpInstanceList(
                self.listing, session
            ).announce(line, ANNOUNCE_TIMEOUT_MS)


def _instance_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--id", required=True, help="instance id")
    parser.add_argument("--zone", default="", help="platform's zone name")
    parser.add_argument("--domain", default="", help="fabric domain name")
    parser.add_argument(
        "--instances", default="", help="base address of the instance list"
    )


def engine_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of an engine."""
    _instance_arguments(parser)
    parser.add_argument("--weights", default="", help="weight store host:port")
    parser.add_argument("--load-ms", type=int, default=0)
    parser.add_argument("--token-interval-ms", type=float, default=20.0)
    parser.add_argument("--cold-limit", type=int, default=2)
    parser.add_argument("--warm-after", type=int, default=4)
    parser.add_argument(
        "--ignore-fencing", action="store_true", help="obey older orders"
    )


def make_engine(args: argparse.Namespace) -> Announced:
    """Makes an engine from the options."""
    return Announced(
        engine.EngineStandIn(
            args.id,
            engine_state.EngineSettings(
                checks_fencing=not args.ignore_fencing,
                load_ms=args.load_ms,
                weights_address=args.weights,
                token_interval_ms=args.token_interval_ms,
                cold_limit=args.cold_limit,
                warm_after=args.warm_after,
            ),
        ),
        _line(args, "engine"),
        args.instances,
    )


def plain_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of a plain service."""
    _instance_arguments(parser)
    parser.add_argument("--delay-ms", type=int, default=0)


def make_plain(args: argparse.Namespace) -> Announced:
    """Makes a plain service from the options."""
    made = plain.PlainStandIn()
    made.delay_ms = args.delay_ms
    return Announced(made, _line(args, "plain"), args.instances)


def weights_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of a weight store."""
    parser.add_argument("--rate-bytes-per-s", type=int, default=10**9)


def make_weights(args: argparse.Namespace) -> weights.WeightsStandIn:
    """Makes a weight store from the options."""
    return weights.WeightsStandIn(args.rate_bytes_per_s)


def _line(args: argparse.Namespace, role: str) -> interfaces.Instance:
    return interfaces.Instance(
        id=args.id, role=role, address="", zone=args.zone, domain=args.domain
    )
