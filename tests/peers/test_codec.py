"""Frames between daemons."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle import errors
from sapphirepaddle.peers import (
    codec,
    messages,
    gossip_store,
    ring,
    frame_authentication,
)

SAMPLES = (
    messages.Hello('vm', 'zone', 7, b'nonce'),
    messages.Heartbeat(5, 1.5, True),
    messages.GossipItems((messages.GossipItem('t', 'k', 1, b'p'),)),
    messages.TopicSummaries((messages.TopicSummary('t', 1, 2**63),)),
    messages.Changes((b'a', b'bc')),
    messages.Snapshot(3, 0, (b'x',)),
    messages.TokenRequest('a', 3, 2.5, 1),
    messages.Report((messages.Observation('t', 1, 2, 3),)),
    messages.Failure(5001),
)


class TestCodec(unittest.TestCase):
    """Encoding and decoding."""

    def test_round_trip(self) -> None:
        """Each message comes back as it was."""
        for body in SAMPLES:
            frame = codec.Frame(body, request_id=4, reply_to=9)
            self.assertEqual(codec.decode(codec.encode(frame)), frame)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_random_bytes(self, raw: bytes) -> None:
        """Random bytes give an error, nothing worse."""
        try:
            codec.decode(raw)
        except errors.PeerError as error:
            self.assertEqual(error.code.number, 5002)

    def test_damaged_frames(self) -> None:
        """Damaged frames give an error or another message."""
        chance = random.Random(3)
        for body in SAMPLES:
            raw = codec.encode(codec.Frame(body))
            for _ in range(2000):
                damaged = bytearray(raw)
                for _ in range(chance.randint(1, 4)):
                    place = chance.randrange(len(damaged))
                    damaged[place] = chance.randrange(256)
                try:
                    codec.decode(bytes(damaged))
                except errors.PeerError:
                    continue


class TestSession(unittest.TestCase):
    """Authentication of frames."""

    def pair(
        self,
        signing: str,
        *accepted: str,
    ) -> tuple[frame_authentication.Signer, frame_authentication.Verifier]:
        """Return both ends of a direction."""
        one = messages.Hello('a', 'z', 1, b'1')
        two = messages.Hello('b', 'z', 1, b'2')
        return (
            frame_authentication.Signer(
                frame_authentication.direction_key(signing, one, two)
            ),
            frame_authentication.Verifier(
                [
                    frame_authentication.direction_key(held, one, two)
                    for held in accepted
                ],
            ),
        )

    def test_accepted(self) -> None:
        """Frames in order are accepted, with any accepted secret."""
        signer, verifier = self.pair('new', 'old', 'new')
        for frame in (b'x', b'y', b'x'):
            verifier.verify(signer.sign(frame), frame)

    def test_refused(self) -> None:
        """Forged, changed, repeated and skipped frames are refused."""
        signer, verifier = self.pair('secret', 'other')
        with self.assertRaises(errors.PeerError):
            verifier.verify(signer.sign(b'x'), b'x')
        signer, verifier = self.pair('secret', 'secret')
        code = signer.sign(b'x')
        with self.assertRaises(errors.PeerError):
            verifier.verify(code, b'changed')
        verifier.verify(code, b'x')
        with self.assertRaises(errors.PeerError):
            verifier.verify(code, b'x')
        signer.sign(b'skipped')
        with self.assertRaises(errors.PeerError):
            verifier.verify(signer.sign(b'z'), b'z')


class TestNews(unittest.TestCase):
    """The newest news on each object."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('ab'),
                strategies.sampled_from('xyz'),
                strategies.integers(0, 9),
            ),
        ),
        strategies.randoms(),
    )
    def test_any_order(self, given: list, chance: random.Random) -> None:
        """Whatever the order, stores end up with the same sums."""
        items = [messages.GossipItem(*parts, b'') for parts in given]
        mixed = list(items)
        chance.shuffle(mixed)
        one, two = gossip_store.GossipStore(), gossip_store.GossipStore()
        for item in items:
            one.store_if_newer(item)
        for item in mixed:
            two.store_if_newer(item)
        self.assertEqual(one.digests, two.digests)
        self.assertEqual(one.items_of_differing_topics(two.sums()), [])


class TestRing(unittest.TestCase):
    """Connections on the ring."""

    def test_symmetric_and_reachable(self) -> None:
        """Neighbours are mutual, few, and reach everybody."""
        names = [f'vm{number}' for number in range(100)]
        near = {name: ring.neighbours(name, names) for name in names}
        for name, others in near.items():
            self.assertLessEqual(len(others), 14)
            for other in others:
                self.assertIn(name, near[other])
        reached = {'vm0'}
        for _ in range(7):
            reached |= {other for name in reached for other in near[name]}
        self.assertEqual(len(reached), 100)


if __name__ == '__main__':
    unittest.main()
