"""Exchange of introductions with other daemons."""

import dataclasses
from collections import abc

from sapphirepaddle.directory import member
from sapphirepaddle.peers import digest, fleet, introduction

Transmit = abc.Callable[[digest.Body, abc.Sequence[str]], None]


class IntroductionExchange:
    """Sends and processes introductions.

    Attributes:
        fleet: The known daemons.
        transmit: Sends a datagram to a list of hosts.
        on_asked: Called with the host of a daemon that starts and asked for an
            introduction.
    """

    def __init__(self, peer_fleet: fleet.Fleet, transmit: Transmit) -> None:
        """Initialize with the fleet and the function that sends datagrams."""
        self.fleet = peer_fleet
        self.transmit = transmit
        self.on_asked: abc.Callable[[str], None] = ignore_host

    def request_introductions(self, hosts: abc.Sequence[str]) -> None:
        """Introduce this daemon to hosts, which answer with theirs."""
        self.transmit(introduction.to_hello(self.fleet.local_member), hosts)

    def announce_to(self, members: abc.Collection[member.Member]) -> None:
        """Introduce this daemon to members that it has just discovered.

        Traffic between zones is expensive, so only one random member in each
        other zone is sent the introduction and forwards it within its zone.
        """
        local_member = self.fleet.local_member
        hello = introduction.to_hello(local_member, is_answer=True)
        hosts_by_zone: dict[str, list[str]] = {}
        for fleet_member in members:
            hosts_by_zone.setdefault(fleet_member.zone, []).append(
                fleet_member.host
            )
        self.transmit(hello, hosts_by_zone.pop(local_member.zone, ()))
        self.transmit(
            dataclasses.replace(hello, is_forwarded=True),
            [
                self.fleet.rng.choice(zone_hosts)
                for zone_hosts in hosts_by_zone.values()
            ],
        )

    def handle_hello(self, hello: digest.Hello) -> None:
        """Add a daemon; forward or answer its introduction if requested."""
        self.fleet.add(introduction.to_member(hello))
        self.fleet.record_message(digest.hash_name(hello.name))
        if hello.is_forwarded:
            forwarded = dataclasses.replace(hello, is_forwarded=False)
            self.transmit(forwarded, self.fleet.same_zone_hosts())
        if not hello.is_answer:
            reply = introduction.to_hello(
                self.fleet.local_member, is_answer=True
            )
            self.transmit(reply, (hello.host,))
            self.on_asked(hello.host)


def ignore_host(_host: str) -> None:
    """Do nothing: by default a daemon that starts is told nothing more."""
