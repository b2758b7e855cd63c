"""Gateways that exchange datagrams without sockets, on one manual clock."""

import dataclasses
import random

import msgpack

from oleanderbay.gateway import feed, interfaces, peers, request_load, summaries
from oleanderbay.process import clock as clocks
from tests.gateway import parts

STEP_MS = 20
WORKER = "w"


class Wire:
    """Takes the datagrams that one gateway sends."""

    def __init__(self, network, sender):
        self.network = network
        self.sender = sender

    def sendto(self, packed, place):
        self.network.deliver(self.sender, place[0], packed)


class Member:
    """One gateway with one request in flight at a worker that all share."""

    def __init__(self, network, zone, number, addresses, **settings):
        self.network = network
        self.id = f"{zone}-{number}"
        self.host = f"10.{ord(zone[-1])}.0.{number}"
        self.zone = zone
        self.leaving = False
        self.loads = request_load.RequestLoad()
        self.loads.record_start(WORKER)
        self.due_ms = network.clock.now_ms() + network.rng.randrange(200)
        config = dataclasses.replace(
            parts.SETTINGS,
            entry=dataclasses.replace(
                parts.SETTINGS.entry, id=self.id, zone=zone, host=self.host
            ),
            listeners=dataclasses.replace(
                parts.SETTINGS.listeners, callers=self.id
            ),
            peers=dataclasses.replace(parts.SETTINGS.peers, **settings),
        )
        followed = feed.Feed(
            parts.Store(),
            interfaces.Topic.WORKERS,
            network.clock,
            lambda _: None,
            0,
            500,
        )
        self.peers = peers.Peers(
            config,
            f"{self.id}-{network.clock.now_ms()}",
            network.clock,
            {"workers": followed},
            self._contents,
            self._heard,
        )
        self.peers._transport = Wire(network, self)
        for host in addresses:
            self.peers.add_address(host, host)

    def _contents(self):
        self.loads.retain_peers(self.peers.members.load_sources())
        return {
            **summaries.EMPTY_CONTENTS,
            "in_flight": dict(self.loads.own_counts),
            "ready": not self.leaving,
            "leaving": self.leaving,
        }

    def _heard(self, source, body):
        self.loads.update_peer(source, body["in_flight"], body["busy"])

    def leave(self):
        self.leaving = True
        self.peers.send_heartbeats()

    def directory(self):
        return set(self.peers.members.caller_addresses())

    def known(self):
        self.peers.members._counted_ms = -1_000
        return self.peers.gateway_count()


class Network:
    """Runs gateways and delivers what they send at once.

    Attributes:
        members: The gateways that run, by id.
        sent: Sender, receiver's host, and body of each datagram.
        cut: Whether datagrams between two gateways are lost.
        drop: Whether datagrams with a body are lost.
        loss: Share of all datagrams that are lost.
        checks: Called after each step.
    """

    def __init__(self, seed=1):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.members = {}
        self.sent = []
        self.cut = lambda one, other: False
        self.drop = lambda body: False
        self.loss = 0.0
        self.checks = []

    def start(self, sizes, addresses=None, first=0, **settings):
        """Starts gateways of zones with the given sizes.

        Without addresses, each learns those of all others at once.
        """
        made = [
            Member(self, zone, number, addresses or (), **settings)
            for zone, size in sizes.items()
            for number in range(first, first + size)
        ]
        self.members |= {one.id: one for one in made}
        if addresses is None:
            for one in made:
                for other in tuple(self.members.values()):
                    one.peers.add_address(other.host, other.id)
        return made

    def run(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.set_ms(self.clock.now_ms() + STEP_MS)
            for one in tuple(self.members.values()):
                if one.due_ms <= self.clock.now_ms():
                    one.due_ms = self.clock.now_ms() + one.peers.send_due()
            for check in self.checks:
                check()

    def until(self, condition, limit_ms):
        """Runs until a condition holds; returns the time that it took."""
        began_ms = self.clock.now_ms()
        while not condition():
            passed_ms = self.clock.now_ms() - began_ms
            assert passed_ms < limit_ms, f"not within {limit_ms} ms"
            self.run(STEP_MS)
        return self.clock.now_ms() - began_ms

    def deliver(self, sender, host, packed):
        body = msgpack.unpackb(packed)
        self.sent.append((sender, host, body))
        for one in self.members.values():
            if one.host == host and not (
                self.cut(sender, one)
                or self.drop(body)
                or self.rng.random() < self.loss
            ):
                one.peers._received(packed)

    def complete(self):
        """Whether each gateway knows each other one and its load once."""
        ids = set(self.members)
        return all(
            one.directory() == ids - {one.id}
            and one.loads.in_flight(WORKER) == len(ids)
            for one in self.members.values()
        )

    def relays(self, zone):
        """Returns the relays of a zone, the first one first."""
        ids = [one.id for one in self.members.values() if one.zone == zone]
        return [self.members[id_] for id_ in summaries.choose_relays(zone, ids)]

    def kill(self, *killed):
        for one in killed:
            del self.members[one.id]
