"""Registers this daemon in the member list and discovers the others."""

import asyncio
import contextlib
import random
import typing

from sapphirepaddle import errors
from sapphirepaddle.directory import member, platform_interface, source
from sapphirepaddle.peers import count_exchange
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

REGISTER_RETRY_SECONDS: typing.Final = 1.0
"""Pause after a failed registration."""
RETURN_SPREAD_SECONDS: typing.Final = (0.2, 2.0)
"""Range of the pause after a return of the source from an older copy before
this daemon looks whether its entry was lost, so that not all write at once."""
ASKED_NEIGHBOURS: typing.Final = 2
"""Number of daemons of its zone that a daemon asks beside the seeds."""
REFRESH_INTERVAL_SECONDS: typing.Final = 20.0
"""Interval between reads of the member list, which find daemons whose
introductions were lost."""
FIRST_REFRESH_SECONDS: typing.Final = (1.0, 3.0)
"""Pauses before the first reads after this daemon has registered. They find
daemons that registered later, and whose introductions were lost."""


class Membership:
    """Keeps this daemon registered and tracks the other daemons.

    Attributes:
        settings: Settings of the daemon.
        platform: Access to the platform.
        count_exchange: Introduces this daemon to the others.
        is_created: Whether an entry of this daemon's name was written, by this
            process or before its start.
        is_registered: Whether the list, when last read, had the entry of this
            daemon.
        has_read_members: Whether the list was read since the start.
        source_returned: Event that is set after the source returned from an
            older copy, until this daemon has looked for its entry.
        logger: Log of registration failures.
    """

    def __init__(
        self,
        settings: edge.EdgeSettings,
        platform: platform_interface.PlatformInterface,
        exchange: count_exchange.CountExchange,
    ) -> None:
        """Initialize as not registered."""
        self.settings = settings
        self.platform = platform
        self.count_exchange = exchange
        self.is_created = False
        self.is_registered = False
        self.has_read_members = False
        self.source_returned = asyncio.Event()
        platform.source.era.on_return.append(self.source_returned.set)
        self.logger = logs.get_logger('membership')

    async def run(self) -> None:
        """Register this daemon, then refresh the member list periodically."""
        self.count_exchange.introduction_exchange.request_introductions(
            [host for host in self.settings.seeds if host != self.local_host],
        )
        while not await self.register():
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        self.ask_neighbours()
        for pause_seconds in FIRST_REFRESH_SECONDS:
            await asyncio.sleep(pause_seconds)
            await self.refresh_members(is_stale_allowed=True)
        while True:
            await self.wait_for_refresh()
            self.count_exchange.fleet.remove_silent()
            await self.ensure_registered()

    async def wait_for_refresh(self) -> None:
        """Wait until the list is due, or the source may have lost the entry."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFRESH_INTERVAL_SECONDS):
                await self.source_returned.wait()
        if self.source_returned.is_set():
            await asyncio.sleep(random.uniform(*RETURN_SPREAD_SECONDS))

    def ask_neighbours(self) -> None:
        """Ask some daemons of the zone for what they tell one that starts.

        The seeds may be down.
        """
        hosts = self.count_exchange.fleet.same_zone_hosts()
        self.count_exchange.introduction_exchange.request_introductions(
            random.sample(hosts, min(ASKED_NEIGHBOURS, len(hosts)))
        )

    async def ensure_registered(self) -> None:
        """Read the list and write this daemon's entry if it is missing.

        After a return of the source this is repeated until it succeeds.
        """
        has_returned = self.source_returned.is_set()
        self.source_returned.clear()
        is_done = await self.refresh_members(is_stale_allowed=True) and (
            self.is_registered or await self.write_entry()
        )
        if has_returned and not is_done:
            self.source_returned.set()

    @property
    def local_host(self) -> str:
        """Return the host of this daemon."""
        return self.count_exchange.fleet.local_member.host

    async def register(self) -> bool:
        """Write the entry of this daemon, then read those of the others.

        Of any two daemons, at least the one whose entry was written later
        finds the other's, whatever they started at, and introduces itself. So
        the list must not be stale. An entry written before a restart is still
        valid: the others learn of the restart by an introduction. While the
        source takes no writes, a stale list still names the others.

        Returns:
            Whether the entry is written and the list was read.
        """
        if not self.is_created:
            self.is_created = await self.create_entry()
        if not self.is_created:
            await self.refresh_members(is_stale_allowed=True)
            return False
        is_read = await self.refresh_members(is_stale_allowed=False)
        return is_read and (self.is_registered or await self.write_entry())

    async def create_entry(self) -> bool:
        """Write the entry of this daemon unless there is one of its name.

        Returns:
            Whether there is one now.
        """
        try:
            await self.platform.source.create(
                self.platform.member_kind, self.local_entry()
            )
        except errors.SourceError as error:
            self.logger.warning('registration failed', reason=error.detail)
            return False
        return True

    def local_entry(self) -> source.Entry:
        """Return the entry of this daemon."""
        local_member = self.count_exchange.fleet.local_member
        return source.Entry(
            local_member.name, self.platform.encode_member(local_member)
        )

    async def write_entry(self) -> bool:
        """Write the entry of this daemon.

        Returns:
            Whether the source accepted it.
        """
        try:
            await self.platform.source.put(
                self.platform.member_kind, self.local_entry()
            )
        except errors.SourceError as error:
            self.logger.warning('registration failed', reason=error.detail)
            return False
        return True

    async def refresh_members(self, is_stale_allowed: bool) -> bool:
        """Read the list and announce this daemon to new members.

        Returns:
            Whether the list was read.
        """
        try:
            listing = await self.platform.source.list_all(
                self.platform.member_kind,
                is_stale_allowed,
            )
        except errors.SourceError as error:
            self.logger.warning('member list not read', reason=error.detail)
            return False
        listed_members = [
            listed_member
            for entry in listing.entries
            if (listed_member := self.decode_entry(entry))
        ]
        local_member = self.count_exchange.fleet.local_member
        self.is_registered = any(
            (listed_member.name, listed_member.zone, listed_member.host)
            == (local_member.name, local_member.zone, local_member.host)
            for listed_member in listed_members
        )
        new_members = [
            listed_member
            for listed_member in listed_members
            if self.count_exchange.fleet.add(listed_member)
        ]
        self.has_read_members = True
        self.count_exchange.introduction_exchange.announce_to(new_members)
        return True

    def decode_entry(self, entry: source.Entry) -> member.Member | None:
        """Return the member that an entry describes; None if malformed."""
        try:
            return self.platform.decode_member(entry.name, entry.content or {})
        except ValueError as error:
            self.logger.warning(
                'member entry malformed',
                member=entry.name,
                reason=str(error),
            )
            return None

    async def deregister(self) -> None:
        """Delete the entry of this daemon."""
        try:
            await self.platform.source.delete(
                self.platform.member_kind,
                self.count_exchange.fleet.local_member.name,
            )
        except errors.SourceError as error:
            self.logger.warning('deregistration failed', reason=error.detail)
