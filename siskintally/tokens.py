"""Bearer tokens of operators and endpoints.

>>> from siskintally.tokens import holder_of
>>> holder_of("Bearer 0123456789abcdef", {"0123456789abcdef": "astrid"})
'astrid'
"""

from hmac import compare_digest

from siskintally.errors import UnauthorizedError


def holder_of(authorization, holder_by_token):
    """Return the operator or service that a bearer token belongs to.

    :param authorization: value of the Authorization header.
    :raises UnauthorizedError: the token is missing or wrong.
    """
    scheme, _, given = authorization.partition(" ")
    found = ""
    # Every token is compared, so the time tells nothing about which one is close.
    for token, holder in holder_by_token.items():
        if compare_digest(token.encode(), given.strip().encode()):
            found = holder
    if scheme.lower() != "bearer" or not found:
        raise UnauthorizedError("Authorization: expected Bearer with a token of the settings")
    return found


def check_announcer(authorization, service, service_by_token):
    """Check that an announcement comes from an endpoint of its service.

    Without any token in the settings, every announcement is taken.

    :raises UnauthorizedError: the token is missing, wrong, or that of another service.
    """
    if service_by_token and holder_of(authorization, service_by_token) != service:
        raise UnauthorizedError(f"service {service[:100]!r}: the token is that of another service")
