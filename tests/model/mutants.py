"""Faulty versions of the checked classes; the search must find every fault."""

from siskintally.cell import Cell
from siskintally.cell_state_pb2 import State as CellState
from siskintally.lease import LeaseTable
from siskintally.ledger import RUNNING, Ledger, _key_fingerprint, _tombstone_fingerprint
from siskintally.ledger_state_pb2 import LedgerState
from siskintally.membership import quorum_size
from siskintally.replica import Replica
from siskintally.waiters import Waiters


class LearnerCountingReplica(Replica):
    """Counts the log positions of learners towards a commit."""

    __slots__ = ()

    def _advance_commit(self, effects):
        matches = [progress.match_index for progress in self.progress_by_id.values()]
        ranked = sorted([self.durable_index, *matches], reverse=True)
        reached = ranked[quorum_size(len(self.voters)) - 1]
        if reached > self.commit_index and self.log.term_at(reached) == self.term:
            self._commit_to(reached, effects)


class ReplicaCountingEarlierReplies(Replica):
    """Counts a reply to an earlier message for the newest read round."""

    __slots__ = ()

    def _on_append_reply(self, reply, now, effects):
        super()._on_append_reply(reply._replace(round=self.read_round), now, effects)


class WaitersMatchingIndexAlone(Waiters):
    """Completes a proposal by any entry that is committed at its index."""

    __slots__ = ()

    def complete_proposal(self, entry, reply):
        """Complete the proposals of all terms at the index of an entry."""
        for term, index in list(self._by_entry):
            if index == entry.index:
                super().complete_proposal(entry._replace(term=term), reply)


class LedgerWithoutSnapshotRecords(Ledger):
    """Drops the records of running attempts at a snapshot."""

    __slots__ = ()

    def snapshot(self):
        """Return the state without the records that a resend needs."""
        state = LedgerState.FromString(super().snapshot())
        for generation in state.generations:
            generation.fingerprints = b""
            del generation.records[:]
        return state.SerializeToString()


class LedgerFinishedByAnyAttempt(Ledger):
    """Accepts a finish from any attempt."""

    __slots__ = ()

    def _is_granted_to(self, record, attempt):
        return record is not None and record[0] == RUNNING


class LedgerWithoutTombstones(Ledger):
    """Keeps no record of released attempts."""

    __slots__ = ()

    def release(self, message, now):
        """Release the key and delete the record of the attempt."""
        done = super().release(message, now)
        self._delete_record(_tombstone_fingerprint(message.key, message.attempt))
        return done


class LedgerReleasingUnknownOutcomes(Ledger):
    """Grants a key with an unknown outcome again."""

    __slots__ = ()

    def finish(self, message, now):
        """Treat an unknown outcome like a release."""
        done = super().finish(message, now)
        if message.unknown:
            self._delete_record(_key_fingerprint(message.key))
        return done


class CellAcceptingPreviousVersion(Cell):
    """Accepts the previous version as well, so that two changes with equal numbers pass."""

    __slots__ = ()

    def _check_version(self, expected):
        if expected + 1 != self.config_state.version:
            super()._check_version(expected)


class CellWithoutSnapshotReplies(Cell):
    """Drops the stored responses at a snapshot."""

    __slots__ = ()

    def snapshot(self):
        """Return the state without the responses."""
        state = CellState.FromString(super().snapshot())
        del state.replies[:]
        return state.SerializeToString(deterministic=True)


class LeaseTableWithoutDriftMargin(LeaseTable):
    """Declares a worker lost right after its lease, without a margin for the drift of clocks."""

    __slots__ = ()

    def lost_at(self, worker):
        """Return the end of the lease by the clock of the owner."""
        return self._lease_by_worker[worker].renewed_at + self.lease_s


class LeaseTableIgnoringEarlierOwner(LeaseTable):
    """Ignores that an earlier owner may have renewed the lease just before the election."""

    __slots__ = ()

    def lost_at(self, worker):
        """Return a time that does not wait for leases granted by an earlier owner."""
        lease = self._lease_by_worker[worker]
        if self.elected_at and lease.renewed_at == self.elected_at:
            return self.elected_at
        return super().lost_at(worker)
