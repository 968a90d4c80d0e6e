"""Exchange of notices about targets that state that they are leaving."""

import dataclasses
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.peers import digest, digest_receiver, fleet
from sapphirepaddle.routing import candidate
from sapphirepaddle.telemetry import logs

Transmit = abc.Callable[[digest.Body, abc.Sequence[str]], None]


class LeavingExchange:
    """Tells other daemons which targets leave, and applies their notices.

    A notice is sent once, to each daemon of the zone and to one of each other
    zone, which forwards it. It is not repeated if it is lost: the answers of
    the target, and its registration, say the same.

    Attributes:
        fleet: The known daemons.
        digest_receiver: Resolves hashes of names, and provides the directory.
        transmit: Sends a datagram to hosts.
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
        self.logger = logs.get_logger('leaving')

    def announce(self, target: candidate.Candidate) -> None:
        """Tell the other daemons that a target is leaving."""
        registration = target.registration
        notice = digest.LeavingNotice(
            (
                digest.LeavingTarget(
                    digest.hash_name(registration.name),
                    registration.incarnation,
                ),
            )
        )
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

        Another incarnation of the target, and an unknown target, are not
        concerned.
        """
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
