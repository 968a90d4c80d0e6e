"""Finding the client account whose key came with a request."""

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import head, in_force, names
from sapphirepaddle.objects import client_account, key


def read_key(request: head.Head) -> bytes:
    """Return the key of a request; empty if there is none."""
    value = request.index.get(names.KEY, b'')
    if value[: len(names.BEARER)].lower() == names.BEARER:
        return value[len(names.BEARER) :].strip()
    return request.index.get(names.KEY_ALTERNATIVE, b'')


def authenticate(
    request: head.Head,
    current: in_force.InForce,
) -> client_account.ClientAccount:
    """Return the client account of a request.

    Args:
        request: The request head.
        current: The configuration in force now.

    Raises:
        RefusedError: If the key is missing, unknown or withdrawn.
    """
    secret = read_key(request)
    if not secret:
        raise errors.RefusedError(codes.KEY_MISSING)
    held = current.find_key(key.digest(secret))
    if held is None:
        raise errors.RefusedError(codes.KEY_UNKNOWN)
    if held.withdrawn:
        raise errors.RefusedError(codes.KEY_WITHDRAWN)
    account = current.configuration.accounts.get(held.account)
    if account is None:
        raise errors.RefusedError(codes.KEY_UNKNOWN, 'no client account')
    return account
