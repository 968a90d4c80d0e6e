"""Introducing this daemon to others."""

import dataclasses
from collections import abc

from sapphirepaddle.directory import member
from sapphirepaddle.peers import digest, fleet, introduction

Transmit = abc.Callable[[digest.Body, abc.Sequence[str]], None]


class IntroductionExchange:
    """Sends and takes up introductions.

    Attributes:
        fleet: The other daemons.
        transmit: Sends a datagram to hosts.
    """

    def __init__(self, others: fleet.Fleet, transmit: Transmit) -> None:
        """Store the parts."""
        self.fleet = others
        self.transmit = transmit

    def request_introductions(self, hosts: abc.Sequence[str]) -> None:
        """Introduce this daemon to hosts that are to do the same."""
        self.transmit(introduction.to_hello(self.fleet.local_member), hosts)

    def announce_to(self, known: abc.Collection[member.Member]) -> None:
        """Introduce this daemon to others that it has just learnt of.

        Daemons of other zones, to which bytes are dear, hear it from one of
        them.
        """
        own = self.fleet.local_member
        hello = introduction.to_hello(own, is_answer=True)
        hosts: dict[str, list[str]] = {}
        for held in known:
            hosts.setdefault(held.zone, []).append(held.host)
        self.transmit(hello, hosts.pop(own.zone, ()))
        self.transmit(
            dataclasses.replace(hello, is_forwarded=True),
            [self.fleet.rng.choice(found) for found in hosts.values()],
        )

    def handle_hello(self, hello: digest.Hello) -> None:
        """Take up an introduction; answer it, or hand it on, if wanted."""
        self.fleet.add(introduction.to_member(hello))
        self.fleet.record_contact(digest.hash_name(hello.name))
        if hello.is_forwarded:
            final = dataclasses.replace(hello, is_forwarded=False)
            self.transmit(final, self.fleet.same_zone_hosts())
        if not hello.is_answer:
            answer = introduction.to_hello(
                self.fleet.local_member, is_answer=True
            )
            self.transmit(answer, (hello.host,))
