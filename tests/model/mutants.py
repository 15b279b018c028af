"""Faulty versions of the checked functions; the search must find every one."""

from siskintally.cell import Cell
from siskintally.cell_state_pb2 import State as CellState
from siskintally.lease import LeaseTable
from siskintally.ledger import RUNNING, Ledger, _key_print, _tombstone_print
from siskintally.ledger_state_pb2 import LedgerState
from siskintally.membership import quorum
from siskintally.replica import Replica


class LearnerCountingReplica(Replica):
    """Counts the log positions of learners towards a commit."""

    __slots__ = ()

    def _advance_commit(self, effects):
        matches = [progress.match for progress in self.progress_by_id.values()]
        ranked = sorted([self.durable, *matches], reverse=True)
        reached = ranked[quorum(len(self.voters)) - 1]
        if reached > self.commit and self.log.term_at(reached) == self.term:
            self._commit_to(reached, effects)


class StaleRoundReplica(Replica):
    """Counts an answer to an earlier message for the newest read round."""

    __slots__ = ()

    def _on_append_reply(self, reply, now, effects):
        super()._on_append_reply(reply._replace(round=self.round), now, effects)


class ForgetfulLedger(Ledger):
    """Drops the records of running attempts at a snapshot."""

    __slots__ = ()

    def snapshot(self):
        """Return the state without what a resend needs."""
        state = LedgerState.FromString(super().snapshot())
        for generation in state.generations:
            generation.fingerprints = b""
            del generation.records[:]
        return state.SerializeToString()


class TrustingLedger(Ledger):
    """Accepts a finish from any attempt."""

    __slots__ = ()

    def _holds(self, record, attempt):
        return record is not None and record[0] == RUNNING


class AmnesicLedger(Ledger):
    """Keeps no released attempts."""

    __slots__ = ()

    def release(self, message, now):
        """Give the key back and forget the attempt."""
        done = super().release(message, now)
        self._drop(_tombstone_print(message.key, message.attempt))
        return done


class GenerousLedger(Ledger):
    """Grants a key again whose outcome is unknown."""

    __slots__ = ()

    def finish(self, message, now):
        """Treat an unknown outcome like a release."""
        done = super().finish(message, now)
        if message.unknown:
            self._drop(_key_print(message.key))
        return done


class LenientCell(Cell):
    """Accepts the version before the present one too, so two changes with equal numbers pass."""

    __slots__ = ()

    def _check_version(self, expected):
        if expected + 1 != self.config_state.version:
            super()._check_version(expected)


class ForgetfulCell(Cell):
    """Drops the stored responses at a snapshot."""

    __slots__ = ()

    def snapshot(self):
        """Return the state without the responses."""
        state = CellState.FromString(super().snapshot())
        del state.replies[:]
        return state.SerializeToString(deterministic=True)


class HastyLeaseTable(LeaseTable):
    """Counts a worker as lost after the bare lease, without room for the drift of clocks."""

    __slots__ = ()

    def lost_at(self, worker):
        """Return the end of the lease by the clock of the owner."""
        return self._lease_by_worker[worker].renewed_at + self.lease_s


class FreshLeaseTable(LeaseTable):
    """Ignores that an earlier owner may have renewed the lease until the election."""

    __slots__ = ()

    def lost_at(self, worker):
        """Return a time that does not wait for leases of an earlier owner."""
        lease = self._lease_by_worker[worker]
        if self.elected_at and lease.renewed_at == self.elected_at:
            return self.elected_at
        return super().lost_at(worker)
