"""Judging targets from the evidence of several daemons."""

import unittest

from sapphirepaddle.routing import (
    outlier_detector,
    target_observation,
    result_counts,
    ejection_state,
)
from sapphirepaddle.settings import entry

Standing = ejection_state.Standing
HEALTHY = ejection_state.EjectionState(
    target='t', epoch=0, standing=Standing.HEALTHY
)


class JudgeCase(unittest.TestCase):
    """A judge with the default thresholds."""

    def setUp(self) -> None:
        """Create the judge."""
        self.settings = entry.RoutingSettings()
        self.judge = outlier_detector.OutlierDetector('vm0', self.settings)
        self.now = 100.0

    def see(
        self,
        observer: str,
        zone: str = 'a',
        target: str = 't',
        **counts: int,
    ) -> None:
        """Report what an observer saw."""
        held = self.judge.records.get(target)
        healthy = ejection_state.EjectionState(
            target=target,
            epoch=0,
            standing=Standing.HEALTHY,
        )
        self.judge.record_observation(
            target_observation.TargetObservation(
                target=target,
                service='s',
                reporter=observer,
                zone=zone,
                counts=result_counts.ResultCounts(**counts),
            ),
            held.ejection_state if held else healthy,
            self.now,
        )

    def decide(self, seconds: float = 0) -> list[Standing]:
        """Let time pass and return the standings pronounced."""
        self.now += seconds
        return [
            fresh.standing
            for fresh in self.judge.evaluate(self.now, live_daemons=6)
        ]


class TestEjection(JudgeCase):
    """When a target is ejected for all."""

    def test_two_observers_in_two_zones(self) -> None:
        """Errors that two zones see eject at once."""
        self.see('vm1', 'a', bad=2)
        self.see('vm2', 'b', bad=2)
        self.assertEqual(self.decide(), [Standing.EJECTED])

    def test_one_observer(self) -> None:
        """One daemon alone never ejects for all."""
        self.see('vm1', bad=50)
        self.assertEqual(self.decide(3), [])

    def test_one_zone_against_others(self) -> None:
        """A fault that only one zone sees is a fault of the way."""
        self.see('vm1', 'a', bad=5)
        self.see('vm2', 'a', bad=5)
        self.see('vm3', 'b', good=1)
        self.assertEqual(self.decide(0.1), [])
        self.now += 0.2
        self.see('vm3', 'b', good=3)
        self.assertEqual(self.decide(2), [])

    def test_one_zone_and_silence_elsewhere(self) -> None:
        """Where the others do not contradict in time, it ejects."""
        self.see('vm3', 'b', good=1)
        self.now += 0.1
        self.see('vm1', 'a', bad=5)
        self.see('vm2', 'a', bad=5)
        self.assertEqual(self.decide(0.1), [])
        self.assertEqual(self.decide(1.5), [Standing.EJECTED])

    def test_overload_is_no_fault(self) -> None:
        """Where all targets are slow, none is ejected for it."""
        for number in range(6):
            for observer, zone in (('vm1', 'a'), ('vm2', 'b')):
                self.see(observer, zone, f't{number}', slow=6, good=3)
        self.assertEqual(self.decide(), [])

    def test_usual_tail_is_no_fault(self) -> None:
        """A few slow answers of a service with a tail are chance."""
        for number in range(6):
            self.see('vm1', 'a', f't{number}', good=90, slow=10)
        self.see('vm2', 'a', 'x', slow=2, good=1)
        self.see('vm3', 'b', 'x', slow=2, good=1)
        self.assertEqual(self.decide(), [])


class TestReturn(JudgeCase):
    """How a target comes back."""

    def eject(self) -> None:
        """Let two zones see errors."""
        self.see('vm1', 'a', bad=3)
        self.see('vm2', 'b', bad=3)
        self.assertEqual(self.decide(), [Standing.EJECTED])

    def test_life(self) -> None:
        """It returns gradually after its time, then is healthy."""
        self.eject()
        self.assertEqual(self.decide(self.settings.eject_seconds - 0.1), [])
        self.assertEqual(self.decide(0.2), [Standing.RETURNING])
        found = self.decide(self.settings.return_seconds + 0.1)
        self.assertEqual(found, [Standing.HEALTHY])

    def test_relapse_doubles(self) -> None:
        """Each relapse doubles the ejection."""
        self.eject()
        self.decide(self.settings.eject_seconds + 0.1)
        self.eject()
        self.assertEqual(self.decide(self.settings.eject_seconds + 0.1), [])
        found = self.decide(self.settings.eject_seconds)
        self.assertEqual(found, [Standing.RETURNING])

    def test_failing_probes_keep_it_out(self) -> None:
        """It stays out while probes fail."""
        self.eject()
        self.now += self.settings.eject_seconds
        self.see('vm1', bad=1)
        self.assertEqual(self.decide(0.1), [])


if __name__ == '__main__':
    unittest.main()
