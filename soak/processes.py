"""Edge daemons as processes of their own."""

import os
import pathlib
import signal
import subprocess
import sys
import time

from soak import testbed_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRONT_PORT = 17101
READY_PORT = 17102
PEER_PORT = 17103
MEMORY_MB = 300
RUN = 'from sapphirepaddle.cli import edge; edge.main()'


class EdgeProcess:
    """One VM with its daemon.

    Attributes:
        name: Name of the VM.
        host: Its IP address.
        zone: Its availability zone.
        folder: Where its settings and its log lie.
        prelude: Python code that runs first in the daemon.
        process: The running daemon; None while it is down.
        is_leaving: Whether it was told to stop.
        is_paused: Whether it is paused.
        started: When it was started last.
    """

    def __init__(
        self,
        number: int,
        network: str,
        folder: pathlib.Path,
        source_port: int,
        prelude: str,
    ) -> None:
        """Write the settings.

        Args:
            number: Number of the VM.
            network: Start of the addresses of its soak.
            folder: Where settings and log go.
            source_port: Port of the link to the store.
            prelude: Python code that runs first in the daemon.
        """
        self.prelude = prelude
        self.name = f'vm-{number}'
        self.host = f'{network}.{1 + number // 200}.{1 + number % 200}'
        self.zone = testbed_settings.ZONES[number % len(testbed_settings.ZONES)]
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.is_leaving = False
        self.is_paused = False
        self.started = 0.0
        self.settings_path = folder / f'{self.name}.toml'
        zones = '\n'.join(f'{zone} = "r"' for zone in testbed_settings.ZONES)
        bounds = ', '.join(f'"{text}"' for text in testbed_settings.BOUNDS)
        self.settings_path.write_text(
            f'node = "{self.name}"\nip = "{self.host}"\n'
            f'zone = "{self.zone}"\n'
            f'internalPorts = [{PEER_PORT}, {PEER_PORT + 10}]\n'
            f'seeds = ["{network}.1.1:1", "{network}.1.2:1"]\n'
            f'bounds = [{bounds}]\n'
            f'[zones]\n{zones}\n[listen]\n'
            f'front = "{self.host}:{FRONT_PORT}"\n'
            f'ready = "{self.host}:{READY_PORT}"\n'
            f'[limits]\nmemoryMb = {MEMORY_MB}\n[platformStore]\n'
            f'address = "127.0.0.1:{source_port}"\n',
        )

    @property
    def takes_callers(self) -> bool:
        """Tell whether a balancer would send callers here."""
        return self.process is not None and not self.is_leaving

    def start(self) -> None:
        """Start the daemon."""
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, '-c', f'{self.prelude}\n{RUN}'],
            cwd=ROOT,
            env=os.environ
            | {'SAPPHIREPADDLE_SETTINGS': str(self.settings_path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.is_leaving = False
        self.is_paused = False
        self.started = time.monotonic()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the daemon and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()
        self.process = None
