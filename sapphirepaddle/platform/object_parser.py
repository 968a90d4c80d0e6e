"""Parsing of the store's answers, which other writers may spoil; no I/O."""

import contextlib
import dataclasses
import typing

import orjson

from sapphirepaddle.directory import source
from sapphirepaddle.platform import json_members

LIST_KEYS: typing.Final = frozenset(('items', 'events'))
OBJECT_KEY: typing.Final = 'object'
MALFORMED_ITEM_ERRORS: typing.Final = (LookupError, TypeError, AttributeError)

Fields = dict[str, typing.Any]


def parse(body: bytes) -> Fields:
    """Parse a body that must be a JSON object; an empty body is {}.

    If it cannot be decoded as a whole, the items of its lists are decoded one
    by one, so that one item hides no other.

    Raises:
        ValueError: If it is not a JSON object, or a list in it is none.
    """
    try:
        decoded = orjson.loads(body or b'{}')
    except orjson.JSONDecodeError:
        decoded = parse_members(body)
    if not isinstance(decoded, dict):
        raise ValueError('not a JSON object')
    if not all(isinstance(decoded.get(key) or [], list) for key in LIST_KEYS):
        raise ValueError('not a JSON array')
    return decoded


def parse_members(body: bytes) -> Fields:
    """Parse the members of a body of which some item cannot be decoded."""
    decoded: Fields = {}
    members = json_members.split_object(json_members.read(body))
    for raw_key, text in members.items():
        key = decode_key(raw_key)
        if key in LIST_KEYS:
            decoded[key] = [
                parse_item(item) for item in json_members.split_array(text)
            ]
        else:
            decoded[key] = orjson.loads(text.raw)
    return decoded


def decode_key(raw_key: bytes) -> str:
    """Decode the key of a member.

    Raises:
        ValueError: If it is not a string.
    """
    key = orjson.loads(raw_key)
    if not isinstance(key, str):
        raise ValueError('key is not a string')
    return key


def parse_item(item: json_members.Text) -> Fields:
    """Parse an item; members that cannot be decoded are left out.

    So are those of the object of an event, but of no object within it.
    """
    parsed = parse_item_members(item)
    object_text = parsed.undecoded.get(OBJECT_KEY)
    if object_text is None:
        return parsed.fields
    return parsed.fields | {OBJECT_KEY: parse_item_members(object_text).fields}


def parse_item_members(item: json_members.Text) -> 'ParsedItem':
    """Parse an item as a whole or, if that fails, member by member."""
    parsed = ParsedItem()
    with contextlib.suppress(orjson.JSONDecodeError):
        decoded = orjson.loads(item.raw)
        return ParsedItem(decoded) if isinstance(decoded, dict) else parsed
    try:
        members = json_members.split_object(item)
    except ValueError:
        return parsed
    for raw_key, text in members.items():
        with contextlib.suppress(ValueError):
            parsed.add_member(decode_key(raw_key), text)
    return parsed


@dataclasses.dataclass(slots=True)
class ParsedItem:
    """Members of an item.

    Attributes:
        fields: Decoded members.
        undecoded: Text of the members that cannot be decoded.
    """

    fields: Fields = dataclasses.field(default_factory=dict)
    undecoded: dict[str, json_members.Text] = dataclasses.field(
        default_factory=dict
    )

    def add_member(self, key: str, text: json_members.Text) -> None:
        """Decode a member, or keep its text."""
        try:
            self.fields[key] = orjson.loads(text.raw)
        except orjson.JSONDecodeError:
            self.undecoded[key] = text


def read_entry(fields: Fields) -> source.Entry | None:
    """Return the entry that an item of a list describes.

    Its content is empty if it is no JSON object or cannot be encoded again,
    as it can be nested more deeply than the encoder allows.

    Returns:
        The entry, or None if the item has no name.
    """
    try:
        name = fields['metadata']['name']
    except MALFORMED_ITEM_ERRORS:
        return None
    if not isinstance(name, str):
        return None
    content = fields.get('spec')
    if not isinstance(content, dict) or not is_encodable(content):
        content = {}
    return source.Entry(name, content)


def read_event(fields: Fields) -> source.Entry | None:
    """Return the entry that an event of a watch describes; None without name.

    The entry of a deleted object has no content.
    """
    if not isinstance(fields, dict):
        return None
    entry = read_entry(fields.get(OBJECT_KEY) or {})
    if entry is not None and fields.get('deleted'):
        return source.Entry(entry.name, None)
    return entry


def is_encodable(content: Fields) -> bool:
    """Return whether the content can be encoded as JSON."""
    try:
        orjson.dumps(content)
    except orjson.JSONEncodeError:
        return False
    return True
