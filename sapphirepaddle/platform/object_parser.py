"""Parsing of the store's answers, which other writers may spoil; no I/O."""

import contextlib
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
        ValueError: If it is not a JSON object.
    """
    try:
        decoded = orjson.loads(body or b'{}')
    except orjson.JSONDecodeError:
        return parse_members(body)
    if not isinstance(decoded, dict):
        raise ValueError('not a JSON object')
    return decoded


def parse_members(body: bytes) -> Fields:
    """Parse the members of a body of which some item cannot be decoded."""
    decoded: Fields = {}
    members = json_members.split_object(json_members.read(body))
    for raw_key, text in members.items():
        key = orjson.loads(raw_key)
        if key in LIST_KEYS:
            decoded[key] = [
                parse_item(item) for item in json_members.split_array(text)
            ]
        else:
            decoded[key] = orjson.loads(text.raw)
    return decoded


def parse_item(item: json_members.Text) -> Fields:
    """Parse an item; members that cannot be decoded are left out."""
    with contextlib.suppress(orjson.JSONDecodeError):
        fields = orjson.loads(item.raw)
        return fields if isinstance(fields, dict) else {}
    try:
        members = json_members.split_object(item)
    except ValueError:
        return {}
    return parse_item_members(members)


def parse_item_members(members: dict[bytes, json_members.Text]) -> Fields:
    """Parse the members of an item; what cannot be decoded is left out."""
    fields: Fields = {}
    for raw_key, text in members.items():
        try:
            fields[orjson.loads(raw_key)] = orjson.loads(text.raw)
        except orjson.JSONDecodeError:
            if raw_key.strip(b'"') == OBJECT_KEY.encode():
                fields[OBJECT_KEY] = parse_item(text)
    return fields


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
