"""Interface of request handlers."""

import abc
import math

from sapphirepaddle.directory import caller_limits
from sapphirepaddle.gateway import answer
from sapphirepaddle.proxy import body_memory, request


class Handler(abc.ABC):
    """Answers the requests of one listener.

    Attributes:
        limits: Limits on callers that are in force.
        is_leaving: Whether connections are closed after an answer, so that
            callers connect to another daemon.
        memory: Memory budget for request bodies.
    """

    limits = caller_limits.CallerLimits()
    memory = body_memory.BodyMemoryBudget(math.inf)
    is_leaving = False

    @abc.abstractmethod
    async def handle(self, caller_request: request.Request) -> answer.Answer:
        """Answer a request.

        The call is cancelled when the caller disconnects.
        """

    @abc.abstractmethod
    def refuse(self, status: int, detail: str) -> answer.Answer:
        """Return the answer to a request that could not be read.

        Args:
            status: HTTP status.
            detail: What is wrong with the request.
        """
