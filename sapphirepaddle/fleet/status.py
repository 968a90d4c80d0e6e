"""What each daemon tells the fleet about itself."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle import clock
from sapphirepaddle.peers import gossip, messages

TOPIC: typing.Final = 'status'
WITHDRAWN_TOPIC: typing.Final = 'withdrawn'
MILLISECONDS_PER_SECOND: typing.Final = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonStatus:
    """State of one daemon.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        state: Where it is in its life.
        revision: Configuration in force.
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
        gossip: Spreads statuses.
        statuses: Statuses by VM.
    """

    def __init__(self, spread: gossip.Gossip) -> None:
        """Take part in the spreading of news."""
        self.gossip = spread
        self.statuses: dict[str, DaemonStatus] = {}
        spread.store.handlers[TOPIC] = self.handle_status

    def handle_status(self, item: messages.GossipItem) -> None:
        """Take up the status of a daemon."""
        self.statuses[item.key] = ADAPTER.validate_json(item.payload)

    def publish(self, own: DaemonStatus) -> None:
        """Spread this daemon's own status."""
        self.gossip.publish_version(
            TOPIC,
            own.vm,
            int(own.at * MILLISECONDS_PER_SECOND),
            orjson.dumps(own),
        )

    def remove_unknown(self, known: typing.Collection[str]) -> None:
        """Drop statuses of VMs that are gone."""
        for name in self.statuses.keys() - set(known):
            self.statuses.pop(name)
            self.gossip.store.forget(TOPIC, name)


def local_status(
    vm: str,
    zone: str,
    state: str,
    revision: int,
) -> DaemonStatus:
    """Return the status of this daemon now."""
    return DaemonStatus(
        vm=vm,
        zone=zone,
        state=state,
        revision=revision,
        at=clock.wall(),
    )
