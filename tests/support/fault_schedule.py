"""A seeded schedule of random faults."""

import functools
import random
import typing

from sapphirepaddle import errors
from tests.support import operator, fleet_case, relay

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
MIN_FAULTLESS_DAEMONS = 4

Action = tuple[float, typing.Callable[[], None]]


class FaultSchedule:
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
        case: fleet_case.FleetCase,
        opened: relay.Relay,
        seed: int,
    ) -> None:
        """Start with nothing drawn."""
        self.case = case
        self.relay = opened
        self.rng = random.Random(seed)
        self.fault_ends: dict[str, float] = {}
        self.drawn_faults: list[str] = []

    def draw(self, seconds: float) -> list[Action]:
        """Draw the faults of some seconds."""
        actions: list[Action] = []
        at = 0.5
        while at < seconds - 3:
            name = self.rng.choice(FAULTS)
            self.drawn_faults.append(f'{at:.1f} {name}')
            draw = getattr(self, f'draw_{name.replace(" ", "_")}')
            actions.extend(draw(at))
            at += STEP_SECONDS * self.rng.uniform(0.5, 1.5)
        return actions

    def choose_daemon(self, at: float, seconds: float) -> str | None:
        """Choose a daemon that no fault holds; at most two are held."""
        held = [name for name, end in self.fault_ends.items() if end > at]
        free = [name for name in self.case.fleet.daemons if name not in held]
        if len(held) >= len(self.case.fleet.daemons) - MIN_FAULTLESS_DAEMONS:
            return None
        chosen = self.rng.choice(free)
        self.fault_ends[chosen] = at + seconds
        return chosen

    def draw_kill(self, at: float) -> list[Action]:
        """Kill a daemon and start it again."""
        name = self.choose_daemon(at, 4)
        if name is None:
            return []
        start = functools.partial(self.case.fleet.start_daemon, name)
        return [
            (at, lambda: self.case.fleet.programs[name].kill()),
            (at + 1, start),
        ]

    def draw_stop(self, at: float) -> list[Action]:
        """Stop a daemon as planned and start it again."""
        name = self.choose_daemon(at, 6)
        if name is None:
            return []
        start = functools.partial(self.case.fleet.start_daemon, name)
        return [
            (at, lambda: self.case.fleet.programs[name].request_stop()),
            (at + 3, start),
        ]

    def draw_freeze(self, at: float) -> list[Action]:
        """Pause a daemon for a while."""
        seconds = self.rng.uniform(0.5, 4)
        name = self.choose_daemon(at, seconds + 1)
        if name is None:
            return []
        return [
            (at, lambda: self.case.fleet.programs[name].pause()),
            (at + seconds, lambda: self.case.fleet.programs[name].resume()),
        ]

    def draw_cut(self, at: float) -> list[Action]:
        """Cut every link to or from a daemon in one direction."""
        name = self.choose_daemon(at, 3)
        if name is None:
            return []
        places = self.case.fleet.daemons
        own = places[name].host
        inbound = self.rng.random() < 0.5
        pairs = {
            (place.host, own) if inbound else (own, place.host)
            for place in places.values()
        }
        return [
            (at, lambda: self.relay.partitioned_links.update(pairs)),
            (
                at + 2.5,
                lambda: self.relay.partitioned_links.difference_update(pairs),
            ),
        ]

    def platform_fault(self, at: float, **faults: typing.Any) -> list[Action]:
        """Bring about a fault of the platform for a while."""
        end = at + self.rng.uniform(0.5, 3)
        return [
            (at, lambda: self.case.fleet.set_platform_faults(**faults)),
            (end, self.case.fleet.set_platform_faults),
        ]

    def draw_outage(self, at: float) -> list[Action]:
        """Make the platform refuse calls."""
        return self.platform_fault(at, down=True)

    def draw_hang(self, at: float) -> list[Action]:
        """Make the platform hang."""
        return self.platform_fault(at, down=True, hang=True)

    def draw_lose(self, at: float) -> list[Action]:
        """Make the platform lose answers after their effect."""
        return self.platform_fault(at, lose_share=0.5)

    def draw_slow_platform(self, at: float) -> list[Action]:
        """Make the platform slow."""
        return self.platform_fault(at, delay_ms=300)

    def gray_fault(self, at: float, **extra: typing.Any) -> list[Action]:
        """Make a target gray for a while."""
        name = self.rng.choice(sorted(self.case.fleet.targets))
        mode = self.rng.choice(
            ('error_share', 'stall_share', 'short_share', 'crossed_share'),
        )
        modes = {mode: self.rng.choice((0.3, 1)), **extra}
        set_modes = self.case.fleet.set_modes
        return [
            (at, lambda: set_modes(name, **modes)),
            (at + 3, lambda: set_modes(name)),
        ]

    def draw_gray(self, at: float) -> list[Action]:
        """Make a target gray."""
        return self.gray_fault(at)

    def draw_flap(self, at: float) -> list[Action]:
        """Make a target flap."""
        return self.gray_fault(at, flap_seconds=0.4)

    def draw_race(self, at: float) -> list[Action]:
        """Let operators change the same account at two daemons."""
        rate = self.rng.randint(500, 900)
        return [(at, lambda: self.race(rate))]

    def race(self, rate: float) -> None:
        """Change an account at two daemons; refusals are allowed."""
        for name in self.rng.sample(sorted(self.case.fleet.daemons), 2):
            try:
                operator.run_intent(
                    self.case.fleet,
                    name,
                    'set-account',
                    account='weavers',
                    rate=rate,
                )
            except errors.PaddleError:
                continue
