"""Tests of peer frames, their authentication, gossip and the ring."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle import errors
from sapphirepaddle.peers import (
    codec,
    frame_authentication,
    gossip_store,
    messages,
    ring,
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
    """A malformed frame must not end the daemon.

    Peers of another version or damaged data may send anything: decoding may
    raise nothing but PeerError, and a valid frame must lose no field.
    """

    def test_round_trip(self) -> None:
        """Decoding an encoded frame returns an equal frame."""
        for body in SAMPLES:
            frame = codec.Frame(body, request_id=4, reply_to=9)
            self.assertEqual(codec.decode(codec.encode(frame)), frame)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_random_bytes(self, raw: bytes) -> None:
        """Random bytes raise PeerError and no other exception."""
        try:
            codec.decode(raw)
        except errors.PeerError as error:
            self.assertEqual(error.code.number, 5002)

    def test_damaged_frames(self) -> None:
        """Frames with overwritten bytes decode or raise PeerError."""
        rng = random.Random(3)
        for body in SAMPLES:
            raw = codec.encode(codec.Frame(body))
            for _ in range(2000):
                damaged = bytearray(raw)
                for _ in range(rng.randint(1, 4)):
                    position = rng.randrange(len(damaged))
                    damaged[position] = rng.randrange(256)
                try:
                    codec.decode(bytes(damaged))
                except errors.PeerError:
                    continue


class TestFrameAuthentication(unittest.TestCase):
    """A frame that the peer did not send in this place must be refused.

    An attacker on the network can forge, modify, replay or drop frames;
    secrets change one daemon at a time, so that several are accepted.
    """

    def create_pair(
        self,
        signing_secret: str,
        *accepted_secrets: str,
    ) -> tuple[frame_authentication.Signer, frame_authentication.Verifier]:
        """Return the signer and the verifier of one direction."""
        sender = messages.Hello('a', 'z', 1, b'1')
        receiver = messages.Hello('b', 'z', 1, b'2')
        return (
            frame_authentication.Signer(
                frame_authentication.direction_key(
                    signing_secret, sender, receiver
                )
            ),
            frame_authentication.Verifier(
                [
                    frame_authentication.direction_key(secret, sender, receiver)
                    for secret in accepted_secrets
                ],
            ),
        )

    def test_valid_frames_are_accepted(self) -> None:
        """Frames in order are accepted with any of the accepted secrets."""
        signer, verifier = self.create_pair('new', 'old', 'new')
        for frame in (b'x', b'y', b'x'):
            verifier.verify(signer.sign(frame), frame)

    def test_invalid_frames_are_refused(self) -> None:
        """Forged, modified, replayed and skipped frames are rejected."""
        signer, verifier = self.create_pair('secret', 'other')
        with self.assertRaises(errors.PeerError):
            verifier.verify(signer.sign(b'x'), b'x')
        signer, verifier = self.create_pair('secret', 'secret')
        mac = signer.sign(b'x')
        with self.assertRaises(errors.PeerError):
            verifier.verify(mac, b'changed')
        verifier.verify(mac, b'x')
        with self.assertRaises(errors.PeerError):
            verifier.verify(mac, b'x')
        signer.sign(b'skipped')
        with self.assertRaises(errors.PeerError):
            verifier.verify(signer.sign(b'z'), b'z')


class TestGossipStore(unittest.TestCase):
    """Daemons must agree on the items although these arrive in any order.

    Stores that differ after the same items would keep one of the daemons on
    an old version.
    """

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
    def test_any_order(self, item_parts: list, rng: random.Random) -> None:
        """Stores converge to the same digests in any order of arrival."""
        items = [messages.GossipItem(*parts, b'') for parts in item_parts]
        shuffled = list(items)
        rng.shuffle(shuffled)
        first, second = gossip_store.GossipStore(), gossip_store.GossipStore()
        for item in items:
            first.store_if_newer(item)
        for item in shuffled:
            second.store_if_newer(item)
        self.assertEqual(first.digests, second.digests)
        self.assertEqual(
            first.items_of_differing_topics(second.summaries()), []
        )


class TestRing(unittest.TestCase):
    """Every daemon must be reachable over a few connections of each.

    Each daemon computes the neighbours of all on its own: if the results were
    not symmetric, it would expect heartbeats on a missing connection.
    """

    def test_symmetric_and_reachable(self) -> None:
        """Of 100 daemons each has up to 14 mutual neighbours.

        A message reaches all of them in seven hops.
        """
        names = [f'vm{number}' for number in range(100)]
        neighbours = {name: ring.neighbours(name, names) for name in names}
        for name, connected in neighbours.items():
            self.assertLessEqual(len(connected), 14)
            for peer in connected:
                self.assertIn(name, neighbours[peer])
        reached = {'vm0'}
        for _ in range(7):
            reached |= {peer for name in reached for peer in neighbours[name]}
        self.assertEqual(len(reached), 100)


if __name__ == '__main__':
    unittest.main()
