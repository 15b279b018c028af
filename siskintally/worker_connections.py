"""Connections to workers, each of which leads to one incarnation.

A worker that starts again under its id answers to that id. So each new connection is asked for the
incarnation at its other end, which stays the same while the connection is open, before anything
that holds for one incarnation only is sent on it.

>>> from siskintally.worker_connections import WorkerConnections
>>> WorkerConnections(read_start_ms=lambda reply: 0).pool_count
0
"""

from siskintally.driver import IncarnationGoneError
from siskintally.errors import BadRequestError, UnreachableError
from siskintally.http_pool import HttpPool, parse_address

# Lowest HTTP status of a reply that is no success.
FIRST_REFUSAL_STATUS = 300


class _RefusedCheckError(Exception):
    """The check of a new connection got a refusal, which has no start time.

    :param reply: the :class:`~siskintally.http_pool.HttpReply`.
    """

    def __init__(self, reply):
        super().__init__(reply.status)
        self.reply = reply


class WorkerConnections:
    """Pools of connections by incarnation.

    :param read_start_ms: function of the :class:`~siskintally.http_pool.HttpReply` to a status
        poll that returns the start time of the worker in Unix ms, 0 if the reply has none.
    """

    __slots__ = ("_pool_by_incarnation", "_read_start_ms")

    def __init__(self, *, read_start_ms):
        self._pool_by_incarnation = {}
        self._read_start_ms = read_start_ms

    @property
    def pool_count(self):
        """Number of connection pools, one per worker incarnation and address."""
        return len(self._pool_by_incarnation)

    async def request(self, worker, call, *, timeout, status_poll):
        """Send a request to an incarnation and return the reply.

        If a new connection's check is refused, that refusal is the reply, the request is not sent,
        and the connection is closed: nothing shows which incarnation it leads to.

        :param worker: :class:`~siskintally.control_pb2.PoolWorker`.
        :param call: arguments of :meth:`~siskintally.http_pool.HttpPool.request` by name.
        :param status_poll: those of a status poll without an effect, which a new connection carries
            first. If it is ``call``, nothing else is sent on a new connection.
        :raises IncarnationGoneError: another incarnation answers.
        """

        async def check(exchange):
            reply = await exchange(**status_poll)
            if reply.status >= FIRST_REFUSAL_STATUS:
                raise _RefusedCheckError(reply)
            self._check_start(worker, reply)
            return reply if status_poll["path"] == call["path"] else None

        pool = self._pool_of(worker)
        try:
            return await pool.request(**call, timeout=timeout, check_peer=check)
        except _RefusedCheckError as error:
            return error.reply

    def _check_start(self, worker, reply):
        start_ms = self._read_start_ms(reply)
        if start_ms and worker.born_ms and start_ms != worker.born_ms:
            raise IncarnationGoneError(
                f"{worker.address}: {worker.id} was started at {start_ms}, not at {worker.born_ms}"
            )

    def _pool_of(self, worker):
        """Return the pool of connections to one incarnation.

        :raises UnreachableError: its address cannot be used.
        """
        key = _incarnation_key(worker)
        if key not in self._pool_by_incarnation:
            try:
                host, port = parse_address(worker.address)
            except BadRequestError as error:
                raise UnreachableError(f"{worker.id}: {error}") from error
            self._pool_by_incarnation[key] = HttpPool(host=host, port=port)
        return self._pool_by_incarnation[key]

    async def close(self, worker):
        """Close the connections to an incarnation."""
        pool = self._pool_by_incarnation.pop(_incarnation_key(worker), None)
        if pool is not None:
            await pool.close()


def _incarnation_key(worker):
    return worker.address, worker.id, worker.born_ms
