"""A seeded schedule of random faults."""

import functools
import random
import typing

from sapphirepaddle import errors
from tests.support import fleet_case, operator, relay

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
"""Mean time from the start of a fault to the start of the next."""
MIN_FAULTLESS_DAEMONS = 4

TimedAction = tuple[float, typing.Callable[[], None]]


class FaultSchedule:
    """Draws random faults, each together with its end.

    Attributes:
        case: The test with the running fleet.
        relay: Relay that partitions links between daemons.
        rng: Random number generator; its seed fixes the schedule.
        fault_ends: Time in seconds when the last fault of a daemon ends, by
            its name.
        drawn_faults: Time and name of each fault, for the report.
    """

    def __init__(
        self,
        case: fleet_case.FleetCase,
        opened_relay: relay.Relay,
        seed: int,
    ) -> None:
        """Initialize without faults."""
        self.case = case
        self.relay = opened_relay
        self.rng = random.Random(seed)
        self.fault_ends: dict[str, float] = {}
        self.drawn_faults: list[str] = []

    def draw_actions(self, seconds: float) -> list[TimedAction]:
        """Return the actions of a schedule of the given length.

        No fault starts in the last 3 s.
        """
        actions: list[TimedAction] = []
        at = 0.5
        while at < seconds - 3:
            name = self.rng.choice(FAULTS)
            self.drawn_faults.append(f'{at:.1f} {name}')
            draw_fault = getattr(self, f'draw_{name.replace(" ", "_")}')
            actions.extend(draw_fault(at))
            at += STEP_SECONDS * self.rng.uniform(0.5, 1.5)
        return actions

    def choose_daemon(self, at: float, seconds: float) -> str | None:
        """Choose a daemon without a fault and reserve it for some seconds.

        Of six daemons, at most two have a fault at the same time.

        Returns:
            Its name; None if only MIN_FAULTLESS_DAEMONS daemons have no
            fault.
        """
        faulty = [name for name, end in self.fault_ends.items() if end > at]
        faultless = [
            name for name in self.case.fleet.daemons if name not in faulty
        ]
        if len(faulty) >= len(self.case.fleet.daemons) - MIN_FAULTLESS_DAEMONS:
            return None
        daemon = self.rng.choice(faultless)
        self.fault_ends[daemon] = at + seconds
        return daemon

    def draw_kill(self, at: float) -> list[TimedAction]:
        """Kill a daemon and start it again."""
        name = self.choose_daemon(at, 4)
        if name is None:
            return []
        start = functools.partial(self.case.fleet.start_daemon, name)
        return [
            (at, lambda: self.case.fleet.programs[name].kill()),
            (at + 1, start),
        ]

    def draw_stop(self, at: float) -> list[TimedAction]:
        """Stop a daemon gracefully and start it again."""
        name = self.choose_daemon(at, 6)
        if name is None:
            return []
        start = functools.partial(self.case.fleet.start_daemon, name)
        return [
            (at, lambda: self.case.fleet.programs[name].request_stop()),
            (at + 3, start),
        ]

    def draw_freeze(self, at: float) -> list[TimedAction]:
        """Pause a daemon for 0.5 to 4 s."""
        seconds = self.rng.uniform(0.5, 4)
        name = self.choose_daemon(at, seconds + 1)
        if name is None:
            return []
        return [
            (at, lambda: self.case.fleet.programs[name].pause()),
            (at + seconds, lambda: self.case.fleet.programs[name].resume()),
        ]

    def draw_cut(self, at: float) -> list[TimedAction]:
        """Partition all links to a daemon or all links from it."""
        name = self.choose_daemon(at, 3)
        if name is None:
            return []
        daemons = self.case.fleet.daemons
        host = daemons[name].host
        inbound = self.rng.random() < 0.5
        links = {
            (addresses.host, host) if inbound else (host, addresses.host)
            for addresses in daemons.values()
        }
        return [
            (at, lambda: self.relay.partitioned_links.update(links)),
            (
                at + 2.5,
                lambda: self.relay.partitioned_links.difference_update(links),
            ),
        ]

    def platform_fault(
        self, at: float, **faults: typing.Any
    ) -> list[TimedAction]:
        """Return the start and end of a platform fault of 0.5 to 3 s."""
        end_at = at + self.rng.uniform(0.5, 3)
        return [
            (at, lambda: self.case.fleet.set_platform_faults(**faults)),
            (end_at, self.case.fleet.set_platform_faults),
        ]

    def draw_outage(self, at: float) -> list[TimedAction]:
        """Make the platform refuse calls."""
        return self.platform_fault(at, down=True)

    def draw_hang(self, at: float) -> list[TimedAction]:
        """Make the platform leave calls unanswered."""
        return self.platform_fault(at, down=True, hang=True)

    def draw_lose(self, at: float) -> list[TimedAction]:
        """Make the platform lose half of the answers to applied writes."""
        return self.platform_fault(at, lose_share=0.5)

    def draw_slow_platform(self, at: float) -> list[TimedAction]:
        """Delay every call to the platform."""
        return self.platform_fault(at, delay_ms=300)

    def gray_fault(
        self, at: float, **more_modes: typing.Any
    ) -> list[TimedAction]:
        """Return the start and end of a gray failure of a target."""
        name = self.rng.choice(sorted(self.case.fleet.targets))
        mode = self.rng.choice(
            ('error_share', 'stall_share', 'short_share', 'crossed_share'),
        )
        modes = {mode: self.rng.choice((0.3, 1)), **more_modes}
        set_modes = self.case.fleet.set_modes
        return [
            (at, lambda: set_modes(name, **modes)),
            (at + 3, lambda: set_modes(name)),
        ]

    def draw_gray(self, at: float) -> list[TimedAction]:
        """Make a target fail some or all requests in one way."""
        return self.gray_fault(at)

    def draw_flap(self, at: float) -> list[TimedAction]:
        """Make a target alternate between failing and healthy."""
        return self.gray_fault(at, flap_seconds=0.4)

    def draw_race(self, at: float) -> list[TimedAction]:
        """Change the same account through two daemons."""
        rate = self.rng.randint(500, 900)
        return [(at, lambda: self.race(rate))]

    def race(self, rate: float) -> None:
        """Change an account through two daemons; either may refuse."""
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
