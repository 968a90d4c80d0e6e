"""What answers requests; the contract."""

import abc
import math

from sapphirepaddle.directory import caller_limits
from sapphirepaddle.gateway import answer
from sapphirepaddle.proxy import body_memory, request


class Handler(abc.ABC):
    """Answers the requests of one listener.

    Attributes:
        limits: Bounds on callers in force now.
        is_leaving: Whether callers are asked to connect elsewhere.
        memory: Memory for bodies.
    """

    limits = caller_limits.CallerLimits()
    memory = body_memory.BodyMemoryBudget(math.inf)
    is_leaving = False

    @abc.abstractmethod
    async def handle(self, received: request.Request) -> answer.Answer:
        """Answer a request.

        It is cancelled when the caller leaves.
        """

    @abc.abstractmethod
    def refuse(self, status: int, detail: str) -> answer.Answer:
        """Return the answer to what is no proper request.

        Args:
            status: HTTP status.
            detail: What was met.
        """
