"""Partitions of datagrams between daemons, each for one direction of a link."""

import pathlib
import random
import typing
from collections import abc

PRELUDE: typing.Final = """
from sapphirepaddle.peers import datagrams as _datagrams
_send = _datagrams.DatagramEndpoint.send
def _send_unpartitioned(self, body, hosts):
    sender = self.transport.get_extra_info('sockname')[0]
    with open({path!r}) as file:
        links = frozenset(file.read().split())
    _send(self, body, [to for to in hosts if f'{{sender}}>{{to}}' not in links])
_datagrams.DatagramEndpoint.send = _send_unpartitioned
"""
"""Runs in the daemons: the sender drops datagrams on the links in the file."""
DIRECTIONS: typing.Final = ('out', 'back', 'both')


class DatagramPartitions:
    """The partitioned links, in a file that the daemons read at each send.

    Attributes:
        path: Path of the file.
        links: Host of the sender and of the receiver of each partitioned link.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Write a file without partitions."""
        self.path = folder / 'cuts'
        self.links: set[tuple[str, str]] = set()
        self.write()

    def prelude(self) -> str:
        """Return the Python code that makes a daemon drop the datagrams."""
        return PRELUDE.format(path=str(self.path))

    def replace_links(self, links: abc.Iterable[tuple[str, str]]) -> None:
        """Replace the partitioned links."""
        self.links = set(links)
        self.write()

    def write(self) -> None:
        """Replace the file atomically, so that no daemon reads a part of it."""
        temporary = self.path.with_suffix('.new')
        temporary.write_text(
            '\n'.join(f'{sender}>{receiver}' for sender, receiver in self.links)
        )
        temporary.rename(self.path)


def draw_links(
    rng: random.Random,
    hosts: abc.Sequence[str],
) -> set[tuple[str, str]]:
    """Draw links between two sets of daemons, in one direction or both.

    The first set has at most a third of the daemons, but at least one.
    """
    partitioned_hosts = rng.sample(
        hosts, rng.randint(1, max(1, len(hosts) // 3))
    )
    other_hosts = [host for host in hosts if host not in partitioned_hosts]
    peers = rng.sample(other_hosts, rng.randint(1, len(other_hosts)))
    direction = rng.choice(DIRECTIONS)
    outbound = {
        (sender, receiver) for sender in partitioned_hosts for receiver in peers
    }
    inbound = {(receiver, sender) for sender, receiver in outbound}
    return {'out': outbound, 'back': inbound, 'both': outbound | inbound}[
        direction
    ]
