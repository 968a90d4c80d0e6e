"""Configuration objects and changes."""

import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle import errors
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.objects import change, configuration, key, references
from tests.support import fleet_case

DIGEST = key.digest(b'secret')


def entry(revision: int, *puts: change.Put, **extra) -> change.Change:
    """Return a change."""
    return change.Change(
        revision=revision,
        author='a',
        reason='r',
        token=f't{revision}',
        at=0,
        puts=puts,
        **extra,
    )


def put(kind: str, **body) -> change.Put:
    """Return a put."""
    return change.Put(kind=kind, body=body)


class TestAcceptance(unittest.TestCase):
    """What is refused before it is accepted."""

    def setUp(self) -> None:
        """Apply a small configuration."""
        self.current = configuration.Configuration()
        self.current.apply(entry(1, *fleet_case.small_configuration()))

    def code_of(self, *puts: change.Put, **extra) -> int:
        """Return the code of a refused change."""
        before = self.current.revision
        with self.assertRaises(errors.ConfigurationError) as caught:
            references.check(self.current, entry(2, *puts, **extra))
        self.assertEqual(self.current.revision, before)
        return caught.exception.code.number

    def test_bad_fields(self) -> None:
        """Unknown kinds, wrong and unknown fields are refused."""
        self.assertEqual(self.code_of(put('nothing', name='x')), 2001)
        self.assertEqual(self.code_of(put('service', name='x')), 2001)
        self.assertEqual(
            self.code_of(put('service', name='x', slots=2, odd=1)),
            2001,
        )
        self.assertEqual(
            self.code_of(put('client_account', name='x', rate=-1, burst=1)),
            2001,
        )

    def test_open_references(self) -> None:
        """All open references are named."""
        bad = put('route', name='x', prefix='/x', service='none')
        self.assertEqual(self.code_of(bad), 2002)
        gone = change.Delete(kind='service', name='reads')
        self.assertEqual(self.code_of(deletes=(gone,)), 2002)

    def test_withdrawn_key_stays(self) -> None:
        """A withdrawn or deleted key is never given again."""
        self.current.apply(entry(2, put('key', name=DIGEST, account='guild')))
        gone = change.Delete(kind='key', name=DIGEST)
        self.current.apply(entry(3, deletes=(gone,)))
        self.assertTrue(self.current.keys[DIGEST].withdrawn)
        with self.assertRaises(errors.ConfigurationError) as caught:
            self.current.apply(
                entry(4, put('key', name=DIGEST, account='guild')),
            )
        self.assertEqual(caught.exception.code.number, 2003)

    @hypothesis.settings(
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    @hypothesis.given(
        strategies.sampled_from(
            ('service', 'target', 'route', 'client_account', 'key', 'x'),
        ),
        strategies.dictionaries(
            strategies.sampled_from(
                ('name', 'slots', 'rate', 'burst', 'account', 'zone', 'prefix'),
            ),
            strategies.none() | strategies.integers() | strategies.text(),
        ),
    )
    def test_any_object(self, kind: str, body: dict) -> None:
        """Any object is applied whole or refused with a code."""
        current = configuration.Configuration()
        try:
            current.apply(entry(1, change.Put(kind=kind, body=body)))
        except errors.ConfigurationError:
            self.assertEqual(current.revision, 0)


class TestInForce(unittest.TestCase):
    """The configuration in force at a daemon."""

    def test_never_back(self) -> None:
        """Older, later and repeated changes are not applied."""
        held = active_configuration.ActiveConfiguration()
        self.assertTrue(held.apply(entry(1, *fleet_case.small_configuration())))
        self.assertTrue(held.apply(entry(2)))
        self.assertFalse(held.apply(entry(1)))
        self.assertFalse(held.apply(entry(2)))
        self.assertFalse(held.apply(entry(4)))
        older = configuration.Configuration(revision=1)
        self.assertFalse(held.replace(older))
        self.assertEqual(held.revision, 2)

    def test_unreadable_change(self) -> None:
        """The version in force is kept, and the change is counted."""
        held = active_configuration.ActiveConfiguration()
        held.apply(entry(1, *fleet_case.small_configuration()))
        with self.assertRaises(errors.ConfigurationError):
            held.apply(entry(2, put('service', name='x', slots='many')))
        self.assertEqual((held.revision, held.unreadable_changes), (1, 1))
        self.assertNotIn('x', held.configuration.services)

    def test_withdrawn_before_its_change(self) -> None:
        """News of a withdrawal outlast a whole configuration from a peer."""
        held = active_configuration.ActiveConfiguration()
        given = put('key', name=DIGEST, account='guild')
        held.apply(entry(1, *fleet_case.small_configuration(), given))
        held.withdraw_key(DIGEST)
        newer = configuration.Configuration()
        newer.apply(entry(1, *fleet_case.small_configuration(), given))
        newer.revision = 9
        self.assertTrue(held.replace(newer))
        found = held.find_key(DIGEST)
        assert found is not None
        self.assertTrue(found.withdrawn)


if __name__ == '__main__':
    unittest.main()
