"""Tests of splitting JSON text without decoding it."""

import unittest

import hypothesis
import orjson
from hypothesis import strategies

from sapphirepaddle.platform import json_members

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.text(),
    lambda children: (
        strategies.lists(children)
        | strategies.dictionaries(strategies.text(), children)
    ),
    max_leaves=20,
)
SEEDED = hypothesis.settings(
    deadline=None, max_examples=200, derandomize=True, database=None
)


def split_array(raw: bytes) -> list[bytes]:
    """Return the text of each element of an array."""
    pieces = json_members.split_array(json_members.read(raw))
    return [piece.raw for piece in pieces]


def split_object(raw: bytes) -> dict[bytes, bytes]:
    """Return the text of each value of an object by the text of its key."""
    pieces = json_members.split_object(json_members.read(raw))
    return {key: piece.raw for key, piece in pieces.items()}


class TestSplitting(unittest.TestCase):
    """Each member must be found whatever the other members contain."""

    @SEEDED
    @hypothesis.given(strategies.lists(JSON_VALUES))
    def test_array(self, elements: list[object]) -> None:
        pieces = split_array(orjson.dumps(elements))
        self.assertEqual([orjson.loads(piece) for piece in pieces], elements)

    @SEEDED
    @hypothesis.given(strategies.dictionaries(strategies.text(), JSON_VALUES))
    def test_object(self, members: dict[str, object]) -> None:
        raw = orjson.dumps(members, option=orjson.OPT_INDENT_2)
        pieces = split_object(raw)
        self.assertEqual(
            {
                orjson.loads(key): orjson.loads(piece)
                for key, piece in pieces.items()
            },
            members,
        )

    @SEEDED
    @hypothesis.given(strategies.binary())
    def test_arbitrary_bytes_raise_value_error_only(self, raw: bytes) -> None:
        for split in (split_array, split_object):
            try:
                split(raw)
            except ValueError:
                continue

    def test_deeply_nested_member(self) -> None:
        deep = b'[' * 100000 + b']' * 100000
        pieces = split_array(b'[1, ' + deep + b', 2]')
        self.assertEqual(pieces, [b'1', deep, b'2'])

    def test_truncated_text_is_an_error(self) -> None:
        for raw in (b'[1, [2]', b'{"a": {', b'["a', b'', b'{"a": "}'):
            with self.subTest(raw=raw), self.assertRaises(ValueError):
                split_array(raw)
            with self.subTest(raw=raw), self.assertRaises(ValueError):
                split_object(raw)
