"""Relay of changed registrations from the readers of a zone to the others."""

import typing
from collections import abc

import orjson

from sapphirepaddle.directory import revisions, source
from sapphirepaddle.peers import digest
from sapphirepaddle.telemetry import logs

MAX_CHANGES_BYTES: typing.Final = 1200
"""Maximum size of the changes in a datagram, so that it fits into one packet.
A larger change is not relayed."""

Entries = list[source.Entry]
Transmit = abc.Callable[[digest.Body], None]


class ChangeRelay:
    """Relays changes that a reader has read, and applies relayed ones.

    A daemon applies changes if its registrations are those to which they were
    made, and are older. A daemon that misses a message differs from the
    reader until it has read the source itself.

    Attributes:
        read_fingerprint: Returns the fingerprint of the registrations of this
            daemon.
        read_revision: Returns the revision of the source that these reflect.
        apply: Applies changes to these.
        on_revision: Called with the revision that they reflect after the last
            message of a call.
        transmit: Sends a datagram to the other daemons of the zone.
        learn_era: Called with the revision of each relayed change.
        relayed_count: Number of changes applied that a reader had relayed.
        logger: Log of changes that were not relayed.
    """

    def __init__(
        self,
        read_fingerprint: abc.Callable[[], int],
        read_revision: abc.Callable[[], revisions.Revision],
        apply: abc.Callable[[Entries], None],
        on_revision: abc.Callable[[revisions.Revision], None],
        transmit: Transmit,
    ) -> None:
        """Initialize with the access to the registrations of this daemon."""
        self.read_fingerprint = read_fingerprint
        self.read_revision = read_revision
        self.apply = apply
        self.on_revision = on_revision
        self.transmit = transmit
        self.learn_era: abc.Callable[[revisions.Revision], None] = ignore_era
        self.relayed_count = 0
        self.logger = logs.get_logger('relay')

    def apply_and_send(
        self, entries: Entries, revision: revisions.Revision
    ) -> None:
        """Apply changes that this daemon has read, and relay them.

        Args:
            entries: The changes, in order.
            revision: Revision of the source after the changes.
        """
        parts = split_changes(entries)
        for number, part in enumerate(parts, 1):
            message = self.apply_part(part, revision, number == len(parts))
            if message.base_fingerprint != self.read_fingerprint():
                self.send(message)

    def apply_and_send_era(
        self, entries: Entries, revision: revisions.Revision
    ) -> None:
        """Apply and relay how a list of a new era differs from the last state.

        It is relayed also if nothing differs, so that other daemons go on
        from its revision.

        Args:
            entries: The differences.
            revision: Revision of the source that the list reflects.
        """
        parts = split_changes(entries) or [[]]
        for number, part in enumerate(parts, 1):
            self.send(self.apply_part(part, revision, number == len(parts)))

    def apply_part(
        self, part: Entries, revision: revisions.Revision, is_last: bool
    ) -> digest.RegistrationChanges:
        """Apply a part of the changes of a call; return it as a message."""
        base_fingerprint = self.read_fingerprint()
        self.apply(part)
        return digest.RegistrationChanges(
            base_fingerprint=base_fingerprint,
            revision=revision,
            is_last=is_last,
            changes=tuple(map(encode_change, part)),
        )

    def send(self, message: digest.RegistrationChanges) -> None:
        """Send changes, unless they do not fit into a packet."""
        size = sum(len(change.content) for change in message.changes)
        if size > MAX_CHANGES_BYTES:
            self.logger.info(
                'change too large to relay', revision=message.revision.number
            )
            return
        self.transmit(message)

    def handle_changes(self, message: digest.RegistrationChanges) -> None:
        """Apply relayed changes if they follow the local registrations.

        None do before the first list, although it may be empty there too.
        """
        self.learn_era(message.revision)
        if (
            not self.read_revision()
            or message.base_fingerprint != self.read_fingerprint()
            or message.revision <= self.read_revision()
        ):
            return
        try:
            entries = [decode_change(change) for change in message.changes]
        except ValueError:
            self.logger.warning(
                'relayed change malformed', revision=message.revision.number
            )
            return
        self.apply(entries)
        self.relayed_count += len(message.changes)
        if message.is_last:
            self.on_revision(message.revision)


def ignore_era(_revision: revisions.Revision) -> None:
    """Do nothing: by default eras of the source are ignored."""


def split_changes(entries: Entries) -> list[Entries]:
    """Split changes into parts that fit into a packet, in order."""
    parts: list[Entries] = []
    free_bytes = 0
    for entry in entries:
        size = len(encode_change(entry).content) + len(entry.name)
        if size > free_bytes:
            parts.append([])
            free_bytes = MAX_CHANGES_BYTES
        parts[-1].append(entry)
        free_bytes -= size
    return parts


def encode_change(entry: source.Entry) -> digest.RegistrationChange:
    """Return a change as it is relayed."""
    content = b'' if entry.content is None else orjson.dumps(entry.content)
    return digest.RegistrationChange(entry.name, content)


def decode_change(change: digest.RegistrationChange) -> source.Entry:
    """Return the entry of a relayed change.

    Raises:
        ValueError: If its content is no JSON text.
    """
    content = orjson.loads(change.content) if change.content else None
    return source.Entry(change.name, content)
