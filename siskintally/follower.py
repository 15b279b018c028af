"""Follower side of replication: accepts entries and snapshots from the leader.

>>> from siskintally.follower import FollowerMixin
>>> FollowerMixin.__slots__
()
"""

from typing import NamedTuple

from xxhash import xxh64_intdigest

from siskintally.messages import AppendReply, Envelope, Snapshot, SnapshotReply


class IncomingSnapshot(NamedTuple):
    """Partly received snapshot; ``size`` counts the bytes received, ``total`` all of them."""

    index: int
    index_term: int
    checksum: int
    total: int
    size: int
    parts: tuple


class FollowerMixin:
    """Mixin of :class:`~siskintally.replica.Replica` with the duties of a follower."""

    __slots__ = ()

    def _on_append_request(self, request, now, effects):
        if request.term < self.term:
            self._reject_append(request, 0, effects)
            return
        self._accept_leader(request, now, effects)
        retry_after_index = self._find_conflict(request)
        if retry_after_index is not None:
            self._reject_append(request, retry_after_index, effects)
            return
        self._store_entries(request.entries, effects)
        match = request.prev_index + len(request.entries)
        if min(request.commit, match) > self.commit_index:
            self._commit_to(min(request.commit, match), effects)
        self._reply_append(request, True, match, effects)

    def _accept_leader(self, message, now, effects):
        self._become_follower(message.term, message.sender, now, effects)
        self.leader_contact_at = now
        self.leader_process_exited = False

    def _find_conflict(self, request):
        """Return the index after which the leader should retry, or None if the log matches."""
        if request.prev_index > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(request.prev_index)
        if request.prev_index <= self.commit_index or term == request.prev_term:
            return None
        return max(self.commit_index, self.log.first_index_of_term_run(request.prev_index) - 1)

    def _store_entries(self, entries, effects):
        for entry in entries:
            if entry.index <= self.commit_index:
                continue
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
                self.durable_index = min(self.durable_index, entry.index - 1)
            self.log.append(entry)
            effects.entries.append(entry)

    def _reject_append(self, request, retry_after_index, effects):
        self._reply_append(request, False, retry_after_index, effects)

    def _reply_append(self, request, accepted, match, effects):
        reply = AppendReply(
            term=self.term,
            sender=self.identity,
            accepted=accepted,
            match_index=match,
            round=request.round,
        )
        effects.messages.append(Envelope(to=request.sender, message=reply))

    def _on_snapshot_chunk(self, chunk, now, effects):
        if chunk.term < self.term:
            self._reply_chunk(chunk, 0, effects)
            return
        self._accept_leader(chunk, now, effects)
        if chunk.index <= self.commit_index:
            self._reply_chunk(chunk, chunk.total, effects)
            return
        incoming = self._matching_partial(chunk)
        if chunk.offset == incoming.size:
            incoming = incoming._replace(
                size=incoming.size + len(chunk.data), parts=(*incoming.parts, chunk.data)
            )
        self.incoming_snapshot = incoming
        if incoming.size >= chunk.total:
            self._install_snapshot(chunk, effects)
        else:
            self._reply_chunk(chunk, incoming.size, effects)

    def _matching_partial(self, chunk):
        snapshot_id = (chunk.index, chunk.index_term, chunk.checksum, chunk.total)
        if self.incoming_snapshot is not None and self.incoming_snapshot[:4] == snapshot_id:
            return self.incoming_snapshot
        return IncomingSnapshot(*snapshot_id, size=0, parts=())

    def _install_snapshot(self, chunk, effects):
        data = b"".join(self.incoming_snapshot.parts)
        self.incoming_snapshot = None
        if xxh64_intdigest(data) != chunk.checksum:
            # No reply: the leader retransmits the last chunk; the reply to it, with offset 0, makes
            # the leader send the snapshot again from its start.
            return
        snapshot = Snapshot(
            index=chunk.index, term=chunk.index_term, members=chunk.members, data=data
        )
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.durable_index = max(self.durable_index, snapshot.index)
        effects.committed.clear()
        effects.snapshot = snapshot
        effects.restore = snapshot
        self._reply_chunk(chunk, chunk.total, effects)

    def _reply_chunk(self, chunk, next_offset, effects):
        reply = SnapshotReply(
            index=chunk.index, next_offset=next_offset, term=self.term, sender=self.identity
        )
        effects.messages.append(Envelope(to=chunk.sender, message=reply))
