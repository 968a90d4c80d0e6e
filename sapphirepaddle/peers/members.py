"""The VMs of the fleet as one daemon knows them."""

import dataclasses
import typing

import orjson
import pydantic

from sapphirepaddle.peers import messages, ring
from sapphirepaddle.store import vm
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import base

TOPIC: typing.Final = 'vm'
GONE: typing.Final = 'gone'
MAX_CACHE_ENTRIES: typing.Final = 100000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberEntry:
    """News on one VM.

    Attributes:
        zone: Name of its availability zone.
        address: IP address of its peer listener.
        port: TCP port of its peer listener.
        state: Whether it lives, is leaving or is gone from the list.
    """

    zone: str
    address: str
    port: int
    state: typing.Literal['live', 'leaving', 'gone']


ADAPTER: typing.Final = pydantic.TypeAdapter(MemberEntry)


class Members:
    """All VMs of the fleet.

    Attributes:
        own: Name of this VM.
        own_zone: Its availability zone.
        vms: VMs that live or are leaving, by name.
        gone_since: When a VM was first missed, by name.
        version: Rises with each change of the VMs.
        cache: What was worked out for this version, by question.
    """

    def __init__(self, own: str, own_zone: str) -> None:
        """Start alone."""
        self.local_vm = own
        self.local_zone = own_zone
        self.vms: dict[str, MemberEntry] = {}
        self.missing_since: dict[str, float] = {}
        self.version = 0
        self.cache: dict[str, typing.Any] = {}

    def invalidate_cache(self) -> None:
        """Forget what was worked out for the VMs as they were."""
        self.version += 1
        self.cache = {}

    def replace(self, vms: dict[str, MemberEntry]) -> None:
        """Replace all VMs."""
        self.vms = vms
        self.invalidate_cache()

    def get_cached(
        self,
        question: str,
        work_out: typing.Callable[[], typing.Any],
    ) -> typing.Any:
        """Work something out once for the VMs as they are.

        At thousands of VMs, ordering them for each heartbeat or report
        would take most of the processor time allowed for control.

        Args:
            question: Identifies what is worked out.
            work_out: Works it out.
        """
        if question not in self.cache:
            if len(self.cache) >= MAX_CACHE_ENTRIES:
                self.cache.clear()
            self.cache[question] = work_out()
        return self.cache[question]

    def live_vms(self) -> list[str]:
        """Return the VMs that take on work, this one included."""
        return self.get_cached('live', self.find_live)

    def find_live(self) -> list[str]:
        """Find the VMs that take on work."""
        names = {
            name for name, listed in self.vms.items() if listed.state == 'live'
        }
        return sorted(names | {self.local_vm})

    def successors(self) -> list[str]:
        """Return the VMs that this one connects to."""
        return self.get_cached(
            'successors',
            lambda: ring.successors(self.local_vm, self.vms.keys()),
        )

    def neighbours(self) -> frozenset[str]:
        """Return the VMs that this one has connections with."""
        return self.get_cached(
            'neighbours',
            lambda: ring.neighbours(self.local_vm, self.vms.keys()),
        )

    def role_holder(self, role: str) -> str:
        """Return the live VM that a role falls to."""
        return self.get_cached(
            f'first {role}',
            lambda: rendezvous.first(role, self.live_vms()),
        )

    def all_names(self) -> list[str]:
        """Return the VMs that live or are leaving, this one included."""
        return sorted(self.vms.keys() | {self.local_vm})

    def in_zone(self, zone: str) -> list[str]:
        """Return the live VMs of an availability zone."""
        return [name for name in self.live_vms() if self.zone_of(name) == zone]

    def zones(self) -> list[str]:
        """Return the availability zones with live VMs."""
        return sorted({self.zone_of(name) for name in self.live_vms()})

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a VM; empty if not known."""
        if name == self.local_vm:
            return self.local_zone
        listed = self.vms.get(name)
        return listed.zone if listed else ''

    def apply_item(self, item: messages.GossipItem, now: float) -> None:
        """Take up news on one VM."""
        listed = ADAPTER.validate_json(item.payload)
        self.invalidate_cache()
        if listed.state == GONE:
            self.vms.pop(item.key, None)
            self.missing_since.setdefault(item.key, now)
        else:
            self.vms[item.key] = listed
            self.missing_since.pop(item.key, None)

    def is_leaving_override(self, name: str, entry: MemberEntry) -> bool:
        """Tell whether a VM's own word that it leaves outruns the list."""
        held = self.vms.get(name)
        leaving = held is not None and held.state == 'leaving'
        return leaving and entry.state == 'live'

    def diff_with_list(self, listed: list[vm.Vm]) -> dict[str, MemberEntry]:
        """Return what a list read from the platform changes.

        Args:
            listed: The list.
        """
        wanted = {
            entry.name: MemberEntry(
                zone=entry.zone,
                address=entry.address,
                port=entry.port,
                state=entry.state,
            )
            for entry in listed
        }
        changed = {
            name: entry
            for name, entry in wanted.items()
            if self.vms.get(name) != entry
            and not self.is_leaving_override(name, entry)
        }
        missed = {
            name: dataclasses.replace(held, state=GONE)
            for name, held in self.vms.items()
            if name not in wanted
        }
        return changed | missed


def local_entry(
    place: base.Listener,
    zone: str,
    state: typing.Literal['live', 'leaving'],
) -> MemberEntry:
    """Return what a VM says of itself."""
    return MemberEntry(
        zone=zone,
        address=place.host,
        port=place.port,
        state=state,
    )


def to_item(
    name: str, listed: MemberEntry, version: int
) -> messages.GossipItem:
    """Return the news on one VM."""
    return messages.GossipItem(TOPIC, name, version, orjson.dumps(listed))
