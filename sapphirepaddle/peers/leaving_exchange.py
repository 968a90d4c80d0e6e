"""Exchange of notices about targets that state that they are leaving."""

import dataclasses
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import registration
from sapphirepaddle.peers import digest, digest_receiver, fleet
from sapphirepaddle.routing import candidate
from sapphirepaddle.telemetry import logs

MAX_KNOWN_TARGETS: typing.Final = 2000
"""Maximum number of leaving targets that are remembered."""
Transmit = abc.Callable[[digest.Body, abc.Sequence[str]], None]


class LeavingExchange:
    """Tells other daemons which targets leave, and applies their notices.

    A notice is sent once, to each daemon of the zone and to one of each other
    zone, which forwards it. It is not repeated if it is lost: the answers of
    the target, and its registration, say the same. What is known of an
    incarnation outlasts its entry, which may be listed later, or again.

    Attributes:
        fleet: The known daemons.
        digest_receiver: Resolves hashes of names, and provides the directory.
        transmit: Sends a datagram to hosts.
        known_since: Monotonic time since which each target is known to leave,
            oldest first.
        logger: Log of the notices that were applied.
    """

    def __init__(
        self,
        peer_fleet: fleet.Fleet,
        receiver: digest_receiver.DigestReceiver,
        transmit: Transmit,
    ) -> None:
        """Initialize with the function that sends datagrams."""
        self.fleet = peer_fleet
        self.digest_receiver = receiver
        self.transmit = transmit
        self.known_since: dict[digest.LeavingTarget, float] = {}
        receiver.directory.read_leaving_since = self.leaving_since
        self.logger = logs.get_logger('leaving')

    def announce(self, target: candidate.Candidate) -> None:
        """Tell the other daemons that a target is leaving.

        Its entry may have been removed, and listed again, since the request
        was sent to it.
        """
        leaving_target = to_leaving_target(target.registration)
        self.apply(leaving_target)
        notice = digest.LeavingNotice((leaving_target,))
        self.transmit(notice, self.fleet.same_zone_hosts())
        self.transmit(
            dataclasses.replace(notice, is_forwarded=True),
            self.fleet.other_zone_hosts(),
        )

    def handle_notice(self, notice: digest.LeavingNotice) -> None:
        """Apply the notice of another daemon, and forward it if necessary."""
        if notice.is_forwarded:
            self.transmit(
                dataclasses.replace(notice, is_forwarded=False),
                self.fleet.same_zone_hosts(),
            )
        for leaving_target in notice.targets:
            self.apply(leaving_target)

    def apply(self, leaving_target: digest.LeavingTarget) -> None:
        """Apply the notice about one target.

        Another incarnation of the target is not concerned. The notice about a
        target that is not listed is kept for the time when it is.
        """
        self.remember(leaving_target)
        directory = self.digest_receiver.directory
        name = self.digest_receiver.names_by_hash.get(leaving_target.target, '')
        target = directory.find_target(name)
        if (
            target is None
            or target.registration.incarnation != leaving_target.incarnation
        ):
            return
        service = target.registration.service
        if directory.service_targets(service).record_leaving(
            target, clock.monotonic()
        ):
            self.logger.info(
                'target leaving', target=name, service=service, said_by='peer'
            )

    def remember(self, leaving_target: digest.LeavingTarget) -> None:
        """Keep since when a target is known to leave."""
        self.known_since.setdefault(leaving_target, clock.monotonic())
        if len(self.known_since) > MAX_KNOWN_TARGETS:
            self.known_since.pop(next(iter(self.known_since)))

    def leaving_since(
        self, target_registration: registration.Registration
    ) -> float | None:
        """Return since when an incarnation is known to leave; None if not."""
        return self.known_since.get(to_leaving_target(target_registration))


def to_leaving_target(
    target_registration: registration.Registration,
) -> digest.LeavingTarget:
    """Return the incarnation of a target as notices name it."""
    return digest.LeavingTarget(
        digest.hash_name(target_registration.name),
        target_registration.incarnation,
    )
