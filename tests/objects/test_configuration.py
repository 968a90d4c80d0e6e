"""Tests of configuration objects, changes and the active configuration."""

import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle import errors
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.objects import change, configuration, key, references
from tests.support import fleet_case

DIGEST = key.digest(b'secret')


def make_change(revision: int, *puts: change.Put, **extra) -> change.Change:
    """Return a change at a revision."""
    return change.Change(
        revision=revision,
        author='a',
        reason='r',
        token=f't{revision}',
        at=0,
        puts=puts,
        **extra,
    )


def make_put(kind: str, **body) -> change.Put:
    """Return a put of an object."""
    return change.Put(kind=kind, body=body)


class TestAcceptance(unittest.TestCase):
    """Invalid changes must be refused before they get into the change log.

    An accepted change with invalid fields, dangling references or a restored
    key would reach every daemon.
    """

    def setUp(self) -> None:
        """Apply a small configuration."""
        self.current = configuration.Configuration()
        self.current.apply(make_change(1, *fleet_case.small_configuration()))

    def refusal_code(self, *puts: change.Put, **extra) -> int:
        """Return the result code with which a change is refused."""
        before = self.current.revision
        with self.assertRaises(errors.ConfigurationError) as caught:
            references.check(self.current, make_change(2, *puts, **extra))
        self.assertEqual(self.current.revision, before)
        return caught.exception.code.number

    def test_invalid_fields(self) -> None:
        """Unknown kinds, and invalid or unknown fields, are refused."""
        self.assertEqual(self.refusal_code(make_put('nothing', name='x')), 2001)
        self.assertEqual(self.refusal_code(make_put('service', name='x')), 2001)
        self.assertEqual(
            self.refusal_code(make_put('service', name='x', slots=2, odd=1)),
            2001,
        )
        self.assertEqual(
            self.refusal_code(
                make_put('client_account', name='x', rate=-1, burst=1)
            ),
            2001,
        )

    def test_dangling_references(self) -> None:
        """Changes that leave dangling references are refused."""
        route_put = make_put('route', name='x', prefix='/x', service='none')
        self.assertEqual(self.refusal_code(route_put), 2002)
        deletion = change.Delete(kind='service', name='reads')
        self.assertEqual(self.refusal_code(deletes=(deletion,)), 2002)

    def test_withdrawn_key_stays(self) -> None:
        """A withdrawn or deleted key cannot be added again."""
        self.current.apply(
            make_change(2, make_put('key', name=DIGEST, account='guild'))
        )
        deletion = change.Delete(kind='key', name=DIGEST)
        self.current.apply(make_change(3, deletes=(deletion,)))
        self.assertTrue(self.current.keys[DIGEST].withdrawn)
        with self.assertRaises(errors.ConfigurationError) as caught:
            self.current.apply(
                make_change(4, make_put('key', name=DIGEST, account='guild')),
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
        """Any object is either applied or refused without an effect."""
        current = configuration.Configuration()
        try:
            current.apply(make_change(1, change.Put(kind=kind, body=body)))
        except errors.ConfigurationError:
            self.assertEqual(current.revision, 0)


class TestInForce(unittest.TestCase):
    """The active configuration must never go back or get an invalid change.

    Changes and whole configurations arrive from peers in any order, and a key
    withdrawn by gossip may be missing from them.
    """

    def test_never_back(self) -> None:
        """Only the next change and newer configurations are applied.

        Changes can arrive late, early or repeatedly from peers.
        """
        active = active_configuration.ActiveConfiguration()
        self.assertTrue(
            active.apply(make_change(1, *fleet_case.small_configuration()))
        )
        self.assertTrue(active.apply(make_change(2)))
        self.assertFalse(active.apply(make_change(1)))
        self.assertFalse(active.apply(make_change(2)))
        self.assertFalse(active.apply(make_change(4)))
        older = configuration.Configuration(revision=1)
        self.assertFalse(active.replace(older))
        self.assertEqual(active.revision, 2)

    def test_unreadable_change(self) -> None:
        """An invalid change is counted and keeps the active configuration."""
        active = active_configuration.ActiveConfiguration()
        active.apply(make_change(1, *fleet_case.small_configuration()))
        with self.assertRaises(errors.ConfigurationError):
            active.apply(
                make_change(2, make_put('service', name='x', slots='many'))
            )
        self.assertEqual((active.revision, active.unreadable_changes), (1, 1))
        self.assertNotIn('x', active.configuration.services)

    def test_withdrawal_outlives_replacement(self) -> None:
        """A key withdrawn by gossip stays withdrawn after a replacement.

        A configuration from a peer may not contain the withdrawal yet.
        """
        active = active_configuration.ActiveConfiguration()
        key_put = make_put('key', name=DIGEST, account='guild')
        active.apply(make_change(1, *fleet_case.small_configuration(), key_put))
        active.withdraw_key(DIGEST)
        peer_configuration = configuration.Configuration()
        peer_configuration.apply(
            make_change(1, *fleet_case.small_configuration(), key_put)
        )
        peer_configuration.revision = 9
        self.assertTrue(active.replace(peer_configuration))
        stored_key = active.find_key(DIGEST)
        assert stored_key is not None
        self.assertTrue(stored_key.withdrawn)


if __name__ == '__main__':
    unittest.main()
