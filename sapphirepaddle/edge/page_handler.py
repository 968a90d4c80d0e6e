"""Serves the readiness and metrics pages."""

from collections import abc

from sapphirepaddle.gateway import answer
from sapphirepaddle.proxy import handler, request

NOT_FOUND = 404
TEXT_CONTENT_TYPE = (b'Content-Type', b'text/plain; charset=utf-8')


class PageHandler(handler.Handler):
    """Serves a few pages by path.

    Attributes:
        pages: Functions by path that return status and text.
    """

    def __init__(
        self,
        pages: abc.Mapping[str, abc.Callable[[], tuple[int, bytes]]],
    ) -> None:
        """Initialize with the functions that render the pages."""
        self.pages = pages

    async def handle(self, caller_request: request.Request) -> answer.Answer:
        """Answer with the page at the path, or with 404."""
        page = self.pages.get(caller_request.path)
        if page is None:
            return answer.Answer(NOT_FOUND, [TEXT_CONTENT_TYPE], b'')
        status, text = page()
        return answer.Answer(status, [TEXT_CONTENT_TYPE], text)

    def refuse(self, status: int, detail: str) -> answer.Answer:
        """Return the answer to a request that could not be read."""
        return answer.Answer(status, [TEXT_CONTENT_TYPE], detail.encode())
