"""Splitting of JSON text into members without decoding them; no I/O.

The bytes are scanned by methods of `bytes`, by regular expressions and by
`itertools`, with one Python step for a block or a member: the text of another
writer may have a million brackets, and the event loop waits meanwhile.
"""

import dataclasses
import itertools
import re
import typing
from collections import abc

BLOCK_BYTES: typing.Final = 4096
"""Size of the blocks that are skipped if no value can end in them."""
BRACKET: typing.Final = re.compile(rb'[\[\]{}]')
DELIMITER: typing.Final = re.compile(rb'[\[\]{}:,]')
ESCAPES: typing.Final = (rb'\\', rb'\"')
"""Escape sequences that matter for the end of a string, in order."""
FILLER: typing.Final = b'__'
QUOTATION_MARK: typing.Final = b'"'
OPENING: typing.Final = (b'{', b'[')
CLOSING: typing.Final = (b'}', b']')
WHITESPACE: typing.Final = b' \t\r\n'
DEPTH_STEPS: typing.Final = bytes.maketrans(b'{[}]', b'\x01\x01\xff\xff')
"""Translates brackets into changes of the nesting depth, as signed bytes."""
OTHER_BYTES: typing.Final = bytes(
    byte
    for byte in range(1 + 0xFF)  # noqa: WPS432
    if byte not in b'{[}]'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A part of a JSON text.

    Attributes:
        raw: The text.
        blanked: Text of the same length whose strings have no delimiters.
    """

    raw: bytes
    blanked: bytes

    def part(self, start: int, end: int) -> 'Text':
        """Return the part between two positions, without outer whitespace."""
        inner = self.raw[start:end]
        start += len(inner) - len(inner.lstrip(WHITESPACE))
        end -= len(inner) - len(inner.rstrip(WHITESPACE))
        return Text(self.raw[start:end], self.blanked[start:end])


def read(raw: bytes) -> Text:
    """Return a text whose members can be split.

    Raises:
        ValueError: If a string does not end.
    """
    blanked = raw
    for escape in ESCAPES:
        blanked = blanked.replace(escape, FILLER)
    pieces = blanked.split(QUOTATION_MARK)
    if len(pieces) % 2 == 0:
        raise ValueError('text ends within a string')
    blanks = map(bytes, map(len, pieces[1::2]))
    # A text has one piece more outside of strings than strings.
    outer_and_blank = itertools.zip_longest(pieces[::2], blanks)
    parts = itertools.chain.from_iterable(outer_and_blank)
    blanked = QUOTATION_MARK.join(itertools.islice(parts, len(pieces)))
    return Text(raw, blanked).part(0, len(raw))


def split_array(text: Text) -> list[Text]:
    """Return the text of each element of a JSON array.

    Raises:
        ValueError: If the text is not an array or ends too early.
    """
    if not text.raw.startswith(b'['):
        raise ValueError('not an array')
    return [piece for piece, _ in split_pieces(text) if piece.raw]


def split_object(text: Text) -> dict[bytes, Text]:
    """Return the text of each value of a JSON object by the text of its key.

    The keys keep their quotation marks.

    Raises:
        ValueError: If the text is not an object or ends too early.
    """
    if not text.raw.startswith(b'{'):
        raise ValueError('not an object')
    member_text_by_key = {}
    key = b''
    for piece, separator in split_pieces(text):
        if separator == b':':
            key = piece.raw
        elif piece.raw:
            member_text_by_key[key] = piece
    return member_text_by_key


def split_pieces(text: Text) -> abc.Iterator[tuple[Text, bytes]]:
    """Split a JSON array or object at the separators of its outermost level.

    Yields:
        The text of a piece and the separator or bracket that ends it.

    Raises:
        ValueError: If the text ends before the outermost level does.
    """
    start = 1
    position = start
    while match := DELIMITER.search(text.blanked, position):
        delimiter = match.group()
        position = match.end()
        if delimiter in OPENING:
            position = find_end(text.blanked, position)
            continue
        yield text.part(start, match.start()), delimiter
        if delimiter in CLOSING:
            return
        start = position
    raise ValueError('text ends within a value')


def find_end(blanked: bytes, position: int) -> int:
    """Return the position behind the bracket that ends a value.

    Args:
        blanked: JSON text without the contents of its strings.
        position: Position behind the bracket that begins the value.

    Raises:
        ValueError: If the text ends before.
    """
    depth = 1
    for start in range(position, len(blanked), BLOCK_BYTES):
        block = blanked[start : start + BLOCK_BYTES]
        closing_count = count_any(CLOSING, block)
        if depth <= closing_count and depth + lowest_depth(block) <= 0:
            return start + find_depth(block, -depth)
        depth += count_any(OPENING, block) - closing_count
    raise ValueError('text ends within a value')


def find_depth(block: bytes, depth: int) -> int:
    """Return the position behind the bracket that first reaches a depth.

    Args:
        block: JSON text without the contents of its strings.
        depth: Nesting depth relative to the start of the block, which the
            block reaches.
    """
    brackets = BRACKET.finditer(block)
    steps = memoryview(block.translate(DEPTH_STEPS, OTHER_BYTES)).cast('b')
    return next(
        match.end()
        for match, reached in zip(
            brackets, itertools.accumulate(steps), strict=True
        )
        if reached == depth
    )


def count_any(parts: abc.Iterable[bytes], block: bytes) -> int:
    """Return how often any of the parts occurs in a block."""
    return sum(map(block.count, parts))


def lowest_depth(block: bytes) -> int:
    """Return the lowest nesting depth in a block, relative to its start."""
    steps = memoryview(block.translate(DEPTH_STEPS, OTHER_BYTES)).cast('b')
    return min(itertools.accumulate(steps), default=0)
