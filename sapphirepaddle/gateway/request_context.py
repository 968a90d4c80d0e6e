"""Context of a request while the gateway processes it."""

import dataclasses
from collections import abc

from sapphirepaddle.gateway import head, target_client
from sapphirepaddle.objects import client_account, route

ANONYMOUS_ACCOUNT = ''


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request with its route, client account and body.

    Attributes:
        identifier: Identifier of the request in logs and refusals.
        head: The request head.
        route: The route that matches the path.
        account: The client account; None on a route without access control.
        body: The complete body or a stream of it.
        recheck_access: Raises RefusedError if the key was withdrawn while
            the request was waiting.
    """

    identifier: str
    head: head.Head
    route: route.Route
    account: client_account.ClientAccount | None = None
    body: target_client.Body = b''
    recheck_access: abc.Callable[[], object] = bool

    @property
    def account_name(self) -> str:
        """Return the name of the client account; empty if there is none."""
        return self.account.name if self.account else ANONYMOUS_ACCOUNT

    @property
    def weight(self) -> float:
        """Return the weight of the account in fair queueing; 1 if none."""
        return self.account.weight if self.account else 1

    @property
    def is_replayable(self) -> bool:
        """Return whether the body can be sent again; a stream cannot."""
        return isinstance(self.body, bytes)
