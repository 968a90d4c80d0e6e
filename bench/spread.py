"""Comparison of strategies to spread messages between daemons.

Run with python -m bench.spread. A model without I/O, in rounds of one message
delay each. "ring" is what the daemons use: connections to the daemons 1, 2, 4,
... positions further on a ring in hash order, about 2 log2(n) for each daemon;
a daemon forwards each message once over all of them. "random overlay" floods a
random graph of the same bounded degree, as in the related paper on JumpNet.
"gossip" sends to three random daemons in each round. "tree" floods a binary
tree in hash order.
"""

import collections
import math
import random
import statistics
import typing

from sapphirepaddle.peers import ring

SEEDS = range(5)
SIZES = (36, 500, 8900)
LOSS_RATIOS = (0.0, 0.05, 0.2)
PARTITIONED_RATIO = 0.2
FANOUT = 3
MAX_ROUNDS = 60

Graph = dict[int, list[int]]


class Outcome(typing.NamedTuple):
    """Result of one strategy.

    Attributes:
        rounds: Rounds until no daemon forwards the message.
        messages: Messages sent for each daemon.
        coverage: Ratio of daemons that received the message.
    """

    rounds: int
    messages: float
    coverage: float


def ring_graph(size: int, _rng: random.Random) -> Graph:
    """Return the graph of the daemons' ring, by position in hash order."""
    order = [int(name) for name in ring.order(map(str, range(size)))]
    offsets = [2**power for power in range(size.bit_length())]
    return {
        order[position]: sorted(
            {
                order[(position + step) % size]
                for offset in offsets
                if offset < size
                for step in (offset, -offset)
            },
        )
        for position in range(size)
    }


def random_graph(size: int, rng: random.Random) -> Graph:
    """Return a random graph of about the degree of the ring."""
    degree = 2 * max(1, round(math.log2(size)))
    edges: dict[int, set[int]] = collections.defaultdict(set)
    for _ in range(degree // 2):
        order = list(range(size))
        rng.shuffle(order)
        for position, node in enumerate(order):
            neighbour = order[(position + 1) % size]
            edges[node].add(neighbour)
            edges[neighbour].add(node)
    return {node: sorted(neighbours) for node, neighbours in edges.items()}


def tree_graph(size: int, _rng: random.Random) -> Graph:
    """Return a binary tree as an undirected graph."""
    return {
        node: [
            neighbour
            for neighbour in (2 * node + 1, 2 * node + 2, (node - 1) // 2)
            if 0 <= neighbour < size and neighbour != node
        ]
        for node in range(size)
    }


def flood(
    graph: Graph, loss: float, partitioned: set[int], seed: int
) -> Outcome:
    """Forward a message once over all connections, starting at daemon 0.

    A partitioned daemon receives from only one in five of its neighbours.
    """
    rng = random.Random(seed)
    reached = {0}
    frontier = [0]
    sent = 0
    rounds = 0
    while frontier and rounds < MAX_ROUNDS:
        rounds += 1
        next_frontier = []
        for node in frontier:
            for neighbour in graph[node]:
                sent += 1
                if neighbour in reached or rng.random() < loss:
                    continue
                if neighbour in partitioned and (node + neighbour) % 5:
                    continue
                reached.add(neighbour)
                next_frontier.append(neighbour)
        frontier = next_frontier
    return Outcome(rounds, sent / len(graph), len(reached) / len(graph))


def gossip(size: int, loss: float, partitioned: set[int], seed: int) -> Outcome:
    """Send from each reached daemon to random ones for a number of rounds."""
    rng = random.Random(seed)
    max_age = math.ceil(math.log2(size)) + 2
    ages = {0: 0}
    sent = 0
    for rounds in range(1, MAX_ROUNDS):
        senders = [node for node, age in ages.items() if age < max_age]
        if not senders:
            return Outcome(rounds, sent / size, len(ages) / size)
        for node in senders:
            ages[node] += 1
            for receiver in rng.choices(range(size), k=FANOUT):
                sent += 1
                is_lost = rng.random() < loss
                if not is_lost and not (
                    receiver in partitioned and (node + receiver) % 5
                ):
                    ages.setdefault(receiver, 0)
    return Outcome(MAX_ROUNDS, sent / size, len(ages) / size)


GRAPHS = {
    'ring': ring_graph,
    'random overlay': random_graph,
    'tree': tree_graph,
}


def measure(
    strategy: str, size: int, loss: float, is_partitioned: bool
) -> Outcome:
    """Return the medians of one strategy over the seeds."""
    outcomes = []
    for seed in SEEDS:
        rng = random.Random(seed)
        sampled = set(rng.sample(range(1, size), int(size * PARTITIONED_RATIO)))
        partitioned = sampled if is_partitioned else set()
        if strategy == 'gossip':
            outcomes.append(gossip(size, loss, partitioned, seed))
        else:
            graph = GRAPHS[strategy](size, rng)
            outcomes.append(flood(graph, loss, partitioned, seed))
    columns = zip(*outcomes, strict=True)
    rounds, messages, coverage = map(statistics.median, columns)
    return Outcome(int(rounds), messages, coverage)


def main() -> None:
    """Run all strategies and print the table."""
    print(
        '| daemons | loss | one-way cuts | way | rounds | messages | reached |'
    )
    print('|---|---|---|---|---|---|---|')
    for size in SIZES:
        for loss, is_partitioned in [(loss, False) for loss in LOSS_RATIOS] + [
            (0.05, True)
        ]:
            for strategy in ('ring', 'random overlay', 'gossip', 'tree'):
                outcome = measure(strategy, size, loss, is_partitioned)
                print(
                    f'| {size} | {loss:.0%} '
                    f'| {"20%" if is_partitioned else "none"} | {strategy} '
                    f'| {outcome.rounds} | {outcome.messages:.1f} '
                    f'| {outcome.coverage:.2%} |',
                )


if __name__ == '__main__':
    main()
