"""Advice clients of a leader: its own process, and each process linked to it.

>>> from siskintally.advice_clients import LocalAdviceClient
>>> LocalAdviceClient(name="s1", advice=None).name
's1'
"""

from siskintally.advice_client_pool import AdviceClient
from siskintally.control_pb2 import AdviceAsk, AdviceReply, AdviceTicket
from siskintally.driver import Ticket
from siskintally.errors import SiskintallyError, UnreachableError
from siskintally.log import get_logger

# Added to the timeout of the advice service for the round trip to the process that calls it.
ROUND_TRIP_S = 0.2

log = get_logger("advice-clients")


class LocalAdviceClient(AdviceClient):
    """Calls the advice service from the leader's own process.

    :param advice: :class:`~siskintally.driver.AdviceService`.
    """

    __slots__ = ("_advice",)

    def __init__(self, *, name, advice):
        super().__init__(name=name)
        self._advice = advice

    async def ask(self, step_id, worker_ids, *, timeout):
        """Call the service directly."""
        return await self._advice.ask(step_id, worker_ids, timeout=timeout)


class RemoteAdviceClient(AdviceClient):
    """Calls the advice service through a linked process.

    :param session: :class:`~siskintally.session.Session` with that process.
    """

    __slots__ = ("_session",)

    def __init__(self, *, name, session):
        super().__init__(name=name)
        self._session = session

    async def ask(self, step_id, worker_ids, *, timeout):
        """Have the linked process call the service."""
        body = AdviceAsk(step=step_id, workers=worker_ids, timeout_s=timeout)
        reply = await self._session.call(body, timeout=timeout + ROUND_TRIP_S)
        if reply.failed:
            raise UnreachableError(f"{self.name}: no usable reply from the advice service")
        return [Ticket(worker_id=ticket.worker, text=ticket.ticket) for ticket in reply.tickets]


async def handle_advice_call(advice, body):
    """Call the advice service for the leader; return the reply to its :class:`AdviceAsk`."""
    try:
        tickets = await advice.ask(body.step, tuple(body.workers), timeout=body.timeout_s)
    except SiskintallyError as error:
        log.info("advice failed", step=body.step, error=str(error)[:120])
        return AdviceReply(failed=True)
    return AdviceReply(
        tickets=[AdviceTicket(worker=ticket.worker_id, ticket=ticket.text) for ticket in tickets]
    )
