"""Parsing of the store's answers, which other writers may spoil; no I/O."""

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
    for raw_key, raw_value in json_members.split_object(body).items():
        key = orjson.loads(raw_key)
        if key in LIST_KEYS:
            decoded[key] = [
                parse_item(raw_item)
                for raw_item in json_members.split_array(raw_value)
            ]
        else:
            decoded[key] = orjson.loads(raw_value)
    return decoded


def parse_item(raw_item: bytes) -> Fields:
    """Parse an item; members that cannot be decoded are left out."""
    fields: Fields = {}
    try:
        members = json_members.split_object(raw_item)
    except ValueError:
        return fields
    for raw_key, raw_value in members.items():
        try:
            fields[orjson.loads(raw_key)] = orjson.loads(raw_value)
        except orjson.JSONDecodeError:
            if raw_key.strip(b'"') == OBJECT_KEY.encode():
                fields[OBJECT_KEY] = parse_item(raw_value)
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
