"""Ledger of idempotency keys: verdicts, late messages, capacity limits, snapshots."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskintally.codes import Code
from siskintally.errors import DamagedDataError, RefusedError
from siskintally.ledger import DEADLINE_MARGIN_S, Ledger
from siskintally.wire_pb2 import (
    LedgerBegin,
    LedgerBeginReply,
    LedgerFinish,
    LedgerRelease,
    StoredAnswer,
)

Verdict = LedgerBeginReply.Verdict
ANSWER = StoredAnswer(status=201, content_type="text/plain", body=b"ticket 9", body_kept=True)


def begin(ledger, attempt, *, key="k", caller="shop", digest=b"d", now=0.0):
    message = LedgerBegin(key=key, caller=caller, digest=digest, attempt=attempt)
    return ledger.begin(message, now).verdict


def finish(ledger, attempt, *, key="k", unknown=False, answer=ANSWER, now=0.0):
    message = LedgerFinish(key=key, attempt=attempt, unknown=unknown)
    if not unknown:
        message.answer.CopyFrom(answer)
    ledger.finish(message, now)


def release(ledger, attempt, *, key="k", now=0.0):
    ledger.release(LedgerRelease(key=key, attempt=attempt), now)


def test_key_is_granted_to_one_attempt_and_its_answer_replayed():
    """Guards against a request that runs twice under one key."""
    ledger = Ledger()
    assert begin(ledger, "a") == Verdict.GRANTED
    assert begin(ledger, "a") == Verdict.GRANTED
    assert begin(ledger, "b") == Verdict.IN_PROGRESS
    finish(ledger, "a")
    reply = ledger.begin(LedgerBegin(key="k", caller="shop", digest=b"d", attempt="b"), 0.0)
    assert (reply.verdict, reply.answer) == (Verdict.REPLAYED, ANSWER)
    assert begin(ledger, "a") == Verdict.REPLAYED


@pytest.mark.parametrize("field", [{"caller": "other"}, {"digest": b"e"}])
def test_same_key_with_another_request_is_a_conflict(field):
    """Guards against the answer of one request being replayed to another one."""
    ledger = Ledger()
    begin(ledger, "a")
    assert begin(ledger, "b", **field) == Verdict.CONFLICT
    finish(ledger, "a")
    assert begin(ledger, "b", **field) == Verdict.CONFLICT


def test_attempt_of_a_lost_entry_is_unknown_after_its_time_and_may_still_finish():
    """Guards against 3002 (in progress) for a day when the entry of the request was killed."""
    ledger = Ledger()
    message = LedgerBegin(key="k", caller="shop", digest=b"d", attempt="a", deadline_s=30.0)
    assert ledger.begin(message, 100.0).verdict == Verdict.GRANTED
    assert begin(ledger, "b", now=130.0) == Verdict.IN_PROGRESS
    restored = Ledger()
    restored.restore(ledger.snapshot())
    for replica in (ledger, restored):
        assert begin(replica, "b", now=130.1 + DEADLINE_MARGIN_S) == Verdict.UNKNOWN
        finish(replica, "a", now=200.0)
        assert begin(replica, "b", now=201.0) == Verdict.REPLAYED


def test_unknown_outcome_stays_unknown():
    """Guards against a late message that turns a reported unknown outcome into another one."""
    ledger = Ledger()
    begin(ledger, "a")
    finish(ledger, "a", unknown=True)
    finish(ledger, "a")
    release(ledger, "a")
    assert begin(ledger, "b") == Verdict.UNKNOWN
    assert begin(ledger, "a") == Verdict.UNKNOWN


def test_other_attempts_neither_finish_nor_release_a_key():
    """Guards against an attempt that ends the running attempt of another entry."""
    ledger = Ledger()
    begin(ledger, "a")
    finish(ledger, "b")
    release(ledger, "b")
    assert begin(ledger, "c") == Verdict.IN_PROGRESS
    assert begin(ledger, "b") == Verdict.RELEASED


def test_released_attempt_is_never_granted_again():
    """Guards against a resent begin of a request that was already reported as not run."""
    ledger = Ledger()
    begin(ledger, "a")
    release(ledger, "a")
    assert begin(ledger, "a") == Verdict.RELEASED
    assert begin(ledger, "b", digest=b"e") == Verdict.GRANTED
    finish(ledger, "a")
    assert begin(ledger, "c", digest=b"e") == Verdict.IN_PROGRESS


def test_release_before_begin_wins_over_the_late_begin():
    """Guards against a begin that arrives after its release and blocks the key."""
    ledger = Ledger()
    release(ledger, "a")
    assert begin(ledger, "a") == Verdict.RELEASED
    assert begin(ledger, "b") == Verdict.GRANTED


def test_full_ledger_refuses_new_keys_and_keeps_the_records():
    """Guards against a full ledger that drops records, so that a resend would run again."""
    ledger = Ledger(capacity_records=2)
    begin(ledger, "a", key="1")
    begin(ledger, "b", key="2")
    for action in (lambda: begin(ledger, "c", key="3"), lambda: release(ledger, "c", key="3")):
        with pytest.raises(RefusedError) as caught:
            action()
        assert caught.value.code == Code.OVERLOADED
    finish(ledger, "a", key="1")
    release(ledger, "b", key="2")
    assert begin(ledger, "d", key="1") == Verdict.REPLAYED
    assert begin(ledger, "b", key="2") == Verdict.RELEASED


def test_full_store_of_answers_refuses_new_keys():
    """Guards against stored answers that grow without limit, or are dropped to make space."""
    ledger = Ledger(capacity_bytes=10)
    begin(ledger, "a", key="1")
    finish(ledger, "a", key="1")
    with pytest.raises(RefusedError):
        begin(ledger, "b", key="2")
    assert begin(ledger, "b", key="1") == Verdict.REPLAYED


def test_records_live_for_the_retention_after_their_last_change():
    """Guards against a record that expires early, and against one that is kept forever."""
    ledger = Ledger(retention_s=240.0)
    begin(ledger, "a")
    finish(ledger, "a", now=100.0)
    assert begin(ledger, "b", now=339.0) == Verdict.REPLAYED
    assert begin(ledger, "b", now=351.0) == Verdict.GRANTED
    assert len(ledger) == 1


def test_time_that_goes_back_drops_nothing_early():
    """Guards against early expiry when the clock of a new leader is behind that of the last."""
    ledger = Ledger(retention_s=240.0)
    ledger.expire(1000.0)
    begin(ledger, "a", now=5.0)
    assert begin(ledger, "b", now=1239.0) == Verdict.IN_PROGRESS


def test_long_body_is_replaced_by_its_digest():
    """Guards against large bodies that fill the replicated state."""
    ledger = Ledger(body_limit_bytes=4)
    begin(ledger, "a")
    finish(ledger, "a")
    message = LedgerBegin(key="k", caller="shop", digest=b"d", attempt="b")
    answer = ledger.begin(message, 0.0).answer
    assert (answer.body_kept, answer.body, len(answer.body_digest)) == (False, b"", 32)


_actions = st.lists(
    st.tuples(
        st.sampled_from(["begin", "finish", "release", "expire"]),
        st.sampled_from("xyz"),
        st.sampled_from("ab"),
        st.floats(0, 50),
    )
)


@given(_actions)
def test_snapshot_restores_the_same_state(actions):
    """Guards against replicas that differ after a snapshot."""
    ledger, now = Ledger(retention_s=48.0), 0.0
    for name, key, attempt, step in actions:
        now += step
        if name == "expire":
            ledger.expire(now)
        else:
            globals()[name](ledger, attempt, key=key, now=now)
    restored = Ledger(retention_s=48.0)
    restored.restore(ledger.snapshot())
    assert (restored.key(), len(restored), restored.answer_bytes) == (
        ledger.key(),
        len(ledger),
        ledger.answer_bytes,
    )
    assert restored.snapshot() == ledger.snapshot()


@given(st.binary(max_size=80))
def test_damaged_snapshot_is_refused_and_changes_nothing(data):
    """Guards against a state that a damaged snapshot has replaced in part."""
    ledger = Ledger()
    begin(ledger, "a")
    before = ledger.key()
    try:
        ledger.restore(data)
    except DamagedDataError:
        assert ledger.key() == before
