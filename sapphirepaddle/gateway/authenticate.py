"""Authentication of requests by the key of a client account."""

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import active_configuration, head, header_names
from sapphirepaddle.objects import client_account, key


def read_key(request_head: head.Head) -> bytes:
    """Return the key of a request; empty if there is none.

    A bearer token takes precedence over the API key header.
    """
    value = request_head.first_values.get(header_names.AUTHORIZATION, b'')
    if (
        value[: len(header_names.BEARER_PREFIX)].lower()
        == header_names.BEARER_PREFIX
    ):
        return value[len(header_names.BEARER_PREFIX) :].strip()
    return request_head.first_values.get(header_names.API_KEY, b'')


def authenticate(
    request_head: head.Head,
    current_configuration: active_configuration.ActiveConfiguration,
) -> client_account.ClientAccount:
    """Return the client account whose key the request carries.

    Args:
        request_head: Head of the request.
        current_configuration: The active configuration.

    Raises:
        RefusedError: If the key is missing, unknown or withdrawn, or its
            account does not exist.
    """
    secret = read_key(request_head)
    if not secret:
        raise errors.RefusedError(codes.KEY_MISSING)
    stored_key = current_configuration.find_key(key.digest(secret))
    if stored_key is None:
        raise errors.RefusedError(codes.KEY_UNKNOWN)
    if stored_key.withdrawn:
        raise errors.RefusedError(codes.KEY_WITHDRAWN)
    account = current_configuration.configuration.accounts.get(
        stored_key.account
    )
    if account is None:
        raise errors.RefusedError(
            codes.KEY_UNKNOWN,
            f'client account {stored_key.account} does not exist',
        )
    return account
