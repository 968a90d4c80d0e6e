"""Ways to spread news between daemons, compared.

Run with python -m bench.spread. Pure: rounds of one message delay each. Each
way has about the same number of connections for each daemon, 2 log2(n).
"ring" is the daemon's own choice: those 1, 2, 4, ... places further on a ring
in hash order; news are passed on over all connections once. "random overlay"
is a random graph of bounded degree, as the related paper on JumpNet builds,
used in the same way. "gossip" sends to three daemons drawn anew each round.
"tree" is a binary tree in hash order.
"""

import collections
import math
import random
import statistics
import typing

from sapphirepaddle.peers import ring

SEEDS = range(5)
SIZES = (36, 500, 8900)
LOSSES = (0.0, 0.05, 0.2)
PARTITIONED_RATIO = 0.2
FANOUT = 3
MAX_ROUNDS = 60

Graph = dict[int, list[int]]


class Outcome(typing.NamedTuple):
    """What one way did.

    Attributes:
        rounds: Rounds until nothing new happened.
        messages: Messages for each daemon.
        coverage: Share of daemons that heard the news.
    """

    rounds: int
    messages: float
    coverage: float


def ring_graph(size: int, _chance: random.Random) -> Graph:
    """Return the daemon's own choice of connections."""
    order = [int(name) for name in ring.order(map(str, range(size)))]
    offsets = [2**power for power in range(size.bit_length())]
    return {
        order[place]: sorted(
            {
                order[(place + step) % size]
                for offset in offsets
                if offset < size
                for step in (offset, -offset)
            },
        )
        for place in range(size)
    }


def random_graph(size: int, chance: random.Random) -> Graph:
    """Return a random graph of the same degree."""
    degree = 2 * max(1, round(math.log2(size)))
    edges: dict[int, set[int]] = collections.defaultdict(set)
    for _ in range(degree // 2):
        order = list(range(size))
        chance.shuffle(order)
        for place, node in enumerate(order):
            other = order[(place + 1) % size]
            edges[node].add(other)
            edges[other].add(node)
    return {node: sorted(others) for node, others in edges.items()}


def tree_graph(size: int, _chance: random.Random) -> Graph:
    """Return a binary tree."""
    return {
        node: [
            other
            for other in (2 * node + 1, 2 * node + 2, (node - 1) // 2)
            if 0 <= other < size and other != node
        ]
        for node in range(size)
    }


def flood(graph: Graph, loss: float, cut: set[int], seed: int) -> Outcome:
    """Pass news on over all connections once.

    A daemon in the cut hears only one in five of its neighbours.
    """
    chance = random.Random(seed)
    heard = {0}
    fresh = [0]
    sent = 0
    rounds = 0
    while fresh and rounds < MAX_ROUNDS:
        rounds += 1
        following = []
        for node in fresh:
            for other in graph[node]:
                sent += 1
                if other in heard or chance.random() < loss:
                    continue
                if other in cut and (node + other) % 5:
                    continue
                heard.add(other)
                following.append(other)
        fresh = following
    return Outcome(rounds, sent / len(graph), len(heard) / len(graph))


def gossip(size: int, loss: float, cut: set[int], seed: int) -> Outcome:
    """Send to a few daemons drawn anew, as long as one is fresh enough."""
    chance = random.Random(seed)
    rounds_left = math.ceil(math.log2(size)) + 2
    age = {0: 0}
    sent = 0
    for rounds in range(1, MAX_ROUNDS):
        active = [node for node, old in age.items() if old < rounds_left]
        if not active:
            return Outcome(rounds, sent / size, len(age) / size)
        for node in active:
            age[node] += 1
            for other in chance.choices(range(size), k=FANOUT):
                sent += 1
                lost = chance.random() < loss
                if not lost and not (other in cut and (node + other) % 5):
                    age.setdefault(other, 0)
    return Outcome(MAX_ROUNDS, sent / size, len(age) / size)


GRAPHS = {
    'ring': ring_graph,
    'random overlay': random_graph,
    'tree': tree_graph,
}


def measure(way: str, size: int, loss: float, cut: bool) -> Outcome:
    """Return the medians of one way over the seeds."""
    outcomes = []
    for seed in SEEDS:
        chance = random.Random(seed)
        deaf = set(chance.sample(range(1, size), int(size * PARTITIONED_RATIO)))
        held = deaf if cut else set()
        if way == 'gossip':
            outcomes.append(gossip(size, loss, held, seed))
        else:
            graph = GRAPHS[way](size, chance)
            outcomes.append(flood(graph, loss, held, seed))
    columns = zip(*outcomes, strict=True)
    rounds, messages, coverage = map(statistics.median, columns)
    return Outcome(int(rounds), messages, coverage)


def main() -> None:
    """Print the table."""
    print(
        '| daemons | loss | one-way cuts | way | rounds | messages | reached |'
    )
    print('|---|---|---|---|---|---|---|')
    for size in SIZES:
        for loss, cut in [(loss, False) for loss in LOSSES] + [(0.05, True)]:
            for way in ('ring', 'random overlay', 'gossip', 'tree'):
                found = measure(way, size, loss, cut)
                print(
                    f'| {size} | {loss:.0%} | {"20%" if cut else "none"} '
                    f'| {way} | {found.rounds} | {found.messages:.1f} '
                    f'| {found.coverage:.2%} |',
                )


if __name__ == '__main__':
    main()
