"""Who may use the operators' API."""

import hashlib
import hmac
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.settings import entry

BEARER_PREFIX = 'Bearer '
OPERATOR_ROLE = 'operator'


def authenticate(
    authorization: str,
    known: abc.Iterable[entry.Operator],
) -> entry.Operator:
    """Return the operator whose token came with a call.

    Args:
        authorization: Value of the Authorization header.
        known: All operators.

    Raises:
        OperatorError: If the token is missing or not known.
    """
    token = authorization.removeprefix(BEARER_PREFIX)
    digest = hashlib.sha256(token.encode()).hexdigest()
    for operator in known:
        if hmac.compare_digest(operator.token_digest, digest):
            return operator
    raise errors.OperatorError(codes.OPERATOR_UNKNOWN)


def require_operator(caller: entry.Operator) -> None:
    """Refuse a caller who may only read.

    Raises:
        OperatorError: If so.
    """
    if caller.role != OPERATOR_ROLE:
        raise errors.OperatorError(codes.ROLE_MISSING, caller.name)
