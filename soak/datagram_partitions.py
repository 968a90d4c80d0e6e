"""Cuts of datagrams between daemons, each for one direction of a link."""

import pathlib
import random
import typing
from collections import abc

PRELUDE: typing.Final = """
from sapphirepaddle.peers import datagrams as _datagrams
_send = _datagrams.DatagramEndpoint.send
def _send_uncut(self, body, hosts):
    own = self.transport.get_extra_info('sockname')[0]
    with open({path!r}) as cuts:
        cut = frozenset(cuts.read().split())
    _send(self, body, [to for to in hosts if f'{{own}}>{{to}}' not in cut])
_datagrams.DatagramEndpoint.send = _send_uncut
"""
"""Runs in daemons: drops what the file says at the sender."""
WAYS: typing.Final = ('out', 'back', 'both')


class DatagramPartitions:
    """Cuts that are in force, in a file that daemons read.

    Attributes:
        path: The file.
        links: Cut links: sender and receiver.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Start without cuts."""
        self.path = folder / 'cuts'
        self.links: set[tuple[str, str]] = set()
        self.write()

    def prelude(self) -> str:
        """Return the code that makes a daemon heed the cuts."""
        return PRELUDE.format(path=str(self.path))

    def replace_links(self, links: abc.Iterable[tuple[str, str]]) -> None:
        """Replace the cuts."""
        self.links = set(links)
        self.write()

    def write(self) -> None:
        """Write the file in one step."""
        fresh = self.path.with_suffix('.new')
        fresh.write_text('\n'.join(f'{one}>{to}' for one, to in self.links))
        fresh.rename(self.path)


def draw_links(
    chance: random.Random,
    hosts: abc.Sequence[str],
) -> set[tuple[str, str]]:
    """Draw the links of some daemons to some others, in one way or both."""
    behind = chance.sample(hosts, chance.randint(1, max(1, len(hosts) // 3)))
    others = [host for host in hosts if host not in behind]
    met = chance.sample(others, chance.randint(1, len(others)))
    way = chance.choice(WAYS)
    out = {(one, other) for one in behind for other in met}
    back = {(other, one) for one, other in out}
    return {'out': out, 'back': back, 'both': out | back}[way]
