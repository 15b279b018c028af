"""Exceptions of the package; each class has a result code.

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
    """The connection ended while a request was in flight; the peer may be healthy."""


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
    """The job, service, group, or path does not exist, or this process does not serve it."""

    code = Code.NOT_FOUND


class NoConfigError(SiskintallyError):
    """The process has no current configuration; nothing was done."""

    code = Code.NO_CONFIG


class BadSettingsError(SiskintallyError):
    """A setting is out of range; the message names key, value, and range."""

    code = Code.BAD_SETTINGS


class VersionConflictError(SiskintallyError):
    """The stored version is not the expected one, because another change came first."""

    code = Code.VERSION_CONFLICT


class NeverFitsError(SiskintallyError):
    """No worker is large enough for the task, even with all its resources free."""

    code = Code.NEVER_FITS


class QuotaExceededError(SiskintallyError):
    """The job is larger than the whole quota of its team."""

    code = Code.QUOTA_EXCEEDED


class StoppedError(SiskintallyError):
    """The process is stopping, or must stop because it cannot serve."""

    code = Code.STOPPED


class DamagedDataError(SiskintallyError):
    """Stored data failed an integrity check."""

    code = Code.DAMAGED_DATA


class RefusedError(SiskintallyError):
    """Another process replied with an error code.

    :param code: the :class:`Code` in the reply.
    :param leader: name of the process that leads the group, if the reply names it.
    """

    def __init__(self, message, *, code, leader=""):
        super().__init__(message)
        self.code = code
        self.leader = leader
