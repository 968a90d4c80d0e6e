"""Tests of the datagram encoding."""

import unittest

from sapphirepaddle.directory import revisions
from sapphirepaddle.peers import digest, digest_codec, notices


class TestDigestCodec(unittest.TestCase):
    """A malformed datagram must not end the daemon.

    Any host can send to the UDP port, so decoding may raise nothing but
    PeerError; a valid datagram must lose no field.
    """

    def test_round_trip_keeps_all_fields(self) -> None:
        """Decoding an encoded datagram returns an equal one."""
        bodies = [
            digest.Digest(
                sender=1,
                start=2,
                is_forwarded=True,
                is_leaving=True,
                version=3,
                targets=(digest.TargetCount(4, 5, 6, 7),),
                accounts=(digest.AccountCount(8, 9),),
                services=(digest.ServiceCount(10, 11, 12),),
            ),
            digest.Hello(
                name='n',
                zone='z',
                host='h',
                incarnation=5,
                is_answer=True,
            ),
            digest.RegistrationChanges(
                base_fingerprint=1,
                revision=revisions.Revision(3, 1 << 41),
                is_last=True,
                changes=(
                    digest.RegistrationChange('t-1', b'{}'),
                    digest.RegistrationChange('t-2', b''),
                ),
            ),
            digest.LeavingNotice(
                (digest.LeavingTarget(1, 1 << 41),), is_forwarded=True
            ),
            notices.ZoneState(
                revisions.Revision(7, 1 << 41),
                (
                    notices.EmptiedZone('a', notices.MAX_ZONE_AGE_MS),
                    notices.EmptiedZone('b', 0),
                ),
                is_forwarded=True,
            ),
            notices.ColdNotice((notices.ColdTarget(1, 1 << 41, 3000),)),
            digest.Bundle(
                (
                    digest.Digest(sender=1, start=2, zones_mark=255),
                    digest.Digest(
                        sender=3,
                        start=4,
                        accounts=(digest.AccountCount(8, 9),),
                    ),
                ),
            ),
        ]
        for body in bodies:
            raw = digest_codec.encode(body)
            self.assertEqual(digest_codec.decode(raw), body)

    def test_malformed_datagram_raises_peer_error(self) -> None:
        """Truncated and arbitrary datagrams raise PeerError."""
        raw = digest_codec.encode(digest.Digest(sender=1, start=2))
        for broken in (b'', b'x', raw[:20], b'\xff' * 64):
            with self.assertRaises(digest_codec.errors.PeerError):
                digest_codec.decode(broken)
