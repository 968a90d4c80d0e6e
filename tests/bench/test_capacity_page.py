"""The page on size."""

import pathlib
import unittest

from bench import capacity_page

DOCS = pathlib.Path(__file__).parent.parent.parent / 'docs'


class TestPage(unittest.TestCase):
    """The page and the measured slopes agree."""

    def test_page_is_current(self) -> None:
        """The page is what the figures render."""
        figures = (DOCS / 'slopes.json').read_bytes()
        page = (DOCS / 'CAPACITY.md').read_text()
        self.assertEqual(page, capacity_page.render(figures))


if __name__ == '__main__':
    unittest.main()
