"""One caller's request on its way through the gateway."""

import dataclasses
from collections import abc

from sapphirepaddle.gateway import head, target_client
from sapphirepaddle.objects import client_account, route

ANONYMOUS_ACCOUNT = ''


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request.

    Attributes:
        identifier: Identifier in logs and towards targets.
        head: The request head.
        route: The route in force.
        account: The client account; None on a route open to all.
        body: The whole body or a stream of it.
        check_access: Raises if the key was withdrawn while waiting.
    """

    identifier: str
    head: head.Head
    route: route.Route
    account: client_account.ClientAccount | None = None
    body: target_client.Body = b''
    recheck_access: abc.Callable[[], object] = bool

    @property
    def account_name(self) -> str:
        """Return the name of the client account; empty for none."""
        return self.account.name if self.account else ANONYMOUS_ACCOUNT

    @property
    def weight(self) -> float:
        """Return the share of the client account."""
        return self.account.weight if self.account else 1

    @property
    def is_replayable(self) -> bool:
        """Tell whether the body can be sent again."""
        return isinstance(self.body, bytes)
