"""Tests of the result codes and their documentation page."""

import pathlib
import unittest

from sapphirepaddle import codes, codes_page

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'RESULT_CODES.md'


class TestPage(unittest.TestCase):
    """Agreement of the result codes with the page."""

    def test_page_is_current(self) -> None:
        """The page in docs/ matches the rendered result codes."""
        self.assertEqual(PAGE.read_text(), codes_page.render())

    def test_refusals_state_the_run(self) -> None:
        """Every code for callers states whether the request may have run."""
        for code in codes.CODES_BY_NUMBER.values():
            if code.number // 1000 == 3:
                self.assertIn(
                    code.run_statement, {codes.NOT_RUN, codes.MAY_HAVE_RUN}
                )


if __name__ == '__main__':
    unittest.main()
