"""Client of the ledger that lets non-idempotent requests run at most once.

>>> from siskintally.ledger_client import home_group
>>> home_group("jylland/order-7", ("fjeld", "jylland")), home_group("order-7", ("a",))
('jylland', 'a')
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from hashlib import sha256
from time import monotonic

from anyio import Event, move_on_after, sleep

from siskintally.codes import Code, not_run
from siskintally.errors import (
    NotLeaderError,
    OutcomeUnknownError,
    RefusedError,
    SiskintallyError,
    UnreachableError,
)
from siskintally.leader_client import LeaderClient
from siskintally.log import get_logger
from siskintally.slot_share import rendezvous_weight
from siskintally.wire_pb2 import (
    LedgerBegin,
    LedgerBeginReply,
    LedgerFinish,
    LedgerRelease,
    StoredAnswer,
)

# Electing a leader takes up to 4 s; a shorter timeout would fail at every planned stop of a leader.
BEGIN_TIMEOUT_S = 5.0
# Timeout of one attempt, so that a paused leader leaves time for its successor to answer.
ATTEMPT_TIMEOUT_S = 1.5
SETTLE_TIMEOUT_S = 5.0
SETTLE_RETRY_S = 1.0
MAX_KEPT_BODY_BYTES = 16 * 1024
MAX_STANDALONE_KEYS = 10_000

log = get_logger("ledger-client")


class LedgerUnreachableError(SiskintallyError):
    """The ledger confirmed no grant of the attempt; the request was not run."""

    code = Code.LEDGER_UNREACHABLE


def home_group(key, groups):
    """Return the domain group whose ledger stores a key.

    :param groups: names of all domain groups of the cell; they never change.
    """
    prefix, slash, _ = key.partition("/")
    if slash and prefix in groups:
        return prefix
    return max(groups, key=lambda group: (rendezvous_weight(key, group), group))


def to_stored_answer(answer):
    """Return the record of an :class:`~siskintally.call.Answer`; large bodies are left out."""
    kept = len(answer.body) <= MAX_KEPT_BODY_BYTES
    content_types = (value for name, value in answer.headers if name.lower() == "content-type")
    return StoredAnswer(
        status=answer.status,
        content_type=next(content_types, ""),
        body=answer.body if kept else b"",
        body_kept=kept,
        body_digest=sha256(answer.body).digest(),
    )


class LedgerClient(ABC):
    """Begins and settles attempts in the ledger.

    ``finish`` and ``release`` are repeated in the background until the ledger acknowledges them.

    :param tasks: anyio task group for the background tasks.
    """

    __slots__ = ("_tasks", "unsettled")

    def __init__(self, *, tasks):
        self._tasks = tasks
        self.unsettled = 0

    @abstractmethod
    async def begin(self, call, *, attempt, timeout):
        """Ask for permission to run a request.

        :param timeout: seconds.
        :returns: LedgerBeginReply.
        :raises LedgerUnreachableError: the request must not be run.
        """

    @abstractmethod
    async def settle(self, key, body):
        """Send a LedgerFinish or a LedgerRelease once.

        :raises SiskintallyError: it may not have been committed.
        """

    async def finish(self, call, *, attempt, answer, timeout):
        """Store the outcome of an attempt.

        :param answer: None if the outcome is unknown.
        :param timeout: seconds to wait for the acknowledgement.
        :returns: whether it was acknowledged in time.
        """
        body = LedgerFinish(key=call.key, attempt=attempt, unknown=answer is None)
        if answer is not None:
            body.answer.CopyFrom(to_stored_answer(answer))
        return await self._settle_in_background(call.key, body, timeout)

    async def release(self, call, *, attempt, timeout):
        """Report that an attempt was not run and never will be; see :meth:`finish`."""
        return await self._settle_in_background(
            call.key, LedgerRelease(key=call.key, attempt=attempt), timeout
        )

    async def _settle_in_background(self, key, body, timeout):
        acknowledged = Event()
        self._tasks.start_soon(self._settle_until_acknowledged, key, body, acknowledged)
        with move_on_after(timeout):
            await acknowledged.wait()
        return acknowledged.is_set()

    async def _settle_until_acknowledged(self, key, body, acknowledged):
        self.unsettled += 1
        try:
            while not await self._settle_once(key, body):
                await sleep(SETTLE_RETRY_S)
            acknowledged.set()
        finally:
            self.unsettled -= 1

    async def _settle_once(self, key, body):
        try:
            await self.settle(key, body)
        except RefusedError as error:
            # Unless a stop or an internal error is the cause, the ledger has a different record of
            # the attempt, and repeating the message doesn't help.
            log.warning(
                "ledger refused to settle an attempt",
                key=key,
                code=int(error.code),
                message=str(error),
            )
            return error.code not in (Code.STOPPED, Code.INTERNAL)
        except SiskintallyError as error:
            log.info("attempt not settled yet; retrying", key=key, error=str(error))
            return False
        return True


class StoreLedger(LedgerClient):
    """Client of the ledger that the domain groups replicate; each key belongs to one group.

    :param groups: ``GroupSettings`` of all domain groups.
    :param call: ``async call(process_name, body, timeout=seconds)``.
    """

    __slots__ = ("_client_by_group",)

    def __init__(self, *, tasks, groups, call):
        super().__init__(tasks=tasks)
        self._client_by_group = {
            group.name: LeaderClient(group=group.name, members=group.members, call=call)
            for group in groups
        }

    def _home(self, key):
        return self._client_by_group[home_group(key, tuple(self._client_by_group))]

    async def begin(self, call, *, attempt, timeout):
        """Begin the attempt in the home group of the key."""
        body = LedgerBegin(
            key=call.key,
            caller=call.caller,
            digest=call.digest(),
            attempt=attempt,
            deadline_s=max(call.deadline - monotonic(), 0.0),
        )
        home = self._home(call.key)
        body.group = home.group
        timeout = min(timeout, BEGIN_TIMEOUT_S)
        try:
            # Repeating the call is safe: this attempt is dispatched at most once in any case.
            return await home.call(
                body, timeout=timeout, attempt_timeout=ATTEMPT_TIMEOUT_S, idempotent=True
            )
        except (NotLeaderError, UnreachableError) as error:
            raise LedgerUnreachableError(str(error)) from error
        except (OutcomeUnknownError, RefusedError) as error:
            if isinstance(error, RefusedError) and not_run(error.code):
                raise LedgerUnreachableError(str(error)) from error
            # The ledger may have granted the attempt; the key is blocked until it is released.
            await self.release(call, attempt=attempt, timeout=0.0)
            raise LedgerUnreachableError(str(error)) from error

    async def settle(self, key, body):
        """Send the message to the home group of the key."""
        home = self._home(key)
        body.group = home.group
        await home.call(
            body, timeout=SETTLE_TIMEOUT_S, attempt_timeout=ATTEMPT_TIMEOUT_S, idempotent=True
        )


class _Record:
    __slots__ = ("answer", "attempt", "caller", "digest", "unknown")

    def __init__(self, *, attempt, caller, digest):
        self.attempt = attempt
        self.caller = caller
        self.digest = digest
        self.answer = None
        self.unknown = False


class StandaloneLedger(LedgerClient):
    """In-memory ledger of a single entry without stores, for tests and samples."""

    __slots__ = ("_by_key",)

    def __init__(self, *, tasks):
        super().__init__(tasks=tasks)
        self._by_key = OrderedDict()

    async def begin(self, call, *, attempt, timeout):
        """Grant the attempt if the key is new."""
        record = self._by_key.get(call.key)
        if record is None:
            self._by_key[call.key] = _Record(
                attempt=attempt, caller=call.caller, digest=call.digest()
            )
            if len(self._by_key) > MAX_STANDALONE_KEYS:
                self._by_key.popitem(last=False)
            return LedgerBeginReply(verdict=LedgerBeginReply.GRANTED)
        return LedgerBeginReply(verdict=self._verdict(record, call), answer=record.answer)

    async def settle(self, key, body):
        """Store the outcome."""
        record = self._by_key.get(key)
        if record is None or record.attempt != body.attempt:
            return
        if isinstance(body, LedgerRelease):
            del self._by_key[key]
        elif body.unknown:
            record.unknown = True
        else:
            record.answer = body.answer

    @staticmethod
    def _verdict(record, call):
        if (record.caller, record.digest) != (call.caller, call.digest()):
            return LedgerBeginReply.CONFLICT
        if record.unknown:
            return LedgerBeginReply.UNKNOWN
        return LedgerBeginReply.REPLAYED if record.answer else LedgerBeginReply.IN_PROGRESS
