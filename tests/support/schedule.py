"""A seeded schedule of random faults."""

import functools
import random
import typing

from sapphirepaddle import errors
from tests.support import operator, proof, relay

FAULTS = (
    'kill',
    'freeze',
    'cut',
    'outage',
    'hang',
    'lose',
    'slow platform',
    'gray',
    'flap',
    'race',
    'stop',
)
STEP_SECONDS = 1.2
LAST_DAEMONS = 4

Action = tuple[float, typing.Callable[[], None]]


class Schedule:
    """Draws faults, each with its end.

    Attributes:
        case: The running fleet.
        relay: Cuts links.
        chance: Source of randomness.
        busy: Daemons that a fault holds now, with the end of it.
        drawn: What was drawn, for the report.
    """

    def __init__(
        self,
        case: proof.FleetCase,
        opened: relay.Relay,
        seed: int,
    ) -> None:
        """Start with nothing drawn."""
        self.case = case
        self.relay = opened
        self.chance = random.Random(seed)
        self.busy: dict[str, float] = {}
        self.drawn: list[str] = []

    def draw(self, seconds: float) -> list[Action]:
        """Draw the faults of some seconds."""
        actions: list[Action] = []
        at = 0.5
        while at < seconds - 3:
            name = self.chance.choice(FAULTS)
            self.drawn.append(f'{at:.1f} {name}')
            draw = getattr(self, f'draw_{name.replace(" ", "_")}')
            actions.extend(draw(at))
            at += STEP_SECONDS * self.chance.uniform(0.5, 1.5)
        return actions

    def daemon(self, at: float, seconds: float) -> str | None:
        """Choose a daemon that no fault holds; at most two are held."""
        held = [name for name, end in self.busy.items() if end > at]
        free = [name for name in self.case.fleet.daemons if name not in held]
        if len(held) >= len(self.case.fleet.daemons) - LAST_DAEMONS:
            return None
        chosen = self.chance.choice(free)
        self.busy[chosen] = at + seconds
        return chosen

    def draw_kill(self, at: float) -> list[Action]:
        """Kill a daemon and start it again."""
        name = self.daemon(at, 4)
        if name is None:
            return []
        start = functools.partial(self.case.fleet.start_daemon, name)
        return [
            (at, lambda: self.case.fleet.programs[name].kill()),
            (at + 1, start),
        ]

    def draw_stop(self, at: float) -> list[Action]:
        """Stop a daemon as planned and start it again."""
        name = self.daemon(at, 6)
        if name is None:
            return []
        start = functools.partial(self.case.fleet.start_daemon, name)
        return [
            (at, lambda: self.case.fleet.programs[name].ask_to_stop()),
            (at + 3, start),
        ]

    def draw_freeze(self, at: float) -> list[Action]:
        """Pause a daemon for a while."""
        seconds = self.chance.uniform(0.5, 4)
        name = self.daemon(at, seconds + 1)
        if name is None:
            return []
        return [
            (at, lambda: self.case.fleet.programs[name].freeze()),
            (at + seconds, lambda: self.case.fleet.programs[name].wake()),
        ]

    def draw_cut(self, at: float) -> list[Action]:
        """Cut every link to or from a daemon in one direction."""
        name = self.daemon(at, 3)
        if name is None:
            return []
        places = self.case.fleet.daemons
        own = places[name].host
        inbound = self.chance.random() < 0.5
        pairs = {
            (place.host, own) if inbound else (own, place.host)
            for place in places.values()
        }
        return [
            (at, lambda: self.relay.cuts.update(pairs)),
            (at + 2.5, lambda: self.relay.cuts.difference_update(pairs)),
        ]

    def platform(self, at: float, **faults: typing.Any) -> list[Action]:
        """Bring about a fault of the platform for a while."""
        end = at + self.chance.uniform(0.5, 3)
        return [
            (at, lambda: self.case.fleet.fault_platform(**faults)),
            (end, self.case.fleet.fault_platform),
        ]

    def draw_outage(self, at: float) -> list[Action]:
        """Make the platform refuse calls."""
        return self.platform(at, down=True)

    def draw_hang(self, at: float) -> list[Action]:
        """Make the platform hang."""
        return self.platform(at, down=True, hang=True)

    def draw_lose(self, at: float) -> list[Action]:
        """Make the platform lose answers after their effect."""
        return self.platform(at, lose_share=0.5)

    def draw_slow_platform(self, at: float) -> list[Action]:
        """Make the platform slow."""
        return self.platform(at, delay_ms=300)

    def gray(self, at: float, **extra: typing.Any) -> list[Action]:
        """Make a target gray for a while."""
        name = self.chance.choice(sorted(self.case.fleet.targets))
        mode = self.chance.choice(
            ('error_share', 'stall_share', 'short_share', 'crossed_share'),
        )
        modes = {mode: self.chance.choice((0.3, 1)), **extra}
        set_modes = self.case.fleet.set_modes
        return [
            (at, lambda: set_modes(name, **modes)),
            (at + 3, lambda: set_modes(name)),
        ]

    def draw_gray(self, at: float) -> list[Action]:
        """Make a target gray."""
        return self.gray(at)

    def draw_flap(self, at: float) -> list[Action]:
        """Make a target flap."""
        return self.gray(at, flap_seconds=0.4)

    def draw_race(self, at: float) -> list[Action]:
        """Let operators change the same account at two daemons."""
        rate = self.chance.randint(500, 900)
        return [(at, lambda: self.race(rate))]

    def race(self, rate: float) -> None:
        """Change an account at two daemons; refusals are allowed."""
        for name in self.chance.sample(sorted(self.case.fleet.daemons), 2):
            try:
                operator.carry_out(
                    self.case.fleet,
                    name,
                    'set-account',
                    account='weavers',
                    rate=rate,
                )
            except errors.PaddleError:
                continue
