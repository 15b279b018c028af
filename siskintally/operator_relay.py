"""Relay of operator calls from the HTTP API to a store of the own domain group.

>>> from siskintally.operator_relay import VERBS
>>> "drain" in VERBS
True
"""

from time import monotonic

from anyio import sleep

from siskintally.codes import Code
from siskintally.errors import (
    NotLeaderError,
    OutcomeUnknownError,
    RefusedError,
    UnreachableError,
)
from siskintally.wire_pb2 import OperatorCall

TIMEOUT_S = 12.0
ATTEMPT_TIMEOUT_S = 5.0
PAUSE_S = 0.2
VERBS = ("submit", "cancel", "drain", "preset", "config", "domain", "status", "audit", "jobs")


class OperatorRelay:
    """Relays operator calls to the stores, one after the other until one answers.

    :param stores: process names of the stores of the own domain group.
    :param call: ``async call(process_name, body, timeout=seconds)``.
    """

    __slots__ = ("_call", "_stores", "_turn")

    def __init__(self, *, stores, call):
        self._stores = stores
        self._call = call
        self._turn = 0

    async def relay(self, *, request_id, operator, verb, arguments):
        """Relay a call; repeating it is safe, because the cell runs a request id only once.

        :param arguments: JSON bytes.
        :returns: OperatorReply.
        :raises OutcomeUnknownError: it may have run; resend with the same id.
        :raises UnreachableError: it was not run.
        :raises RefusedError: it was refused.
        """
        body = OperatorCall(
            request_id=request_id, operator=operator, verb=verb, arguments=arguments
        )
        deadline = monotonic() + TIMEOUT_S
        unknown = False
        while monotonic() < deadline:
            for _ in self._stores:
                store = self._stores[self._turn % len(self._stores)]
                timeout = min(ATTEMPT_TIMEOUT_S, deadline - monotonic())
                if timeout <= 0:
                    break
                try:
                    return await self._call(store, body, timeout=timeout)
                except OutcomeUnknownError:
                    unknown = True
                except (UnreachableError, NotLeaderError):
                    pass
                except RefusedError as error:
                    if error.code not in (Code.NOT_LEADER, Code.STOPPED, Code.OUTCOME_UNKNOWN):
                        raise
                    unknown = unknown or error.code == Code.OUTCOME_UNKNOWN
                self._turn += 1
            if not self._stores:
                break
            await sleep(PAUSE_S)
        if unknown:
            raise OutcomeUnknownError(f"request {request_id}: no reply; resend with the same id")
        raise UnreachableError("no store of the domain group answered; nothing was changed")
