"""Splitting of JSON text into members without decoding them; no I/O."""

import re
import typing
from collections import abc

TOKEN: typing.Final = re.compile(rb'"(?:[^"\\]|\\.)*"|["\[\]{}:,]', re.DOTALL)
"""A string, or a character that separates or nests values. A quotation mark
alone begins a string without end."""
QUOTATION_MARK: typing.Final = b'"'
OPENING: typing.Final = frozenset((b'{', b'['))
CLOSING: typing.Final = frozenset((b'}', b']'))
SEPARATORS: typing.Final = frozenset((b':', b','))
WHITESPACE: typing.Final = b' \t\r\n'


def split_array(raw: bytes) -> list[bytes]:
    """Return the text of each element of a JSON array.

    Raises:
        ValueError: If the text is not an array or ends too early.
    """
    if not raw.lstrip(WHITESPACE).startswith(b'['):
        raise ValueError('not an array')
    return [piece for piece, _ in split_pieces(raw) if piece]


def split_object(raw: bytes) -> dict[bytes, bytes]:
    """Return the text of each value of a JSON object by the text of its key.

    The keys keep their quotation marks.

    Raises:
        ValueError: If the text is not an object or ends too early.
    """
    if not raw.lstrip(WHITESPACE).startswith(b'{'):
        raise ValueError('not an object')
    member_text_by_key = {}
    key = b''
    for piece, separator in split_pieces(raw):
        if separator == b':':
            key = piece
        elif piece:
            member_text_by_key[key] = piece
    return member_text_by_key


def split_pieces(raw: bytes) -> abc.Iterator[tuple[bytes, bytes]]:
    """Split a JSON array or object at the separators of its outermost level.

    Yields:
        The text of a piece and the separator or bracket that ends it.

    Raises:
        ValueError: If the text ends before the outermost level does.
    """
    start = len(raw) - len(raw.lstrip(WHITESPACE)) + 1
    for match, depth in read_nested_tokens(raw):
        is_end = depth == 0
        if is_end or (depth == 1 and match.group() in SEPARATORS):
            yield raw[start : match.start()].strip(WHITESPACE), match.group()
            start = match.end()
        if is_end:
            return
    raise ValueError('text ends within a value')


def read_nested_tokens(
    raw: bytes,
) -> abc.Iterator[tuple[re.Match[bytes], int]]:
    """Yield each token with the nesting depth after it, without recursion."""
    depth = 0
    for match in TOKEN.finditer(raw):
        token = match.group()
        if token == QUOTATION_MARK:
            return
        depth += (token in OPENING) - (token in CLOSING)
        yield match, depth
