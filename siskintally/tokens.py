"""Authentication of operators and endpoints by bearer tokens.

>>> from siskintally.tokens import authenticate
>>> authenticate("Bearer 0123456789abcdef", {"0123456789abcdef": "astrid"})
'astrid'
"""

from hmac import compare_digest

from siskintally.errors import UnauthorizedError


def authenticate(authorization, holder_by_token):
    """Return the operator or service that a bearer token belongs to.

    :param authorization: value of the Authorization header.
    :param holder_by_token: ``{token: operator or service}``.
    :raises UnauthorizedError: the token is missing or wrong.
    """
    scheme, _, given = authorization.partition(" ")
    found = ""
    # Compares with every token, so that the time doesn't show which one nearly matches.
    for token, holder in holder_by_token.items():
        if compare_digest(token.encode(), given.strip().encode()):
            found = holder
    if scheme.lower() != "bearer" or not found:
        raise UnauthorizedError("Authorization: expected Bearer with a token of the settings")
    return found


def check_announcer(authorization, service, service_by_token):
    """Check that an announcement comes from an endpoint of its service.

    Without tokens in the settings, every announcement is accepted.

    :raises UnauthorizedError: the token is missing, wrong, or that of another service.
    """
    if service_by_token and authenticate(authorization, service_by_token) != service:
        raise UnauthorizedError(f"service {service[:100]!r}: the token is that of another service")
