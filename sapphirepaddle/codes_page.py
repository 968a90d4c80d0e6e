"""Generator of the documentation page of result codes."""

from sapphirepaddle import codes

PAGE_HEADER = """# Result codes

Written from `sapphirepaddle/codes.py`. Answers to callers carry the number in
`X-Result-Code` and in the JSON body, and state in `X-Run` whether the request
"not run" or "may have run". The exit code of a program is 10 plus the
thousands of the number, 2 for wrong usage, 1 after a second signal, 0 for
success.

| number | name | HTTP status | states | meaning |
|---|---|---|---|---|
"""


def render() -> str:
    """Return the page in Markdown."""
    lines = (
        f'| {code.number} | {code.name} | {code.http_status or "-"} '
        f'| {code.run_statement} | {code.text} |'
        for code in codes.CODES_BY_NUMBER.values()
    )
    return '\n'.join([PAGE_HEADER.rstrip(), *lines, ''])
