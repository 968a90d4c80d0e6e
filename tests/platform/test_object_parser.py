"""Tests of parsing answers of the store that contain odd items."""

import collections
import functools
import sys
import unittest
from collections import abc

import hypothesis
import orjson
from hypothesis import strategies

from sapphirepaddle.directory import source
from sapphirepaddle.platform import object_parser, registrations
from tests.support import odd_entries, platform_objects

VALID = platform_objects.target('reads', 8080)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda children: (
        strategies.lists(children)
        | strategies.dictionaries(
            strategies.sampled_from(
                ('info', 'status', 'address', 'born', 'slots', 'state')
            ),
            children,
        )
    ),
    max_leaves=15,
)
JSON_TOKENS = (
    *(bytes((byte,)) for byte in b'{}[]:,"\\1- '),
    b'"events"',
    b'"object"',
    b'"metadata"',
    b'"name"',
    b'null',
    b'NaN',
    b'\xff',
)
"""Tokens of bodies, most of which are not valid JSON."""
ITEM_BYTES = 1000000
BYTES_PER_STEP = 50
"""Least mean number of bytes that one call of a function has to cover."""


def count_steps(run: abc.Callable[[], object]) -> int:
    """Return how many functions are called, those of the interpreter too."""
    events: collections.Counter[str] = collections.Counter()
    sys.setprofile(lambda _frame, event, _argument: events.update((event,)))
    try:
        run()
    finally:
        sys.setprofile(None)
    return events['call'] + events['c_call']


def list_body(raw_spec: bytes) -> bytes:
    """Return a list with an odd item between two valid ones."""
    items = [
        {'metadata': {'name': name}, 'spec': spec}
        for name, spec in (
            ('t-1', VALID),
            ('odd', orjson.Fragment(raw_spec)),
            ('t-2', VALID),
        )
    ]
    return orjson.dumps({'items': items, 'currentRev': 7})


class TestOddItems(unittest.TestCase):
    """An odd item must hide no other, and must name no target."""

    def test_list(self) -> None:
        for oddity, raw_spec in odd_entries.odd_specs().items():
            with self.subTest(oddity):
                decoded = object_parser.parse(list_body(raw_spec))
                entries = [
                    object_parser.read_entry(fields)
                    for fields in decoded['items']
                ]
                self.assertEqual(decoded['currentRev'], 7)
                self.assertEqual(entries[0], source.Entry('t-1', VALID))
                self.assertEqual(entries[2], source.Entry('t-2', VALID))
                assert entries[1] is not None
                with self.assertRaises(registrations.EntryError):
                    registrations.decode_target('odd', entries[1].content or {})

    def test_event(self) -> None:
        for oddity, raw_spec in odd_entries.odd_specs().items():
            with self.subTest(oddity):
                item = orjson.loads(list_body(b'{}'))['items'][1]
                item['spec'] = orjson.Fragment(raw_spec)
                events = [
                    {'object': item, 'deleted': False},
                    {'object': item, 'deleted': True},
                ]
                body = orjson.dumps({'events': events, 'currentRev': 7})
                entries = [
                    object_parser.read_event(fields)
                    for fields in object_parser.parse(body)['events']
                ]
                names = [entry.name if entry else '' for entry in entries]
                self.assertEqual(names, ['odd', 'odd'])
                self.assertEqual(entries[1], source.Entry('odd', None))

    def test_nested_item_takes_few_steps(self) -> None:
        # An item of 1 MB stopped the event loop for seconds, step by step.
        brackets = ITEM_BYTES // 2
        for oddity, nested in {
            'one value': b'[' * brackets + b']' * brackets,
            'many values': b'[' + b'[],' * (ITEM_BYTES // 3) + b'NaN]',
            'nested values': b'['
            + (b'[' * 999 + b']' * 999 + b',') * 500
            + b'NaN]',
            'objects': b'[{"":' * (brackets // 4) + b'}]' * (brackets // 4),
        }.items():
            with self.subTest(oddity):
                body = list_body(b'{"list":' + nested + b'}')
                steps = count_steps(
                    functools.partial(object_parser.parse, body)
                )
                self.assertLess(steps, len(body) / BYTES_PER_STEP)

    def test_items_without_a_name(self) -> None:
        for item in ({}, {'metadata': None}, {'metadata': {'name': 3}}, []):
            with self.subTest(item=item):
                self.assertIsNone(object_parser.read_entry(item))

    def test_events_without_an_object(self) -> None:
        # A watch ended at an event that is not an object.
        for event in ({}, {'object': None}, {'object': []}, [], None, 'a', 3):
            with self.subTest(event=event):
                self.assertIsNone(object_parser.read_event(event))

    def test_nested_objects_of_an_event(self) -> None:
        # A watch ended at the recursion limit, after 4 s for 1 MB.
        nested = b'{"object":' * (ITEM_BYTES // 11)
        item = nested + b'NaN' + b'}' * (ITEM_BYTES // 11)
        for body in (
            b'{"currentRev":7,"events":[' + item + b']}',
            b'{"currentRev":7,"items":[' + item + b',{"metadata":{}}]}',
        ):
            decoded: list[object_parser.Fields] = []
            steps = count_steps(
                lambda body=body, decoded=decoded: decoded.append(
                    object_parser.parse(body)
                )
            )
            self.assertLess(steps, len(body) / BYTES_PER_STEP)
            self.assertEqual(decoded[0]['currentRev'], 7)

    def test_keys_that_are_no_strings(self) -> None:
        # A watch ended, as lists and objects are not hashable.
        item = b'{"metadata":{"name":"odd"},[1]:1,{}:2,null:3,"spec":{}}'
        decoded = object_parser.parse(b'{"items":[' + item + b']}')
        entry = object_parser.read_entry(decoded['items'][0])
        self.assertEqual(entry, source.Entry('odd', {}))
        for key in (b'[1]', b'{}', b'null'):
            with self.subTest(key=key), self.assertRaises(ValueError):
                object_parser.parse(b'{"items":[],' + key + b':1}')

    def test_body_that_is_no_object(self) -> None:
        for body in (
            b'[]',
            b'{"items": [',
            b'text',
            b'\xff',
            b'{"items": 3}',
            b'{"events": {"a": 1}}',
            b'{"items": "text", "x": NaN}',
        ):
            with self.subTest(body=body), self.assertRaises(ValueError):
                object_parser.parse(body)

    def test_names_that_do_not_fit_into_a_header(self) -> None:
        for name in ('', 'a b', 'a\r\nb', 'n' * 5000, 'n\u00e9'):
            with (
                self.subTest(name=name),
                self.assertRaises(registrations.EntryError),
            ):
                registrations.decode_target(name, VALID)

    @hypothesis.settings(
        deadline=None, max_examples=2000, derandomize=True, database=None
    )
    @hypothesis.given(strategies.lists(strategies.sampled_from(JSON_TOKENS)))
    def test_any_body_is_decoded_or_rejected(self, tokens: list[bytes]) -> None:
        body = b'{"events":[' + b''.join(tokens) + b'],"currentRev":7}'
        try:
            decoded = object_parser.parse(body)
        except ValueError:
            return
        for fields in decoded.get('events') or ():
            object_parser.read_entry(fields)
            object_parser.read_event(fields)

    @hypothesis.settings(
        deadline=None, max_examples=300, derandomize=True, database=None
    )
    @hypothesis.given(JSON_VALUES)
    def test_any_entry_is_decoded_or_rejected(self, content: object) -> None:
        fields = content if isinstance(content, dict) else {}
        try:
            registrations.decode_target('t-1', VALID | fields)
        except registrations.EntryError as error:
            self.assertLess(len(str(error)), 300)
