"""Status that each daemon publishes to the fleet."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle import clock
from sapphirepaddle.peers import gossip, messages

TOPIC: typing.Final = 'status'
WITHDRAWN_TOPIC: typing.Final = 'withdrawn'
"""Gossip topic of key digests that were withdrawn."""
MILLISECONDS_PER_SECOND: typing.Final = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonStatus:
    """Status of one daemon.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        state: Lifecycle state of the daemon.
        revision: Revision of the active configuration.
        at: Unix time of this status in seconds.
    """

    vm: str
    zone: str
    state: str
    revision: int
    at: float


ADAPTER: typing.Final = pydantic.TypeAdapter(DaemonStatus)


class DaemonStatuses:
    """The newest status of each daemon.

    Attributes:
        gossip: Publishes statuses.
        statuses: Statuses by name of the VM.
    """

    def __init__(self, peer_gossip: gossip.Gossip) -> None:
        """Register the gossip handler of statuses."""
        self.gossip = peer_gossip
        self.statuses: dict[str, DaemonStatus] = {}
        peer_gossip.store.handlers[TOPIC] = self.handle_status

    def handle_status(self, item: messages.GossipItem) -> None:
        """Store the status that a daemon published."""
        self.statuses[item.key] = ADAPTER.validate_json(item.payload)

    def publish(self, status: DaemonStatus) -> None:
        """Publish the status of this daemon.

        Its time in milliseconds is the version.
        """
        self.gossip.publish_version(
            TOPIC,
            status.vm,
            int(status.at * MILLISECONDS_PER_SECOND),
            orjson.dumps(status),
        )

    def remove_unknown(self, known_names: typing.Collection[str]) -> None:
        """Remove statuses of VMs that are not among the known names."""
        for name in self.statuses.keys() - set(known_names):
            self.statuses.pop(name)
            self.gossip.store.remove(TOPIC, name)


def local_status(
    vm: str,
    zone: str,
    state: str,
    revision: int,
) -> DaemonStatus:
    """Return the current status of this daemon."""
    return DaemonStatus(
        vm=vm,
        zone=zone,
        state=state,
        revision=revision,
        at=clock.wall(),
    )
