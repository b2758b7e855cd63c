"""Simulated gateways that exchange datagrams on one manual clock."""

import dataclasses
import random

import msgpack

from oleanderbay.gateway import (
    feed,
    interfaces,
    peers,
    quarantine,
    request_load,
    summaries,
)
from oleanderbay.process import clock as clocks
from tests.gateway import parts

STEP_MS = 20
WORKER = "w"


class NetworkTransport:
    """Passes the datagrams of one gateway to the network."""

    def __init__(self, network, sender):
        self.network = network
        self.sender = sender

    def sendto(self, packed, address):
        self.network.deliver(self.sender, address[0], packed)


class Member:
    """A gateway with one request in flight at a worker that all share."""

    def __init__(self, network, zone, number, addresses, **settings):
        self.network = network
        self.id = f"{zone}-{number}"
        self.host = f"10.{ord(zone[-1])}.0.{number}"
        self.zone = zone
        self.leaving = False
        self.loads = request_load.RequestLoad()
        self.loads.record_start(WORKER)
        self.quarantine = quarantine.PromptQuarantine(network.clock, 600_000)
        self.request_quarantine = quarantine.PromptQuarantine(
            network.clock, 600_000, combined=False
        )
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
        workers_feed = feed.Feed(
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
            {"workers": workers_feed},
            self._contents,
            self._apply_contents,
        )
        self.peers._transport = NetworkTransport(network, self)
        for host in addresses:
            self.peers.add_address(host, host)

    def _contents(self):
        self.loads.retain_peers(self.peers.members.load_sources())
        requests = self.request_quarantine.report()
        return {
            **summaries.EMPTY_CONTENTS,
            "in_flight": dict(self.loads.own_counts),
            "ready": not self.leaving,
            "leaving": self.leaving,
            **self.quarantine.report(),
            "request_crashes": requests["crashes"],
            "request_survived": requests["survived"],
        }

    def _apply_contents(self, source, body):
        self.loads.update_peer(source, body["in_flight"], body["busy"])
        self.quarantine.update_peer(
            body.get("crashes", {}), body.get("survived", {})
        )
        self.request_quarantine.update_peer(
            body.get("request_crashes", {}), body.get("request_survived", {})
        )

    def leave(self):
        self.leaving = True
        self.peers.send_heartbeats()

    def directory(self):
        return set(self.peers.members.caller_addresses())

    def gateway_count(self):
        self.peers.members._counted_ms = -1_000
        return self.peers.gateway_count()


class Network:
    """Runs gateways and delivers their datagrams without delay.

    Attributes:
        members: The running gateways by id.
        sent: Sender, receiver's host and body of each datagram.
        cut: Returns whether datagrams between two gateways are lost.
        drop: Returns whether a datagram with a given body is lost.
        loss: Share of the other datagrams that are lost at random.
        checks: Functions that are called after each step.
    """

    def __init__(self, seed=1):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.members = {}
        self.sent = []
        self.cut = lambda first, second: False
        self.drop = lambda body: False
        self.loss = 0.0
        self.checks = []

    def start(self, sizes, addresses=None, first=0, **settings):
        """Starts gateways, given their number per zone.

        Without `addresses`, each gateway knows the addresses of all others.
        """
        started = [
            Member(self, zone, number, addresses or (), **settings)
            for zone, size in sizes.items()
            for number in range(first, first + size)
        ]
        self.members |= {member.id: member for member in started}
        if addresses is None:
            for member in started:
                for other in tuple(self.members.values()):
                    member.peers.add_address(other.host, other.id)
        return started

    def run(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.set_ms(self.clock.now_ms() + STEP_MS)
            for member in tuple(self.members.values()):
                if member.due_ms <= self.clock.now_ms():
                    member.due_ms = (
                        self.clock.now_ms() + member.peers.send_due()
                    )
            for check in self.checks:
                check()

    def run_until(self, condition, limit_ms):
        """Runs until a condition holds; returns the time taken in ms."""
        start_ms = self.clock.now_ms()
        while not condition():
            passed_ms = self.clock.now_ms() - start_ms
            assert passed_ms < limit_ms, f"not within {limit_ms} ms"
            self.run(STEP_MS)
        return self.clock.now_ms() - start_ms

    def deliver(self, sender, host, packed):
        body = msgpack.unpackb(packed)
        self.sent.append((sender, host, body))
        for member in self.members.values():
            if member.host == host and not (
                self.cut(sender, member)
                or self.drop(body)
                or self.rng.random() < self.loss
            ):
                member.peers._received(packed)

    def complete(self):
        """Whether each gateway lists all others and counts each load once."""
        ids = set(self.members)
        return all(
            member.directory() == ids - {member.id}
            and member.loads.in_flight(WORKER) == len(ids)
            for member in self.members.values()
        )

    def relays(self, zone):
        """Returns the relays of a zone, the primary first."""
        ids = [
            member.id for member in self.members.values() if member.zone == zone
        ]
        return [self.members[id_] for id_ in summaries.choose_relays(zone, ids)]

    def kill(self, *killed):
        for member in killed:
            del self.members[member.id]
