"""Ledger of non-idempotent requests: grants each idempotency key to one attempt at a time.

>>> from siskintally.ledger import Ledger
>>> from siskintally.wire_pb2 import LedgerBegin, LedgerBeginReply
>>> ledger = Ledger()
>>> order = LedgerBegin(key="dk/17", caller="shop", digest=b"d", attempt="e1-1")
>>> LedgerBeginReply.Verdict.Name(ledger.begin(order, 0.0).verdict)
'GRANTED'
>>> resend = LedgerBegin(key="dk/17", caller="shop", digest=b"d", attempt="e2-1")
>>> LedgerBeginReply.Verdict.Name(ledger.begin(resend, 1.0).verdict)
'IN_PROGRESS'
"""

from hashlib import blake2b, sha256
from math import inf
from struct import Struct

from google.protobuf.message import DecodeError

from siskintally.codes import Code
from siskintally.errors import DamagedDataError, RefusedError
from siskintally.ledger_state_pb2 import LedgerGeneration, LedgerState
from siskintally.wire_pb2 import Done, LedgerBeginReply, StoredAnswer

RETENTION_S = 86_400.0
BODY_LIMIT_BYTES = 16_384
# 20,000 requests an hour for 24 h are 480,000 records; the rest is for released attempts.
CAPACITY_RECORDS = 600_000
ANSWER_CAPACITY_BYTES = 96 * 1024 * 1024
GENERATIONS_PER_RETENTION = 24

# 15 bytes save memory: CPython needs 48 bytes for a bytes object of up to 15 bytes, and 64 for
# the next longer ones.
KEY_FINGERPRINT_BYTES = 15
ATTEMPT_FINGERPRINT_BYTES = 14
REQUEST_FINGERPRINT_BYTES = 16
RECORD_HEADER_BYTES = 1 + ATTEMPT_FINGERPRINT_BYTES + REQUEST_FINGERPRINT_BYTES

# Last field of a running record: Unix time, in seconds, after which its attempt counts as lost.
RUN_UNTIL = Struct(">d")
# Allows for the wall clocks of successive leaders, which may differ by seconds.
DEADLINE_MARGIN_S = 10.0

RUNNING = 1
ANSWERED = 2
UNKNOWN = 3
TOMBSTONE = b""

_Verdict = LedgerBeginReply.Verdict


def _fingerprint(size_bytes, *parts):
    digest = blake2b(digest_size=size_bytes)
    for part in parts:
        data = part if isinstance(part, bytes) else part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


def _key_fingerprint(key):
    return _fingerprint(KEY_FINGERPRINT_BYTES, b"key", key)


def _tombstone_fingerprint(key, attempt):
    return _fingerprint(KEY_FINGERPRINT_BYTES, b"tombstone", key, attempt)


class _Generation:
    """The records that last changed within one time interval; they expire together.

    :param until: end of the interval, seconds.
    :param record_by_fingerprint: ``{fingerprint: record}``. The fingerprint is of a key, or, for a
        tombstone, of a key and the released attempt.
    """

    __slots__ = ("record_by_fingerprint", "until")

    def __init__(self, *, until, record_by_fingerprint):
        self.until = until
        self.record_by_fingerprint = record_by_fingerprint


class Ledger:
    """Records of keys and of released attempts; part of the state of a domain group.

    The record of a key is one bytes object: its state (1 byte), the fingerprint of the attempt that
    the key is granted to, the fingerprint of the request (digest and caller), and last, if the
    attempt is running, the time until which it may run, or, if it is answered, the serialized
    StoredAnswer. The record of a released attempt is an empty tombstone. The times passed in must
    come from the replicated log; a time before an earlier one counts as the earlier one.

    :param retention_s: time for which a record is kept after its last change, seconds. It expires
        at most 1/24 of that later.
    :param body_limit_bytes: longest response body that is stored; of a longer one only the digest
        is stored.
    :param capacity_records: number of records at which new keys are refused.
    :param capacity_bytes: size of the stored answers at which new keys are refused, bytes.
    """

    __slots__ = (
        "_answer_bytes",
        "_body_limit_bytes",
        "_capacity_bytes",
        "_capacity_records",
        "_count",
        "_generations",
        "_now",
        "_retention_s",
    )

    def __init__(
        self,
        *,
        retention_s=RETENTION_S,
        body_limit_bytes=BODY_LIMIT_BYTES,
        capacity_records=CAPACITY_RECORDS,
        capacity_bytes=ANSWER_CAPACITY_BYTES,
    ):
        self._retention_s = retention_s
        self._body_limit_bytes = body_limit_bytes
        self._capacity_records = capacity_records
        self._capacity_bytes = capacity_bytes
        self._reset()

    def __len__(self):
        return self._count

    @property
    def answer_bytes(self):
        """Size of the stored answers, bytes."""
        return self._answer_bytes

    def begin(self, message, now):
        """Grant a key to an attempt, or return the state of a key that is already granted.

        If an attempt did not finish before the deadline of its request, because its entry is gone,
        the outcome of the key counts as unknown; a late finish of that attempt is still stored.

        The same attempt may be granted its key again, because the first reply may have been lost;
        an entry dispatches an attempt at most once, however many replies it gets.

        :param message: a LedgerBegin.
        :param now: seconds.
        :returns: a LedgerBeginReply.
        :raises RefusedError: OVERLOADED, the key is new and the ledger is full; nothing changed.
        """
        self.expire(now)
        if self._find_record(_tombstone_fingerprint(message.key, message.attempt)) is not None:
            return LedgerBeginReply(verdict=_Verdict.RELEASED)
        key = _key_fingerprint(message.key)
        attempt = _fingerprint(ATTEMPT_FINGERPRINT_BYTES, message.attempt)
        request = _fingerprint(REQUEST_FINGERPRINT_BYTES, message.digest, message.caller)
        record = self._find_record(key)
        if record is not None:
            return _reply_for_record(record, attempt, request, self._now)
        self._check_capacity()
        until = now + message.deadline_s + DEADLINE_MARGIN_S if message.deadline_s > 0 else inf
        self._store_record(key, bytes([RUNNING]) + attempt + request + RUN_UNTIL.pack(until))
        return LedgerBeginReply(verdict=_Verdict.GRANTED)

    def finish(self, message, now):
        """Store the answer of an attempt, or that its outcome is unknown.

        Only the first finish of the attempt that the key is granted to has an effect.

        :param message: a LedgerFinish.
        :param now: seconds.
        """
        self.expire(now)
        key = _key_fingerprint(message.key)
        record = self._find_record(key)
        if self._is_granted_to(record, message.attempt) and record[0] == RUNNING:
            state, answer = UNKNOWN, b""
            if not message.unknown:
                state, answer = ANSWERED, self._serialize_answer(message.answer)
            self._store_record(key, bytes([state]) + record[1:RECORD_HEADER_BYTES] + answer)
        return Done()

    def release(self, message, now):
        """Release a key whose request was not sent; the attempt can never be granted it again.

        :param message: a LedgerRelease; it may arrive before the begin of its attempt.
        :param now: seconds.
        :raises RefusedError: OVERLOADED, the ledger is full and the key is not granted to the
            attempt.
        """
        self.expire(now)
        key = _key_fingerprint(message.key)
        tombstone = _tombstone_fingerprint(message.key, message.attempt)
        record = self._find_record(key)
        if self._is_granted_to(record, message.attempt):
            if record[0] == RUNNING:
                self._delete_record(key)
                self._store_record(tombstone, TOMBSTONE)
        elif self._find_record(tombstone) is None:
            self._check_capacity()
            self._store_record(tombstone, TOMBSTONE)
        return Done()

    def expire(self, now):
        """Drop the records whose retention time is over.

        :param now: seconds.
        """
        self._now = max(self._now, now)
        while self._generations and self._generations[0].until + self._retention_s <= self._now:
            expired = self._generations.pop(0)
            self._count -= len(expired.record_by_fingerprint)
            self._answer_bytes -= _answer_size(expired.record_by_fingerprint.values())

    def snapshot(self):
        """Return the state as bytes; equal states give equal bytes."""
        state = LedgerState(now=self._now)
        for generation in self._generations:
            pairs = sorted(generation.record_by_fingerprint.items())
            state.generations.append(
                LedgerGeneration(
                    until=generation.until,
                    fingerprints=b"".join(pair[0] for pair in pairs),
                    records=[pair[1] for pair in pairs],
                )
            )
        return state.SerializeToString(deterministic=True)

    def restore(self, data):
        """Replace the state with a snapshot.

        :raises DamagedDataError: the data is not a snapshot of a ledger; nothing changed.
        """
        try:
            state = LedgerState.FromString(data)
            generations = [_load_generation(generation) for generation in state.generations]
        except (DecodeError, ValueError) as error:
            raise DamagedDataError(f"ledger snapshot: {error}") from error
        self._reset()
        self._now = state.now
        self._generations = generations
        for generation in generations:
            self._count += len(generation.record_by_fingerprint)
            self._answer_bytes += _answer_size(generation.record_by_fingerprint.values())

    def key(self):
        """Return the state as a hashable value; equal states give equal values."""
        return self._now, tuple(
            (generation.until, frozenset(generation.record_by_fingerprint.items()))
            for generation in self._generations
        )

    def _reset(self):
        self._now = 0.0
        self._generations = []
        self._count = 0
        self._answer_bytes = 0

    def _check_capacity(self):
        if self._count >= self._capacity_records:
            raise RefusedError(f"ledger is full: {self._count} records", code=Code.OVERLOADED)
        if self._answer_bytes >= self._capacity_bytes:
            raise RefusedError(
                f"ledger is full: {self._answer_bytes} bytes of answers", code=Code.OVERLOADED
            )

    def _is_granted_to(self, record, attempt):
        if record is None:
            return False
        return record[1 : 1 + ATTEMPT_FINGERPRINT_BYTES] == _fingerprint(
            ATTEMPT_FINGERPRINT_BYTES, attempt
        )

    def _find_record(self, fingerprint):
        for generation in reversed(self._generations):
            record = generation.record_by_fingerprint.get(fingerprint)
            if record is not None:
                return record
        return None

    def _delete_record(self, fingerprint):
        for generation in reversed(self._generations):
            record = generation.record_by_fingerprint.pop(fingerprint, None)
            if record is not None:
                self._count -= 1
                self._answer_bytes -= _answer_size((record,))
                return

    def _store_record(self, fingerprint, record):
        self._delete_record(fingerprint)
        if not self._generations or self._generations[-1].until <= self._now:
            until = self._now + self._retention_s / GENERATIONS_PER_RETENTION
            self._generations.append(_Generation(until=until, record_by_fingerprint={}))
        self._generations[-1].record_by_fingerprint[fingerprint] = record
        self._count += 1
        self._answer_bytes += _answer_size((record,))

    def _serialize_answer(self, answer):
        stored = StoredAnswer(status=answer.status, content_type=answer.content_type)
        if len(answer.body) <= self._body_limit_bytes and (
            answer.body_kept or not answer.body_digest
        ):
            stored.body = answer.body
            stored.body_kept = True
        else:
            stored.body_digest = answer.body_digest or sha256(answer.body).digest()
        return stored.SerializeToString(deterministic=True)


def _reply_for_record(record, attempt, request, now):
    if record[1 + ATTEMPT_FINGERPRINT_BYTES : RECORD_HEADER_BYTES] != request:
        return LedgerBeginReply(verdict=_Verdict.CONFLICT)
    if record[0] == ANSWERED:
        answer = StoredAnswer.FromString(record[RECORD_HEADER_BYTES:])
        return LedgerBeginReply(verdict=_Verdict.REPLAYED, answer=answer)
    if record[0] == UNKNOWN:
        return LedgerBeginReply(verdict=_Verdict.UNKNOWN)
    if record[1 : 1 + ATTEMPT_FINGERPRINT_BYTES] == attempt:
        return LedgerBeginReply(verdict=_Verdict.GRANTED)
    is_overdue = now > RUN_UNTIL.unpack_from(record, RECORD_HEADER_BYTES)[0]
    return LedgerBeginReply(verdict=_Verdict.UNKNOWN if is_overdue else _Verdict.IN_PROGRESS)


def _is_record(record):
    if len(record) < RECORD_HEADER_BYTES:
        return False
    if record[0] == RUNNING:
        return len(record) == RECORD_HEADER_BYTES + RUN_UNTIL.size
    return record[0] in (ANSWERED, UNKNOWN)


def _answer_size(records):
    return sum(
        len(record) - RECORD_HEADER_BYTES for record in records if record and record[0] == ANSWERED
    )


def _load_generation(generation):
    data = generation.fingerprints
    if len(data) != len(generation.records) * KEY_FINGERPRINT_BYTES:
        raise ValueError(f"{len(data)} bytes of fingerprints, {len(generation.records)} records")
    for record in generation.records:
        if record != TOMBSTONE and not _is_record(record):
            raise ValueError(f"record of {len(record)} bytes")
    fingerprints = (
        data[at : at + KEY_FINGERPRINT_BYTES] for at in range(0, len(data), KEY_FINGERPRINT_BYTES)
    )
    return _Generation(
        until=generation.until,
        record_by_fingerprint=dict(zip(fingerprints, generation.records, strict=True)),
    )
