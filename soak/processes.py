"""Edge daemons that run as child processes."""

import os
import pathlib
import signal
import subprocess
import sys
import time

from soak import testbed_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLERS_PORT = 17101
READY_PORT = 17102
PEER_PORT = 17103
MEMORY_MB = 300
LAUNCH_CODE = 'from sapphirepaddle.cli import edge; edge.main()'


class EdgeProcess:
    """A VM with its edge daemon.

    Attributes:
        name: Name of the VM.
        host: IP address of the VM.
        zone: Availability zone of the VM.
        folder: Folder of the settings and the log.
        prelude: Python code that the daemon runs before it starts.
        process: The latest process; None after a kill and before the start.
        is_leaving: Whether the daemon was told to stop.
        has_fault: Whether a fault affects the daemon, so that no other fault
            selects it.
        started_at: When the daemon was last started, in seconds on the
            monotonic clock.
        settings_path: Path of the settings, which are written at each start.
        settings_text: The settings that are the same at each start.
    """

    def __init__(
        self,
        number: int,
        network_prefix: str,
        folder: pathlib.Path,
        store_port: int,
        prelude: str,
    ) -> None:
        """Prepare the settings of the daemon.

        Args:
            number: Number of the VM.
            network_prefix: First two numbers of the IP addresses of the soak.
            folder: Folder for the settings and the log.
            store_port: Port of the daemon's relay to the store.
            prelude: Python code that the daemon runs before it starts.
        """
        self.prelude = prelude
        self.name = f'vm-{number}'
        self.host = f'{network_prefix}.{1 + number // 200}.{1 + number % 200}'
        self.zone = testbed_settings.ZONES[number % len(testbed_settings.ZONES)]
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.is_leaving = False
        self.has_fault = False
        self.started_at = 0.0
        self.settings_path = folder / f'{self.name}.toml'
        zone_lines = '\n'.join(
            f'{zone} = "r"' for zone in testbed_settings.ZONES
        )
        bound_list = ', '.join(f'"{text}"' for text in testbed_settings.BOUNDS)
        self.settings_text = (
            f'node = "{self.name}"\nip = "{self.host}"\n'
            f'zone = "{self.zone}"\n'
            f'internalPorts = [{PEER_PORT}, {PEER_PORT + 10}]\n'
            f'seeds = ["{network_prefix}.1.1:1", "{network_prefix}.1.2:1"]\n'
            f'bounds = [{bound_list}]\n'
            f'[zones]\n{zone_lines}\n[listen]\n'
            f'front = "{self.host}:{CALLERS_PORT}"\n'
            f'ready = "{self.host}:{READY_PORT}"\n'
            f'[limits]\nmemoryMb = {MEMORY_MB}\n[platformStore]\n'
            f'address = "127.0.0.1:{store_port}"\n'
        )

    @property
    def accepts_callers(self) -> bool:
        """Return whether a load balancer would send callers to the daemon."""
        return self.process is not None and not self.is_leaving

    def start(self, *, is_first_start: bool = False) -> None:
        """Start the daemon and append its output to the log.

        Args:
            is_first_start: Whether no daemon of the fleet has run before.
        """
        self.settings_path.write_text(
            f'bootstrap = {str(is_first_start).lower()}\n{self.settings_text}'
        )
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, '-c', f'{self.prelude}\n{LAUNCH_CODE}'],
            cwd=ROOT,
            env=os.environ
            | {'SAPPHIREPADDLE_SETTINGS': str(self.settings_path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.is_leaving = False
        self.has_fault = False
        self.started_at = time.monotonic()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the daemon if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the daemon and wait until the process has exited."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()
        self.process = None
