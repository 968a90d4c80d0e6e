"""Tests that names of the platform occur in its adapter only."""

import pathlib
import re
import unittest

import sapphirepaddle

PACKAGE_FOLDER = pathlib.Path(sapphirepaddle.__file__).parent
ADAPTER_FOLDER = PACKAGE_FOLDER / 'platform'
STANDIN_FILE = PACKAGE_FOLDER / 'standins' / 'object_store.py'
"""Stand-in for the platform, which uses the platform's names."""
PLATFORM_NAMES = re.compile(
    'X-Expect-Instance|X-Not-Executed|X-Response-Stamp|X-Tenant-Id'
    '|X-Server-Load|X-Instance-Id|virtualHosts|routePaths|pathPrefix'
    r'|warmupLeftS|(?-i:heartbeatS)|SAPPHIREPADDLE_SETTINGS|currentRev'
    '|allowStale|maxAttempts|targetLatencyS|trafficSplit|authExempt'
    '|apiKeys|ratePerS|platformStore|internalPorts|/v1/readiness'
    '|/v1/objects',
    re.IGNORECASE,
)
DECISION_IMPORTS = re.compile(
    r'sapphirepaddle\.(routing|limits|peers|edge|fleet|gateway)\b'
    r'|from sapphirepaddle import .*(routing|limits|peers)',
)


class TestBoundary(unittest.TestCase):
    """The adapter must stay the only code that depends on the platform.

    It must also stay small and contain no decision logic, so that a change of
    the platform needs no change elsewhere.
    """

    def test_no_platform_name_outside_the_adapter(self) -> None:
        names_by_file = {
            str(path.relative_to(PACKAGE_FOLDER)): PLATFORM_NAMES.findall(
                path.read_text()
            )
            for path in PACKAGE_FOLDER.rglob('*.py')
            if ADAPTER_FOLDER not in path.parents and path != STANDIN_FILE
        }
        self.assertEqual({k: v for k, v in names_by_file.items() if v}, {})

    def test_adapter_imports_no_decision_logic(self) -> None:
        imports_by_file = {
            path.name: DECISION_IMPORTS.findall(path.read_text())
            for path in ADAPTER_FOLDER.glob('*.py')
        }
        self.assertEqual({k: v for k, v in imports_by_file.items() if v}, {})

    def test_adapter_is_small(self) -> None:
        adapter_lines = sum(
            len(path.read_text().splitlines())
            for path in ADAPTER_FOLDER.glob('*.py')
        )
        package_lines = sum(
            len(path.read_text().splitlines())
            for path in PACKAGE_FOLDER.rglob('*.py')
        )
        self.assertLess(adapter_lines, package_lines / 10)
