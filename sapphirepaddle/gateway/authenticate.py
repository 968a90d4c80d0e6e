"""Finding the client account whose key came with a request."""

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import head, active_configuration, header_names
from sapphirepaddle.objects import client_account, key


def read_key(request: head.Head) -> bytes:
    """Return the key of a request; empty if there is none."""
    value = request.first_values.get(header_names.AUTHORIZATION, b'')
    if (
        value[: len(header_names.BEARER_PREFIX)].lower()
        == header_names.BEARER_PREFIX
    ):
        return value[len(header_names.BEARER_PREFIX) :].strip()
    return request.first_values.get(header_names.API_KEY, b'')


def authenticate(
    request: head.Head,
    current: active_configuration.ActiveConfiguration,
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
