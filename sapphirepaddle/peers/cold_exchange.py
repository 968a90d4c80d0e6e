"""Exchange of notices about targets that turned cold without a restart."""

import itertools
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.peers import digest, digest_receiver, fleet, notices
from sapphirepaddle.routing import candidate
from sapphirepaddle.telemetry import logs

MAX_TARGETS_PER_NOTICE: typing.Final = 60
"""Maximum number of targets in a notice, so that it fits into one packet."""
MILLISECONDS_PER_SECOND: typing.Final = 1000

Transmit = abc.Callable[[digest.Body, abc.Sequence[str]], None]


class ColdExchange:
    """Tells the daemons of a zone which targets turned cold.

    Only readers of the source tell the others of their zone. A notice that is
    lost is not repeated: the others read the registration as well, later.

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
        self.logger = logs.get_logger('cold')

    def announce(self, targets: abc.Iterable[candidate.Candidate]) -> None:
        """Tell the daemons of this zone which targets turned cold."""
        now = clock.monotonic()
        cold_targets = (
            notices.ColdTarget(
                digest.hash_name(target.registration.name),
                target.registration.incarnation,
                int((target.cold_until - now) * MILLISECONDS_PER_SECOND),
            )
            for target in targets
            if target.cold_until > now
        )
        while part := tuple(
            itertools.islice(cold_targets, MAX_TARGETS_PER_NOTICE)
        ):
            self.transmit(
                notices.ColdNotice(part), self.fleet.same_zone_hosts()
            )

    def handle_notice(self, notice: notices.ColdNotice) -> None:
        """Apply the notice of another daemon.

        Another incarnation of a target, and an unknown target, are not
        concerned.
        """
        now = clock.monotonic()
        directory = self.digest_receiver.directory
        for cold_target in notice.targets:
            name = self.digest_receiver.names_by_hash.get(
                cold_target.target, ''
            )
            target = directory.find_target(name)
            if (
                target is not None
                and target.registration.incarnation == cold_target.incarnation
            ):
                target.record_warmup(
                    cold_target.warmup_ms / MILLISECONDS_PER_SECOND, now
                )
                self.logger.info('target cold', target=name, said_by='peer')
