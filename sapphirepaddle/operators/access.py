"""Authentication and authorization of the operators' API."""

import hashlib
import hmac
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.settings import entry

BEARER_PREFIX = 'Bearer '
OPERATOR_ROLE = 'operator'


def authenticate(
    authorization: str,
    operators: abc.Iterable[entry.Operator],
) -> entry.Operator:
    """Return the operator that a bearer token belongs to.

    Token digests are compared in constant time.

    Args:
        authorization: Value of the Authorization header.
        operators: Operators listed in the settings.

    Raises:
        OperatorError: If the token is missing or belongs to no operator.
    """
    token = authorization.removeprefix(BEARER_PREFIX)
    digest = hashlib.sha256(token.encode()).hexdigest()
    for operator in operators:
        if hmac.compare_digest(operator.token_digest, digest):
            return operator
    raise errors.OperatorError(codes.OPERATOR_UNKNOWN)


def require_operator(operator: entry.Operator) -> None:
    """Check that an operator may change the configuration.

    Raises:
        OperatorError: If the operator only has the reader role.
    """
    if operator.role != OPERATOR_ROLE:
        raise errors.OperatorError(codes.ROLE_MISSING, operator.name)
