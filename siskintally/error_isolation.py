"""Isolation of unexpected errors to the flow that they come from.

The state of a flow outlives its leader, so an error that ends one leader ends every next one too.

>>> from siskintally.error_isolation import ErrorIsolation
>>> ErrorIsolation.__slots__
()
"""

from functools import wraps

from siskintally.clock import now as steady

# Time for which a flow starts no tasks after an unexpected error.
SUSPENSION_S = 5.0


def isolated(method):
    """Decorate an async method of a leader that carries out an action for a flow.

    Its last argument is the action, which has a ``flow_id``. An unexpected error suspends that
    flow and does not leave the method.
    """

    @wraps(method)
    async def call(self, *arguments):
        try:
            await method(self, *arguments)
        except Exception as error:
            self._leader.scheduler.isolate(arguments[-1].flow_id, error, steady())

    return call


class ErrorIsolation:
    """Mixin of the scheduler that suspends a flow in place of letting an error end the leader.

    Runs of a suspended flow go on, and its ends count.
    """

    __slots__ = ()

    def isolate(self, flow_id, error, now=None):
        """Report an unexpected error; called while that error is handled.

        Without ``on_error``, the error is raised again.

        :param flow_id: id of the flow that it comes from, "" if there is none.
        :param now: steady time from which that flow is suspended, None not to suspend it.
        """
        if self.on_error is None:
            raise error
        flow = self.flow_by_id.get(flow_id)
        if flow is not None and now is not None:
            flow.suspended_until = now + SUSPENSION_S
        self.on_error(flow_id, error)
