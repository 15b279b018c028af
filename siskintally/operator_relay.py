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

RELAY_TIMEOUT_S = 12.0
ATTEMPT_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.2
VERBS = ("submit", "cancel", "drain", "preset", "config", "domain", "status", "audit", "jobs")


class OperatorRelay:
    """Relays operator calls to the stores, one after the other until one answers.

    :param stores: process names of the stores of the own domain group.
    :param call: ``async call(process_name, body, timeout=seconds)``.
    """

    __slots__ = ("_call", "_next_store", "_stores")

    def __init__(self, *, stores, call):
        self._stores = stores
        self._call = call
        self._next_store = 0

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
        deadline = monotonic() + RELAY_TIMEOUT_S
        may_have_run = False
        while monotonic() < deadline:
            for _ in self._stores:
                store = self._stores[self._next_store % len(self._stores)]
                timeout = min(ATTEMPT_TIMEOUT_S, deadline - monotonic())
                if timeout <= 0:
                    break
                try:
                    return await self._call(store, body, timeout=timeout)
                except OutcomeUnknownError:
                    may_have_run = True
                except (UnreachableError, NotLeaderError):
                    pass
                except RefusedError as error:
                    if error.code not in (Code.NOT_LEADER, Code.STOPPED, Code.OUTCOME_UNKNOWN):
                        raise
                    may_have_run = may_have_run or error.code == Code.OUTCOME_UNKNOWN
                self._next_store += 1
            if not self._stores:
                break
            await sleep(RETRY_DELAY_S)
        if may_have_run:
            raise OutcomeUnknownError(f"request {request_id}: no reply; resend with the same id")
        raise UnreachableError("no store of the domain group answered; nothing was changed")
