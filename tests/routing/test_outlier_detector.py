"""Outlier detection from the observations of several daemons."""

import unittest

from sapphirepaddle.routing import (
    ejection_state,
    outlier_detector,
    result_counts,
    target_observation,
)
from sapphirepaddle.settings import entry

Standing = ejection_state.Standing
HEALTHY = ejection_state.EjectionState(
    target='t', epoch=0, standing=Standing.HEALTHY
)


class OutlierDetectorCase(unittest.TestCase):
    """An outlier detector with the default thresholds."""

    def setUp(self) -> None:
        """Create the detector."""
        self.settings = entry.RoutingSettings()
        self.detector = outlier_detector.OutlierDetector('vm0', self.settings)
        self.now = 100.0

    def report(
        self,
        reporter: str,
        zone: str = 'a',
        target: str = 't',
        **counts: int,
    ) -> None:
        """Record the results that one daemon reports."""
        record = self.detector.records.get(target)
        healthy = ejection_state.EjectionState(
            target=target,
            epoch=0,
            standing=Standing.HEALTHY,
        )
        self.detector.record_observation(
            target_observation.TargetObservation(
                target=target,
                service='s',
                reporter=reporter,
                zone=zone,
                counts=result_counts.ResultCounts(**counts),
            ),
            record.ejection_state if record else healthy,
            self.now,
        )

    def evaluate(self, seconds: float = 0) -> list[Standing]:
        """Let time pass and return the standings of changed targets."""
        self.now += seconds
        return [
            state.standing
            for state in self.detector.evaluate(self.now, live_daemons=6)
        ]


class TestEjection(OutlierDetectorCase):
    """Conditions for the ejection of a target by the fleet.

    Faults of one daemon or network path, and overload of the whole service,
    also cause suspect results and must not eject a healthy target.
    """

    def test_two_reporters_in_two_zones(self) -> None:
        """Errors reported from two zones eject a target immediately."""
        self.report('vm1', 'a', bad=2)
        self.report('vm2', 'b', bad=2)
        self.assertEqual(self.evaluate(), [Standing.EJECTED])

    def test_one_reporter(self) -> None:
        """Reports of a single daemon never eject a target."""
        self.report('vm1', bad=50)
        self.assertEqual(self.evaluate(3), [])

    def test_one_zone_contradicted_by_others(self) -> None:
        """A fault seen from one zone only is a fault of the network path."""
        self.report('vm1', 'a', bad=5)
        self.report('vm2', 'a', bad=5)
        self.report('vm3', 'b', good=1)
        self.assertEqual(self.evaluate(0.1), [])
        self.now += 0.2
        self.report('vm3', 'b', good=3)
        self.assertEqual(self.evaluate(2), [])

    def test_one_zone_without_contradiction(self) -> None:
        """Without good reports of other zones in time, it is ejected."""
        self.report('vm3', 'b', good=1)
        self.now += 0.1
        self.report('vm1', 'a', bad=5)
        self.report('vm2', 'a', bad=5)
        self.assertEqual(self.evaluate(0.1), [])
        self.assertEqual(self.evaluate(1.5), [Standing.EJECTED])

    def test_overload_is_not_a_fault(self) -> None:
        """No target is ejected as slow while all of them are slow."""
        for number in range(6):
            for reporter, zone in (('vm1', 'a'), ('vm2', 'b')):
                self.report(reporter, zone, f't{number}', slow=6, good=3)
        self.assertEqual(self.evaluate(), [])

    def test_usual_slow_answers_are_not_a_fault(self) -> None:
        """A few slow answers are not significant if they are usual."""
        for number in range(6):
            self.report('vm1', 'a', f't{number}', good=90, slow=10)
        self.report('vm2', 'a', 'x', slow=2, good=1)
        self.report('vm3', 'b', 'x', slow=2, good=1)
        self.assertEqual(self.evaluate(), [])


class TestReturn(OutlierDetectorCase):
    """Return of an ejected target.

    A target that returns before its fault has ended fails requests again.
    """

    def eject(self) -> None:
        """Eject the target by errors reported from two zones."""
        self.report('vm1', 'a', bad=3)
        self.report('vm2', 'b', bad=3)
        self.assertEqual(self.evaluate(), [Standing.EJECTED])

    def test_ejected_returning_healthy(self) -> None:
        """It is returning after the ejection time, then healthy."""
        self.eject()
        self.assertEqual(self.evaluate(self.settings.eject_seconds - 0.1), [])
        self.assertEqual(self.evaluate(0.2), [Standing.RETURNING])
        standings = self.evaluate(self.settings.return_seconds + 0.1)
        self.assertEqual(standings, [Standing.HEALTHY])

    def test_relapse_doubles_ejection_time(self) -> None:
        """Each relapse doubles the ejection time."""
        self.eject()
        self.evaluate(self.settings.eject_seconds + 0.1)
        self.eject()
        self.assertEqual(self.evaluate(self.settings.eject_seconds + 0.1), [])
        standings = self.evaluate(self.settings.eject_seconds)
        self.assertEqual(standings, [Standing.RETURNING])

    def test_failing_probes_prevent_return(self) -> None:
        """It stays ejected while probes fail."""
        self.eject()
        self.now += self.settings.eject_seconds
        self.report('vm1', bad=1)
        self.assertEqual(self.evaluate(0.1), [])


if __name__ == '__main__':
    unittest.main()
