"""Result codes: numbers for the outcome of requests, calls, and commands.

>>> from siskintally.codes import Code, not_run
>>> Code.OVERLOADED.value, not_run(Code.OVERLOADED)
(2001, True)
"""

from enum import IntEnum


class Code(IntEnum):
    """Result codes; ``docs/result-codes.md`` gives the meaning and the evidence of each."""

    DONE = 1000
    REPLAYED = 1001
    OVERLOADED = 2001
    NO_ENDPOINT = 2002
    LEDGER_UNREACHABLE = 2003
    DRAINING = 2004
    EXPIRED = 2005
    NOT_LEADER = 2006
    NO_CONFIG = 2007
    OUTCOME_UNKNOWN = 3001
    IN_PROGRESS = 3002
    BAD_REQUEST = 4000
    UNAUTHORIZED = 4001
    TOO_LARGE = 4002
    KEY_CONFLICT = 4003
    NOT_FOUND = 4004
    NEVER_FITS = 4005
    QUOTA_EXCEEDED = 4006
    BAD_SETTINGS = 4007
    VERSION_CONFLICT = 4009
    GROUP_IN_USE = 4010
    INTERNAL = 5000
    ENDPOINT_FAILED = 5001
    STOPPED = 5005
    DAMAGED_DATA = 5006


def not_run(code):
    """Return whether a code guarantees that the request was not run.

    :param code: a :class:`Code` or its number.
    """
    return 2000 <= int(code) < 3000
