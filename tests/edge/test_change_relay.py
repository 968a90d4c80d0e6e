"""Tests of the relay of changed registrations within a zone."""

import itertools
import random
import unittest

from sapphirepaddle.directory import revisions, source
from sapphirepaddle.edge import change_relay
from sapphirepaddle.peers import digest


class Registrations:
    """The registrations of one daemon and its relay.

    Attributes:
        content_by_name: Registrations by target.
        revision: Revision of the source that they reflect.
        sent: Messages that the relay sent.
        relay: The relay.
    """

    def __init__(self) -> None:
        """Initialize without registrations."""
        self.content_by_name: dict[str, source.Content] = {}
        self.revision = at(10)
        self.sent: list[digest.RegistrationChanges] = []
        self.relay = change_relay.ChangeRelay(
            self.fingerprint,
            lambda: self.revision,
            self.apply,
            self.skip_to,
            self.sent.append,
        )

    def fingerprint(self) -> int:
        """Return a hash of the registrations."""
        return digest.hash_name(str(sorted(self.content_by_name.items())))

    def apply(self, entries: list[source.Entry]) -> None:
        """Apply changes."""
        for entry in entries:
            if entry.content is None:
                self.content_by_name.pop(entry.name, None)
            else:
                self.content_by_name[entry.name] = entry.content

    def skip_to(self, revision: revisions.Revision) -> None:
        """Set the revision that the registrations reflect."""
        self.revision = revision

    def read(
        self, entries: list[source.Entry], revision: revisions.Revision
    ) -> None:
        """Apply changes as a reader that has read them."""
        self.skip_to(revision)
        self.relay.apply_and_send(entries, revision)


def at(number: int, era: int = 1) -> revisions.Revision:
    """Return a revision."""
    return revisions.Revision(era, number)


def change(name: str, size: int = 1) -> source.Entry:
    """Return a changed registration with a content of some size."""
    return source.Entry(name, {'text': 'x' * size})


class TestChangeRelay(unittest.TestCase):
    """A relayed change must be applied in order, whole or not at all.

    Messages may be lost, repeated, late or malformed, and two readers relay
    the same changes in different parts.
    """

    def setUp(self) -> None:
        """Create two readers and a follower without registrations."""
        self.readers = (Registrations(), Registrations())
        self.follower = Registrations()

    def relay(self, *messages: digest.RegistrationChanges) -> None:
        """Deliver messages to the follower."""
        for message in messages:
            self.follower.relay.handle_changes(message)

    def test_changes_of_a_call_arrive(self) -> None:
        entries = [change(f't-{number}', 300) for number in range(9)]
        self.readers[0].read([*entries, source.Entry('t-3', None)], at(20))
        self.assertGreater(len(self.readers[0].sent), 1)
        self.relay(*self.readers[0].sent)
        self.assertEqual(
            self.follower.content_by_name, self.readers[0].content_by_name
        )
        self.assertEqual(self.follower.revision, at(20))

    def test_revision_waits_for_the_last_part(self) -> None:
        self.readers[0].read([change('a', 900), change('b', 900)], at(20))
        first, last = self.readers[0].sent
        self.relay(first)
        self.assertEqual(self.follower.revision, at(10))
        self.relay(last)
        self.assertEqual(self.follower.revision, at(20))

    def test_nothing_is_applied_after_a_lost_message(self) -> None:
        self.readers[0].read([change('a', 900), change('b', 900)], at(20))
        self.readers[0].read([change('c')], at(21))
        _, *later = self.readers[0].sent
        self.relay(*later)
        self.assertEqual(self.follower.content_by_name, {})
        self.assertEqual(self.follower.revision, at(10))

    def test_older_changes_are_not_applied(self) -> None:
        self.readers[0].read([change('a')], at(20))
        self.follower.skip_to(at(20))
        self.relay(*self.readers[0].sent)
        self.assertEqual(self.follower.content_by_name, {})

    def test_lower_number_of_a_newer_era_is_newer(self) -> None:
        # A daemon of the old numbering looked newer, and its state won.
        self.readers[0].read([change('a')], at(3, era=2))
        self.relay(*self.readers[0].sent)
        self.assertEqual(self.follower.revision, at(3, era=2))
        self.readers[1].skip_to(at(30))
        self.readers[1].content_by_name = dict(self.follower.content_by_name)
        self.readers[1].read([change('b')], at(31))
        self.relay(*self.readers[1].sent)
        self.assertEqual(self.follower.content_by_name, {'a': {'text': 'x'}})

    def test_era_without_changes_is_relayed(self) -> None:
        self.readers[0].relay.apply_and_send_era([], at(3, era=2))
        self.relay(*self.readers[0].sent)
        self.assertEqual(self.follower.revision, at(3, era=2))

    def test_nothing_is_applied_before_the_first_list(self) -> None:
        # The list was ignored as older, and the daemon never became ready.
        self.follower.skip_to(at(0))
        self.readers[0].read([change('a')], at(20))
        self.relay(*self.readers[0].sent)
        self.assertEqual(self.follower.content_by_name, {})
        self.assertEqual(self.follower.revision, at(0))

    def test_malformed_change_is_not_applied(self) -> None:
        for content in (b'[', b'\xff', b'{"a":1e999}'):
            self.relay(
                digest.RegistrationChanges(
                    base_fingerprint=self.follower.fingerprint(),
                    revision=at(20),
                    is_last=True,
                    changes=(digest.RegistrationChange('a', content),),
                )
            )
        self.assertEqual(self.follower.content_by_name, {})
        self.assertEqual(self.follower.revision, at(10))

    def test_change_that_fits_into_no_packet_is_not_sent(self) -> None:
        limit = change_relay.MAX_CHANGES_BYTES
        self.readers[0].read([change('a', limit)], at(20))
        self.assertEqual(self.readers[0].sent, [])

    def test_follower_is_never_wrong(self) -> None:
        """Whatever arrives, the registrations are those of some revision."""
        rng = random.Random(1)
        history = [
            source.Entry(f't-{rng.randrange(6)}', content)
            for content in rng.choices([None, {'n': 1}, {'n': 2}], k=300)
        ]
        states = Registrations()
        state_by_revision = {at(10): {}}
        for number, entry in enumerate(history):
            states.apply([entry])
            state_by_revision[at(11 + number)] = dict(states.content_by_name)
        for reader in self.readers:
            ends = sorted(rng.sample(range(1, 300), 60))
            for start, end in itertools.pairwise([0, *ends, 300]):
                reader.read(history[start:end], at(10 + end))
        messages = [*self.readers[0].sent, *self.readers[1].sent]
        messages.sort(
            key=lambda message: message.revision.number + rng.random() * 9
        )
        for message in messages:
            if rng.random() > 0.2:
                self.relay(message)
            expected = state_by_revision[self.follower.revision]
            self.assertEqual(self.follower.content_by_name, expected)
            if rng.random() < 0.1:
                self.catch_up(history, message.revision)

    def catch_up(
        self, history: list[source.Entry], revision: revisions.Revision
    ) -> None:
        """Let the follower read the source up to a revision."""
        if revision > self.follower.revision:
            self.follower.apply(
                history[
                    self.follower.revision.number - 10 : revision.number - 10
                ]
            )
            self.follower.skip_to(revision)
