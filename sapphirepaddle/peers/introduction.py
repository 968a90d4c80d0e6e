"""Conversion between fleet members and introduction messages."""

from sapphirepaddle.directory import member
from sapphirepaddle.peers import digest


def to_hello(
    fleet_member: member.Member, is_answer: bool = False
) -> digest.Hello:
    """Return the introduction message of a member."""
    return digest.Hello(
        name=fleet_member.name,
        zone=fleet_member.zone,
        host=fleet_member.host,
        incarnation=fleet_member.incarnation,
        is_answer=is_answer,
    )


def to_member(hello: digest.Hello) -> member.Member:
    """Return the member that an introduction message describes."""
    return member.Member(
        name=hello.name,
        zone=hello.zone,
        host=hello.host,
        incarnation=hello.incarnation,
    )
