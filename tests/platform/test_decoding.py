"""Decoding of configuration, registrations and headers."""

import copy
import unittest

from sapphirepaddle import errors
from sapphirepaddle.platform import (
    configuration,
    header_codec,
    registrations,
)
from sapphirepaddle.proxy import header_codec as contract
from tests.support import platform_objects


class TestConfiguration(unittest.TestCase):
    """Decoding of the operators' configuration."""

    def test_version_is_hexadecimal(self) -> None:
        held = configuration.decode(platform_objects.configuration(28))
        self.assertEqual(held.version, 28)

    def test_longest_prefix_of_the_host(self) -> None:
        routes = [
            platform_objects.route('short', '/a/', 'idempotent'),
            platform_objects.route('long', '/a/b/', 'idempotent'),
        ]
        hosts = [
            {'host': 'One.example', 'routePaths': routes},
            {'host': 'two.example', 'routePaths': routes[:1]},
        ]
        held = configuration.decode(
            platform_objects.configuration(virtualHosts=hosts)
        )
        cases = {
            ('one.example', '/a/b/c'): 'long',
            ('ONE.example:80', '/a/c'): 'short',
            ('two.example', '/a/b/c'): 'short',
            ('two.example', '/c'): None,
            ('three.example', '/a/'): None,
        }
        for (host, path), name in cases.items():
            found = held.find_route(host, path)
            self.assertEqual(found.name if found else None, name)

    def test_split(self) -> None:
        parts = [
            {'service': 'reads', 'weight': 90},
            {'service': 'orders', 'weight': 10},
        ]
        held = platform_objects.route(
            'split', '/s/', 'idempotent', trafficSplit=parts
        )
        read = configuration.read_route('host', held)
        weights = {part.service: part.weight for part in read.weighted_services}
        self.assertEqual(weights, {'reads': 90, 'orders': 10})

    def test_malformed(self) -> None:
        for broken in (
            {},
            {'version': 'x'},
            platform_objects.configuration()
            | {
                'virtualHosts': [{'host': 'h'}],
            },
        ):
            with self.assertRaises(errors.ConfigurationError):
                configuration.decode(broken)


class TestRegistrations(unittest.TestCase):
    """Decoding of what targets write."""

    def test_entry(self) -> None:
        entry = platform_objects.target('reads', 8080, state='draining', born=7)
        held = registrations.decode_target('i-1', entry)
        self.assertTrue(held.is_draining)
        self.assertEqual((held.host, held.port), ('127.0.0.1', 8080))
        self.assertEqual(held.incarnation, 7)

    def test_every_broken_field_is_refused(self) -> None:
        breaks = {
            ('address',): [None, 1, '', 'host:80', '1.2.3.4', '1.2.3.4:x'],
            ('born',): [None, '1', 1.5, True],
            ('info', 'service'): [None, '', 3],
            ('info', 'zone'): [None, ['a']],
            ('info', 'slots'): [None, '2'],
            ('status', 'state'): [None, 'asleep', 1],
            ('info',): [None, 'text', []],
            ('status',): [None, 3],
        }
        for path, contents in breaks.items():
            for content in contents:
                entry = copy.deepcopy(platform_objects.target('reads', 8080))
                holder = entry
                for name in path[:-1]:
                    holder = holder[name]
                holder[path[-1]] = content
                with self.subTest(path=path, content=content):
                    with self.assertRaises(registrations.EntryError):
                        registrations.decode_target('i-1', entry)


class TestDialect(unittest.TestCase):
    """Headers of the platform."""

    def setUp(self) -> None:
        """Create the dialect."""
        self.dialect = header_codec.PlatformHeaderCodec()

    def test_request_marks(self) -> None:
        marks = self.dialect.read_request(
            [
                (b'X-Request-Id', b'abc'),
                (b'x-deadline-ms', b'2500'),
                (b'Authorization', b'bearer  k '),
            ],
        )
        self.assertEqual(marks, contract.RequestMetadata('abc', 2.5, ('k',)))

    def test_deadline_that_is_no_number(self) -> None:
        marks = self.dialect.read_request([(b'X-Deadline-Ms', b'soon')])
        self.assertIsNone(marks.timeout_seconds)

    def test_marks_of_callers_are_replaced(self) -> None:
        written = self.dialect.write_request(
            [
                (b'X-Tenant-Id', b'forged'),
                (b'x-expect-instance', b'forged'),
                (b'AUTHORIZATION', b'Bearer k'),
                (b'X-Request-Id', b'abc'),
            ],
            contract.ForwardMetadata('i-1', 1.25, 'first'),
        )
        self.assertEqual(
            {name.lower(): value for name, value in written},
            {
                b'x-request-id': b'abc',
                b'x-deadline-ms': b'1250',
                b'x-expect-instance': b'i-1',
                b'x-tenant-id': b'first',
            },
        )

    def test_answer_marks(self) -> None:
        marks = self.dialect.read_answer(
            503,
            [
                (b'X-Not-Executed', b'1'),
                (b'Keep-Alive', b'max=3, timeout=10'),
            ],
        )
        self.assertTrue(marks.is_not_run)
        self.assertEqual(marks.idle_seconds, 10)
        self.assertFalse(marks.has_response_stamp)

    def test_malformed_marks_say_nothing(self) -> None:
        marks = self.dialect.read_answer(
            200,
            [(b'Keep-Alive', b'timeout=soon')],
        )
        self.assertIsNone(marks.idle_seconds)

    def test_other_owner_of_an_address(self) -> None:
        marks = self.dialect.read_answer(421, [])
        self.assertTrue(marks.is_misdirected)
        self.assertTrue(marks.is_not_run)
