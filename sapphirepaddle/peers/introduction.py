"""Daemons of the fleet as datagrams and snapshots name them."""

from sapphirepaddle.directory import member
from sapphirepaddle.peers import digest


def to_hello(held: member.Member, is_answer: bool = False) -> digest.Hello:
    """Return the introduction of a daemon."""
    return digest.Hello(
        name=held.name,
        zone=held.zone,
        host=held.host,
        incarnation=held.incarnation,
        is_answer=is_answer,
    )


def to_member(hello: digest.Hello) -> member.Member:
    """Return the daemon that an introduction names."""
    return member.Member(
        name=hello.name,
        zone=hello.zone,
        host=hello.host,
        incarnation=hello.incarnation,
    )
