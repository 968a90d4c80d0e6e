"""A small fleet of real processes for demonstrations and tests."""

import asyncio
import dataclasses
import functools
import hashlib
import itertools
import pathlib
import time
import typing
from collections import abc

from sapphirepaddle.objects import change
from sapphirepaddle.store import change_log, remote
from sapphirepaddle.standins import http_call, processes

HOST: typing.Final = '127.0.0.1'
PORT: typing.Final = 'port'
HOST_FIELD: typing.Final = 'host'
PEER_SECRET: typing.Final = 'secret-of-the-demonstration'
OPERATOR_TOKEN: typing.Final = 'operator-token-of-the-demonstration'
READER_TOKEN: typing.Final = 'reader-token-of-the-demonstration'
START_SECONDS: typing.Final = 30
QUOTA_GRACE_SECONDS: typing.Final = 1.5
CALL_SECONDS: typing.Final = 2
Json = dict[str, typing.Any]
Puts = abc.Sequence[change.Put]


@dataclasses.dataclass(slots=True)
class DaemonAddresses:
    """Addresses of one daemon.

    Attributes:
        name: Name of its VM.
        zone: Its availability zone.
        host: Its IP address.
        callers: Port of its callers' listener.
        peers: Port of its peer listener.
        operators: Port of its operators' listener.
        listed_peers: Address of its peer listener in the list of VMs.
    """

    name: str
    zone: str
    host: str
    callers_port: int
    peers_port: int
    operators_port: int
    advertised_peers: tuple[str, int]

    @property
    def callers_url(self) -> str:
        """Return the URL for callers."""
        return f'http://{self.host}:{self.callers_port}'

    @property
    def operators_url(self) -> str:
        """Return the URL for operators."""
        return f'http://{self.host}:{self.operators_port}'


class Fleet:
    """Platform, targets and daemons as processes.

    Attributes:
        folder: Where settings and logs go.
        overrides: Settings of the daemons that differ from the defaults.
        programs: Running programs by name.
        daemons: Places of the daemons by name.
        targets: Control URL of each target by name.
        platform_url: URL of the platform.
        list_lag: Lag of the platform's list in seconds.
        revision: Revision of the last change made here.
        prelude: Python code that daemons run first.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        overrides: Json | None = None,
        list_lag: float = 0,
    ) -> None:
        """Start nothing yet."""
        self.folder = folder
        self.overrides = overrides or {}
        self.programs: dict[str, processes.Program] = {}
        self.daemons: dict[str, DaemonAddresses] = {}
        self.targets: dict[str, str] = {}
        self.platform_url = ''
        self.list_lag_seconds = list_lag
        self.revision = 0
        self.prelude = ''

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        port = processes.free_port(HOST)
        self.platform_url = f'http://{HOST}:{port}'
        settings = {
            'listener': {HOST_FIELD: HOST, PORT: port},
            'list_lag_seconds': self.list_lag_seconds,
        }
        self.launch('platform', 'platform', settings)
        self.wait_http('platform', f'{self.platform_url}/vms')

    def launch(self, name: str, program: str, settings: Json) -> None:
        """Start a program under a name."""
        self.programs[name] = processes.start(
            name,
            program,
            settings,
            self.folder,
            self.prelude if program == 'entry' else '',
        )

    def wait_http(self, name: str, url: str) -> None:
        """Wait until a program answers.

        Raises:
            TimeoutError: If it does not.
            ChildProcessError: If it ended.
        """
        processes.wait_for(
            functools.partial(self.is_answering, name, url),
            START_SECONDS,
            f'answer of {url}',
        )

    def is_answering(self, name: str, url: str) -> bool:
        """Tell whether a program answers.

        Raises:
            ChildProcessError: If it ended.
        """
        program = self.programs[name]
        if not program.is_running():
            raise ChildProcessError(f'{name} ended: {program.tail()}')
        return has_success_answer(url)

    def start_targets(
        self,
        puts: Puts,
        instance: Json | None = None,
    ) -> list[change.Put]:
        """Start stand-ins for the targets, one process for each zone.

        Args:
            puts: The configuration.
            instance: Settings of each stand-in besides name and place.

        Returns:
            The configuration with the places of the stand-ins.
        """
        slots = {
            put.name: put.body['slots'] for put in puts if put.kind == 'service'
        }
        placed = [with_local_address(put) for put in puts]
        by_zone: dict[str, list[Json]] = {}
        for put in placed:
            if put.kind == 'target':
                settings = {
                    **target_instance_settings(put, slots[put.body['service']]),
                    **(instance or {}),
                }
                by_zone.setdefault(put.body['zone'], []).append(settings)
        for zone, instances in by_zone.items():
            self.launch_targets(f'targets-{zone}', instances)
        return placed

    def launch_targets(self, name: str, instances: list[Json]) -> None:
        """Start one process of target stand-ins."""
        self.launch(name, 'target', {'instances': instances})
        for settings in instances:
            listener = settings['listener']
            url = f'http://{listener[HOST_FIELD]}:{listener[PORT]}'
            self.targets[settings['name']] = url
        self.wait_http(name, f'{url}/control/executions')

    def assign_addresses(self, name: str, zone: str, number: int) -> None:
        """Choose addresses for a daemon."""
        host = f'127.0.1.{number}'
        ports = [processes.free_port(host) for _ in range(3)]
        self.daemons[name] = DaemonAddresses(
            name=name,
            zone=zone,
            host=host,
            callers_port=ports[0],
            peers_port=ports[1],
            operators_port=ports[2],
            advertised_peers=(host, ports[1]),
        )

    def settings_of(self, place_of: DaemonAddresses) -> Json:
        """Return the settings of a daemon."""
        return {
            'vm': place_of.name,
            'availability_zone': place_of.zone,
            'callers': {HOST_FIELD: place_of.host, PORT: place_of.callers_port},
            'peers': {HOST_FIELD: place_of.host, PORT: place_of.peers_port},
            'peers_advertised': {
                HOST_FIELD: place_of.advertised_peers[0],
                'port': place_of.advertised_peers[1],
            },
            'operators': {
                HOST_FIELD: place_of.host,
                PORT: place_of.operators_port,
            },
            'platform': {
                'url': self.platform_url,
                'call_seconds': CALL_SECONDS,
            },
            'peer_secrets': [PEER_SECRET],
            'seeds': [
                {
                    HOST_FIELD: other.advertised_peers[0],
                    PORT: other.advertised_peers[1],
                }
                for other in self.daemons.values()
                if other is not place_of
            ],
            'operators_access': [
                operator('olga', OPERATOR_TOKEN, 'operator'),
                operator('rashid', READER_TOKEN, 'reader'),
            ],
            **self.overrides,
        }

    def start_daemon(self, name: str) -> None:
        """Start a daemon at its place, once its last process has ended."""
        last = self.programs.get(name)
        if last is not None:
            last.process.wait()
        settings = self.settings_of(self.daemons[name])
        self.launch(name, 'entry', settings)

    def publish_vms(self, names: abc.Iterable[str] | None = None) -> None:
        """Make the platform list VMs; all daemons if none are named."""
        wanted = self.daemons.keys() if names is None else names
        listed = [
            {
                'name': name,
                'zone': self.daemons[name].zone,
                'address': self.daemons[name].advertised_peers[0],
                PORT: self.daemons[name].advertised_peers[1],
            }
            for name in wanted
        ]
        http_call.post(f'{self.platform_url}/control/vms', listed)

    def start_daemons(self, zones: abc.Sequence[str], each: int) -> None:
        """Start daemons in some zones, and list them."""
        numbers = itertools.count(1)
        for zone in zones:
            for number in itertools.islice(numbers, each):
                self.assign_addresses(f'vm{number}', zone, number)
        self.publish_vms()
        for name in self.daemons:
            self.start_daemon(name)

    def wait_ready(self, seconds: float = START_SECONDS) -> None:
        """Wait until every running daemon is ready and owns its quota.

        Raises:
            TimeoutError: If one is not in time.
        """
        for name, place_of in self.daemons.items():
            if self.programs[name].is_running():
                url = f'{place_of.operators_url}/ready'
                processes.wait_for(
                    functools.partial(self.is_answering, name, url),
                    seconds,
                    f'{name} ready',
                )

    def wait_quota_owners(self, seconds: float = START_SECONDS) -> None:
        """Wait until every running daemon knows the owners of quota.

        Raises:
            TimeoutError: If one does not in time.
        """
        for name in self.daemons:
            if self.programs[name].is_running():
                processes.wait_for(
                    functools.partial(self.knows_quota_owners, name),
                    seconds,
                    f'{name} knows the owners of quota',
                )
        time.sleep(QUOTA_GRACE_SECONDS)

    def knows_quota_owners(self, name: str) -> bool:
        """Tell whether a daemon knows the owners of quota."""
        url = f'{self.daemons[name].operators_url}/metrics'
        return b'paddle_owners_known' in http_call.call(url).body

    def commit_change(
        self, puts: Puts, deletes: abc.Sequence[change.Delete] = ()
    ) -> None:
        """Make the platform accept a change."""
        self.revision += 1
        entry = change.Change(
            revision=self.revision,
            author='fleet',
            reason='set up',
            token=f'fleet-{self.revision}-{time.time_ns()}',
            at=time.time(),
            puts=tuple(puts),
            deletes=tuple(deletes),
        )
        asyncio.run(append(self.platform_url, entry))

    def set_platform_faults(self, **faults: typing.Any) -> None:
        """Replace the platform's faults."""
        http_call.post(f'{self.platform_url}/control/faults', faults)

    def set_modes(self, target_name: str, **modes: typing.Any) -> None:
        """Replace the gray modes of a target."""
        url = self.targets[target_name]
        http_call.post(f'{url}/control/modes', modes)

    def executions(self) -> list[Json]:
        """Return the execution log of all targets in order of time."""
        logs = (
            http_call.call(f'{url}/control/executions').json()
            for url in self.targets.values()
        )
        merged = itertools.chain.from_iterable(logs)
        return sorted(merged, key=lambda execution: execution['at'])

    def status(self, name: str) -> typing.Any:
        """Return the status that a daemon tells."""
        url = f'{self.daemons[name].operators_url}/status'
        headers = {'authorization': f'Bearer {READER_TOKEN}'}
        return http_call.call(url, headers=headers).json()

    def stop(self) -> dict[str, int]:
        """Stop everything and return the exit codes by name."""
        for name in self.daemons.keys() & self.programs.keys():
            self.programs[name].request_stop()
        return {
            name: program.stop()
            for name, program in reversed(self.programs.items())
        }

    def kill(self) -> None:
        """End everything at once."""
        for program in self.programs.values():
            program.kill()


def operator(name: str, token: str, role: str) -> Json:
    """Return the settings of an operator."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {'name': name, 'token_digest': digest, 'role': role}


def with_local_address(put: change.Put) -> change.Put:
    """Return an object of the configuration with a place on this machine."""
    if put.kind != 'target':
        return put
    port = processes.free_port(HOST)
    return dataclasses.replace(
        put,
        body={**put.body, 'address': HOST, PORT: port},
    )


def target_instance_settings(put: change.Put, slots: int) -> Json:
    """Return the settings of the stand-in for a target."""
    return {
        'name': put.name,
        'listener': {
            HOST_FIELD: put.body['address'],
            PORT: put.body[PORT],
        },
        'slots': slots,
    }


def has_success_answer(url: str) -> bool:
    """Tell whether a URL answers without an error."""
    try:
        return http_call.call(url, seconds=1).status < MIN_ERROR_STATUS
    except OSError:
        return False


MIN_ERROR_STATUS: typing.Final = 400


async def append(url: str, entry: change.Change) -> None:
    """Append a change to the change log.

    Raises:
        ConfigurationError: If it is refused.
    """
    objects = remote.RemoteStore(url, CALL_SECONDS)
    try:
        await change_log.append(objects, entry)
    finally:
        await objects.close()
