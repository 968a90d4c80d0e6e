"""A small fleet of processes for demonstrations and tests."""

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
from sapphirepaddle.standins import http_call, processes
from sapphirepaddle.store import change_log, remote

HOST: typing.Final = '127.0.0.1'
PORT_FIELD: typing.Final = 'port'
HOST_FIELD: typing.Final = 'host'
PEER_SECRET: typing.Final = 'secret-of-the-demonstration'
OPERATOR_TOKEN: typing.Final = 'operator-token-of-the-demonstration'
READER_TOKEN: typing.Final = 'reader-token-of-the-demonstration'
START_TIMEOUT_SECONDS: typing.Final = 30
QUOTA_GRACE_SECONDS: typing.Final = 1.5
CALL_TIMEOUT_SECONDS: typing.Final = 2
Json = dict[str, typing.Any]
Puts = abc.Sequence[change.Put]


@dataclasses.dataclass(slots=True)
class DaemonAddresses:
    """Listener addresses of one daemon.

    Attributes:
        name: Name of the VM.
        zone: Availability zone of the VM.
        host: IP address that all listeners bind.
        callers_port: Port of the listener for callers.
        peers_port: Port of the listener for peers.
        operators_port: Port of the listener for operators.
        advertised_peers: Host and port of the peer listener in the
            platform's list of VMs and in the seeds of the other daemons.
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
        """Return the base URL for callers."""
        return f'http://{self.host}:{self.callers_port}'

    @property
    def operators_url(self) -> str:
        """Return the base URL for operators."""
        return f'http://{self.host}:{self.operators_port}'


class Fleet:
    """Runs the platform, the targets and the daemons as processes.

    Attributes:
        folder: Directory of the settings files and logs.
        overrides: Settings of the daemons that differ from the defaults.
        programs: Started programs by name.
        daemons: Addresses of the daemons by name.
        targets: Base URL of each target stand-in by target name.
        platform_url: Base URL of the platform stand-in.
        list_lag_seconds: Time until a new list of VMs becomes visible.
        revision: Revision of the last change that this fleet committed.
        prelude: Python code that daemons run before they start.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        overrides: Json | None = None,
        list_lag_seconds: float = 0,
    ) -> None:
        """Initialize a fleet without starting any process."""
        self.folder = folder
        self.overrides = overrides or {}
        self.programs: dict[str, processes.Program] = {}
        self.daemons: dict[str, DaemonAddresses] = {}
        self.targets: dict[str, str] = {}
        self.platform_url = ''
        self.list_lag_seconds = list_lag_seconds
        self.revision = 0
        self.prelude = ''

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers.

        Raises:
            TimeoutError: If it does not answer in time.
            ChildProcessError: If it ended.
        """
        port = processes.free_port(HOST)
        self.platform_url = f'http://{HOST}:{port}'
        settings = {
            'listener': {HOST_FIELD: HOST, PORT_FIELD: port},
            'list_lag_seconds': self.list_lag_seconds,
        }
        self.launch('platform', 'platform', settings)
        self.wait_http('platform', f'{self.platform_url}/vms')

    def launch(self, name: str, program: str, settings: Json) -> None:
        """Start a program and register it under a name.

        Only daemons (program `entry`) run the prelude.
        """
        self.programs[name] = processes.start(
            name,
            program,
            settings,
            self.folder,
            self.prelude if program == 'entry' else '',
        )

    def wait_http(self, name: str, url: str) -> None:
        """Wait until a program answers a URL without an error.

        Raises:
            TimeoutError: If it does not answer in time.
            ChildProcessError: If it ended.
        """
        processes.wait_for(
            functools.partial(self.is_answering, name, url),
            START_TIMEOUT_SECONDS,
            f'{name} to answer {url}',
        )

    def is_answering(self, name: str, url: str) -> bool:
        """Return whether a program answers a URL without an error.

        Raises:
            ChildProcessError: If it ended.
        """
        program = self.programs[name]
        if not program.is_running():
            raise ChildProcessError(f'{name} exited: {program.tail()}')
        return has_success_answer(url)

    def start_targets(
        self,
        puts: Puts,
        instance_settings: Json | None = None,
    ) -> list[change.Put]:
        """Start the target stand-ins, one process for each zone.

        Args:
            puts: Configuration whose targets are started.
            instance_settings: Settings of each stand-in besides name, listener
                and slots.

        Returns:
            The configuration with the addresses of the stand-ins.
        """
        slots_by_service = {
            put.name: put.body['slots'] for put in puts if put.kind == 'service'
        }
        local_puts = [with_local_address(put) for put in puts]
        settings_by_zone: dict[str, list[Json]] = {}
        for put in local_puts:
            if put.kind == 'target':
                settings = {
                    **target_instance_settings(
                        put, slots_by_service[put.body['service']]
                    ),
                    **(instance_settings or {}),
                }
                settings_by_zone.setdefault(put.body['zone'], []).append(
                    settings
                )
        for zone, instances in settings_by_zone.items():
            self.launch_targets(f'targets-{zone}', instances)
        return local_puts

    def launch_targets(self, name: str, instances: list[Json]) -> None:
        """Start one process that serves several target stand-ins."""
        self.launch(name, 'target', {'instances': instances})
        for settings in instances:
            listener = settings['listener']
            url = f'http://{listener[HOST_FIELD]}:{listener[PORT_FIELD]}'
            self.targets[settings['name']] = url
        self.wait_http(name, f'{url}/control/executions')

    def assign_addresses(self, name: str, zone: str, number: int) -> None:
        """Assign a loopback address and free ports to a daemon.

        Args:
            name: Name of the VM.
            zone: Availability zone of the VM.
            number: Last octet of the address.
        """
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

    def settings_of(self, addresses: DaemonAddresses) -> Json:
        """Return the settings of a daemon.

        All other daemons are its seeds; `overrides` replace any setting.
        """
        return {
            'vm': addresses.name,
            'availability_zone': addresses.zone,
            'callers': {
                HOST_FIELD: addresses.host,
                PORT_FIELD: addresses.callers_port,
            },
            'peers': {
                HOST_FIELD: addresses.host,
                PORT_FIELD: addresses.peers_port,
            },
            'peers_advertised': {
                HOST_FIELD: addresses.advertised_peers[0],
                'port': addresses.advertised_peers[1],
            },
            'operators': {
                HOST_FIELD: addresses.host,
                PORT_FIELD: addresses.operators_port,
            },
            'platform': {
                'url': self.platform_url,
                'call_seconds': CALL_TIMEOUT_SECONDS,
            },
            'peer_secrets': [PEER_SECRET],
            'seeds': [
                {
                    HOST_FIELD: peer.advertised_peers[0],
                    PORT_FIELD: peer.advertised_peers[1],
                }
                for peer in self.daemons.values()
                if peer is not addresses
            ],
            'operators_access': [
                operator('olga', OPERATOR_TOKEN, 'operator'),
                operator('rashid', READER_TOKEN, 'reader'),
            ],
            **self.overrides,
        }

    def start_daemon(self, name: str) -> None:
        """Start a daemon at its assigned addresses.

        Waits until its previous process has ended, which holds the ports.
        """
        previous = self.programs.get(name)
        if previous is not None:
            previous.process.wait()
        settings = self.settings_of(self.daemons[name])
        self.launch(name, 'entry', settings)

    def publish_vms(self, names: abc.Iterable[str] | None = None) -> None:
        """Replace the platform's list of VMs.

        Args:
            names: VMs to list; all daemons if None.
        """
        listed_names = self.daemons.keys() if names is None else names
        vm_entries = [
            {
                'name': name,
                'zone': self.daemons[name].zone,
                'address': self.daemons[name].advertised_peers[0],
                PORT_FIELD: self.daemons[name].advertised_peers[1],
            }
            for name in listed_names
        ]
        http_call.post(f'{self.platform_url}/control/vms', vm_entries)

    def start_daemons(
        self, zones: abc.Sequence[str], daemons_per_zone: int
    ) -> None:
        """Publish and start daemons in each of the zones."""
        numbers = itertools.count(1)
        for zone in zones:
            for number in itertools.islice(numbers, daemons_per_zone):
                self.assign_addresses(f'vm{number}', zone, number)
        self.publish_vms()
        for name in self.daemons:
            self.start_daemon(name)

    def wait_ready(self, seconds: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until every running daemon is ready.

        Raises:
            TimeoutError: If a daemon is not ready in time.
            ChildProcessError: If a daemon ended.
        """
        for name, addresses in self.daemons.items():
            if self.programs[name].is_running():
                url = f'{addresses.operators_url}/ready'
                processes.wait_for(
                    functools.partial(self.is_answering, name, url),
                    seconds,
                    f'{name} to become ready',
                )

    def wait_quota_owners(self, seconds: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until every running daemon knows the quota owners.

        Sleeps `QUOTA_GRACE_SECONDS` afterwards, since a new owner leases no
        tokens until leases of an earlier owner must have expired.

        Raises:
            TimeoutError: If a daemon does not know them in time.
        """
        for name in self.daemons:
            if self.programs[name].is_running():
                processes.wait_for(
                    functools.partial(self.knows_quota_owners, name),
                    seconds,
                    f'{name} to know the quota owners',
                )
        time.sleep(QUOTA_GRACE_SECONDS)

    def knows_quota_owners(self, name: str) -> bool:
        """Return whether a daemon knows the quota owners."""
        url = f'{self.daemons[name].operators_url}/metrics'
        return b'paddle_owners_known' in http_call.call(url).body

    def commit_change(
        self, puts: Puts, deletes: abc.Sequence[change.Delete] = ()
    ) -> None:
        """Append a configuration change to the platform's change log.

        Raises:
            ConfigurationError: If the change is refused.
        """
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
        asyncio.run(append_change(self.platform_url, entry))

    def set_platform_faults(self, **faults: typing.Any) -> None:
        """Replace the faults of the platform stand-in."""
        http_call.post(f'{self.platform_url}/control/faults', faults)

    def set_modes(self, target_name: str, **modes: typing.Any) -> None:
        """Replace the gray-failure modes of a target."""
        url = self.targets[target_name]
        http_call.post(f'{url}/control/modes', modes)

    def executions(self) -> list[Json]:
        """Return the execution logs of all targets, sorted by start time."""
        logs = (
            http_call.call(f'{url}/control/executions').json()
            for url in self.targets.values()
        )
        merged = itertools.chain.from_iterable(logs)
        return sorted(merged, key=lambda execution: execution['at'])

    def status(self, name: str) -> typing.Any:
        """Return the status report of a daemon."""
        url = f'{self.daemons[name].operators_url}/status'
        headers = {'authorization': f'Bearer {READER_TOKEN}'}
        return http_call.call(url, headers=headers).json()

    def stop(self) -> dict[str, int]:
        """Stop all programs and return their exit codes by name.

        All daemons are asked to stop first, so that they stop concurrently.
        """
        for name in self.daemons.keys() & self.programs.keys():
            self.programs[name].request_stop()
        return {
            name: program.stop()
            for name, program in reversed(self.programs.items())
        }

    def kill(self) -> None:
        """Kill all programs."""
        for program in self.programs.values():
            program.kill()


def operator(name: str, token: str, role: str) -> Json:
    """Return the access settings of an operator."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {'name': name, 'token_digest': digest, 'role': role}


def with_local_address(put: change.Put) -> change.Put:
    """Return a target with a free local address; other objects unchanged."""
    if put.kind != 'target':
        return put
    port = processes.free_port(HOST)
    return dataclasses.replace(
        put,
        body={**put.body, 'address': HOST, PORT_FIELD: port},
    )


def target_instance_settings(put: change.Put, slots: int) -> Json:
    """Return the settings of the stand-in for a target."""
    return {
        'name': put.name,
        'listener': {
            HOST_FIELD: put.body['address'],
            PORT_FIELD: put.body[PORT_FIELD],
        },
        'slots': slots,
    }


def has_success_answer(url: str) -> bool:
    """Return whether a URL answers with a status below 400."""
    try:
        return http_call.call(url, seconds=1).status < MIN_ERROR_STATUS
    except OSError:
        return False


MIN_ERROR_STATUS: typing.Final = 400


async def append_change(url: str, entry: change.Change) -> None:
    """Append a change to the change log of a platform.

    Raises:
        ConfigurationError: If the change is refused.
    """
    remote_store = remote.RemoteStore(url, CALL_TIMEOUT_SECONDS)
    try:
        await change_log.append(remote_store, entry)
    finally:
        await remote_store.close()
