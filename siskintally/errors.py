"""The exception tree; every exception has a result code.

>>> from siskintally.errors import NotLeaderError
>>> NotLeaderError("store-2 does not lead", leader="store-1").code.name
'NOT_LEADER'
"""

from siskintally.codes import Code


class SiskintallyError(Exception):
    """Base of all errors of this package.

    :param message: what happened and what to do.
    """

    code = Code.INTERNAL


class NotLeaderError(SiskintallyError):
    """The process does not lead the group; nothing was proposed.

    :param leader: name of the process that leads, empty if unknown.
    """

    code = Code.NOT_LEADER

    def __init__(self, message, *, leader=""):
        super().__init__(message)
        self.leader = leader


class OutcomeUnknownError(SiskintallyError):
    """The call was sent and its effect is not known."""

    code = Code.OUTCOME_UNKNOWN


class ConnectionLostError(OutcomeUnknownError):
    """The connection ended while a request was on it; the other side may be sound."""


class UnreachableError(SiskintallyError):
    """The call was provably not sent."""

    code = Code.NO_ENDPOINT


class BadRequestError(SiskintallyError):
    """The input is malformed; nothing was changed."""

    code = Code.BAD_REQUEST


class UnauthorizedError(SiskintallyError):
    """The token or the cell secret is missing or wrong."""

    code = Code.UNAUTHORIZED


class NotFoundError(SiskintallyError):
    """No such job, service, or path."""

    code = Code.NOT_FOUND


class BadSettingsError(SiskintallyError):
    """A setting is out of range; the message names key, value, and range."""

    code = Code.BAD_SETTINGS


class VersionConflictError(SiskintallyError):
    """Another change took the expected version number."""

    code = Code.VERSION_CONFLICT


class NeverFitsError(SiskintallyError):
    """No worker can ever hold the task."""

    code = Code.NEVER_FITS


class QuotaExceededError(SiskintallyError):
    """The job is larger than the whole quota of its team."""

    code = Code.QUOTA_EXCEEDED


class StoppedError(SiskintallyError):
    """The process is stopping."""

    code = Code.STOPPED


class DamagedDataError(SiskintallyError):
    """The data folder failed its checks."""

    code = Code.DAMAGED_DATA


class RefusedError(SiskintallyError):
    """Another process answered with a result code.

    :param code: the :class:`Code` it gave.
    """

    def __init__(self, message, *, code, leader=""):
        super().__init__(message)
        self.code = code
        self.leader = leader
