"""Decoding of notices about zones, cold targets and quotas; no I/O."""

import typing

from sapphirepaddle.directory import revisions
from sapphirepaddle.peers import notices


def read_zones(reader: typing.Any) -> tuple[notices.EmptiedZone, ...]:
    """Return the emptied zones in a list of a Cap'n Proto reader."""
    return tuple(notices.EmptiedZone(zone.name, zone.ageMs) for zone in reader)


def read_zone_state(reader: typing.Any) -> notices.ZoneState:
    """Return the state of the zones held by a Cap'n Proto reader."""
    return notices.ZoneState(
        revision=revisions.Revision(reader.era, reader.revision),
        zones=read_zones(reader.zones),
        is_forwarded=reader.isForwarded,
    )


def read_cold_notice(reader: typing.Any) -> notices.ColdNotice:
    """Return the notice held by a Cap'n Proto reader."""
    return notices.ColdNotice(
        tuple(
            notices.ColdTarget(
                target.target, target.incarnation, target.warmupMs
            )
            for target in reader.targets
        )
    )


def read_quota_levels(reader: typing.Any) -> notices.QuotaLevels:
    """Return the levels held by a Cap'n Proto reader."""
    return notices.QuotaLevels(
        tuple(
            notices.AccountLevel(level.account, level.tokens)
            for level in reader.levels
        )
    )
