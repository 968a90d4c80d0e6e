"""The VMs of the fleet as known to one entry daemon."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle.peers import messages, ring
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import base
from sapphirepaddle.store import vm

TOPIC: typing.Final = 'vm'
GONE: typing.Final = 'gone'
MAX_CACHE_ENTRIES: typing.Final = 100000
"""Number of cached results at which the cache is cleared; it grows by one for
each role that is looked up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberEntry:
    """State of one VM, gossiped as the payload of an item.

    Attributes:
        zone: Name of its availability zone.
        address: IP address of its peer listener.
        port: TCP port of its peer listener.
        state: Whether it accepts work, is shutting down, or is missing from
            the platform's list.
    """

    zone: str
    address: str
    port: int
    state: typing.Literal['live', 'leaving', 'gone']


ADAPTER: typing.Final = pydantic.TypeAdapter(MemberEntry)


class Members:
    """All VMs of the fleet.

    Attributes:
        local_vm: Name of this VM.
        local_zone: Availability zone of this VM.
        vms: Live and leaving VMs by name.
        missing_since: Time at which a VM was first reported gone, by name.
        version: Increases with each change of the VMs.
        cache: Results computed for this version, by cache key.
    """

    def __init__(self, local_vm: str, local_zone: str) -> None:
        """Initialize without other VMs."""
        self.local_vm = local_vm
        self.local_zone = local_zone
        self.vms: dict[str, MemberEntry] = {}
        self.missing_since: dict[str, float] = {}
        self.version = 0
        self.cache: dict[str, typing.Any] = {}

    def invalidate_cache(self) -> None:
        """Clear the cached results and increase the version."""
        self.version += 1
        self.cache = {}

    def replace(self, vms: dict[str, MemberEntry]) -> None:
        """Replace all VMs and invalidate the cache."""
        self.vms = vms
        self.invalidate_cache()

    def get_cached(
        self,
        key: str,
        compute: typing.Callable[[], typing.Any],
    ) -> typing.Any:
        """Return a result that is computed once for each set of VMs.

        With thousands of VMs, sorting them for each heartbeat or report
        would use most of the CPU time allowed for the control plane.

        Args:
            key: Identifies the result.
            compute: Computes the result on a cache miss.
        """
        if key not in self.cache:
            if len(self.cache) >= MAX_CACHE_ENTRIES:
                self.cache.clear()
            self.cache[key] = compute()
        return self.cache[key]

    def live_vms(self) -> list[str]:
        """Return the sorted live VMs, always including this one."""
        return self.get_cached('live', self.find_live)

    def find_live(self) -> list[str]:
        """Compute the result of live_vms()."""
        names = {
            name for name, entry in self.vms.items() if entry.state == 'live'
        }
        return sorted(names | {self.local_vm})

    def successors(self) -> list[str]:
        """Return the VMs that this one opens connections to."""
        return self.get_cached(
            'successors',
            lambda: ring.successors(self.local_vm, self.vms.keys()),
        )

    def neighbours(self) -> frozenset[str]:
        """Return the VMs connected with this one in either direction."""
        return self.get_cached(
            'neighbours',
            lambda: ring.neighbours(self.local_vm, self.vms.keys()),
        )

    def role_holder(self, role: str) -> str:
        """Return the live VM that rendezvous hashing assigns a role to."""
        return self.get_cached(
            f'first {role}',
            lambda: rendezvous.first(role, self.live_vms()),
        )

    def all_names(self) -> list[str]:
        """Return the sorted live and leaving VMs, including this one."""
        return sorted(self.vms.keys() | {self.local_vm})

    def in_zone(self, zone: str) -> list[str]:
        """Return the live VMs of an availability zone."""
        return [name for name in self.live_vms() if self.zone_of(name) == zone]

    def zones(self) -> list[str]:
        """Return the availability zones with live VMs."""
        return sorted({self.zone_of(name) for name in self.live_vms()})

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a VM; empty if unknown."""
        if name == self.local_vm:
            return self.local_zone
        entry = self.vms.get(name)
        return entry.zone if entry else ''

    def apply_item(self, item: messages.GossipItem, now: float) -> None:
        """Apply a gossip item on one VM.

        Raises:
            ValueError: If the payload is invalid.
        """
        entry = ADAPTER.validate_json(item.payload)
        self.invalidate_cache()
        if entry.state == GONE:
            self.vms.pop(item.key, None)
            self.missing_since.setdefault(item.key, now)
        else:
            self.vms[item.key] = entry
            self.missing_since.pop(item.key, None)

    def is_leaving_override(self, name: str, entry: MemberEntry) -> bool:
        """Return whether to keep `leaving`, which a VM announced itself.

        The platform's list may still report such a VM as live.
        """
        current = self.vms.get(name)
        is_leaving = current is not None and current.state == 'leaving'
        return is_leaving and entry.state == 'live'

    def diff_with_list(
        self, platform_vms: list[vm.Vm]
    ) -> dict[str, MemberEntry]:
        """Return the entries that differ from the platform's list, by name.

        VMs that are missing from the list are returned as gone.

        Args:
            platform_vms: The list read from the platform.
        """
        entries = {
            entry.name: MemberEntry(
                zone=entry.zone,
                address=entry.address,
                port=entry.port,
                state=entry.state,
            )
            for entry in platform_vms
        }
        changed = {
            name: entry
            for name, entry in entries.items()
            if self.vms.get(name) != entry
            and not self.is_leaving_override(name, entry)
        }
        missing = {
            name: dataclasses.replace(current, state=GONE)
            for name, current in self.vms.items()
            if name not in entries
        }
        return changed | missing


def local_entry(
    listener: base.Listener,
    zone: str,
    state: typing.Literal['live', 'leaving'],
) -> MemberEntry:
    """Return the entry by which a VM announces itself."""
    return MemberEntry(
        zone=zone,
        address=listener.host,
        port=listener.port,
        state=state,
    )


def to_item(name: str, entry: MemberEntry, version: int) -> messages.GossipItem:
    """Return the gossip item for the entry of one VM."""
    return messages.GossipItem(TOPIC, name, version, orjson.dumps(entry))
