"""Every command of the operators' pages runs."""

import os
import pathlib
import re
import subprocess
import sys
import unittest

from sapphirepaddle.objects import change
from sapphirepaddle.standins import demonstration, fleet, processes
from tests.support import fleet_case

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGES = ROOT / 'docs' / 'operators'
BLOCK = re.compile(r'```console\n(.*?)```', re.DOTALL)
EXIT = re.compile(r'#\s*exit (\d+)')
PADDLE = 'from sapphirepaddle.cli import paddle; paddle.main()'


def commands(page: pathlib.Path) -> list[str]:
    """Return the commands of a page."""
    return [
        line.removeprefix('$ ')
        for block in BLOCK.findall(page.read_text())
        for line in block.splitlines()
        if line.startswith('$ ')
    ]


class TestOperatorsPages(fleet_case.FleetCase):
    """The pages in order, on the sample deployment."""

    def objects(self) -> list[change.Put]:
        """Return the sample configuration of Brimweave."""
        return list(
            demonstration.read_sample(ROOT / 'samples' / 'brimweave'),
        )

    def test_commands(self) -> None:
        """Each command ends with the code that the page states."""
        (self.fleet.folder / 'guild.key').write_text(
            self.demo.keys['guild-south'],
        )
        script = self.fleet.folder / 'paddle'
        script.write_text(f'#!{sys.executable}\n{PADDLE}\n')
        script.chmod(0o755)
        urls = [place.operators_url for place in self.fleet.daemons.values()]
        environment = {
            **os.environ,
            'PATH': f'{self.fleet.folder}:{os.environ["PATH"]}',
            'PADDLE_URL': ','.join(urls[1:]),
            'PADDLE_TOKEN': fleet.OPERATOR_TOKEN,
        }
        for page in sorted(PAGES.glob('*.md')):
            for command in commands(page):
                self.run_command(page.name, command, environment)
            if page.name == 'upgrading.md':
                self.fleet.programs['vm1'].process.wait()
                left = [name for name in self.fleet.daemons if name != 'vm1']
                self.fleet.publish_vms(left)
                processes.time.sleep(3)

    def run_command(
        self,
        page: str,
        command: str,
        environment: dict[str, str],
    ) -> None:
        """Run one command and check its exit code."""
        stated = EXIT.search(command)
        wanted = int(stated.group(1)) if stated else 0
        ended = subprocess.run(
            command,
            shell=True,
            cwd=self.fleet.folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        with self.subTest(page=page, command=command):
            self.assertEqual(ended.returncode, wanted, ended.stderr)


if __name__ == '__main__':
    unittest.main()
