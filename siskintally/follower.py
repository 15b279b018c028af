"""Follower side of replication: accepts entries and snapshots from the leader.

>>> from siskintally.follower import Follower
>>> Follower.__slots__
()
"""

from typing import NamedTuple

from xxhash import xxh64_intdigest

from siskintally.messages import AppendReply, Envelope, Snapshot, SnapshotReply


class Incoming(NamedTuple):
    """Partly received snapshot; ``size`` counts the bytes received, ``total`` all of them."""

    index: int
    index_term: int
    checksum: int
    total: int
    size: int
    parts: tuple


class Follower:
    """Mixin of :class:`~siskintally.replica.Replica` with the duties of a follower."""

    __slots__ = ()

    def _on_append_request(self, request, now, effects):
        if request.term < self.term:
            self._refuse(request, 0, effects)
            return
        self._hear(request, now, effects)
        hint = self._mismatch(request)
        if hint is not None:
            self._refuse(request, hint, effects)
            return
        self._take_entries(request.entries, effects)
        match = request.prev_index + len(request.entries)
        if min(request.commit, match) > self.commit:
            self._commit_to(min(request.commit, match), effects)
        self._reply_append(request, True, match, effects)

    def _hear(self, message, now, effects):
        self._follow(message.term, message.sender, now, effects)
        self.heard = now
        self.leader_ended = False

    def _mismatch(self, request):
        """Return the index after which the leader should retry, or None if the log matches."""
        if request.prev_index > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(request.prev_index)
        if request.prev_index <= self.commit or term == request.prev_term:
            return None
        return max(self.commit, self.log.first_of_term(request.prev_index) - 1)

    def _take_entries(self, entries, effects):
        for entry in entries:
            if entry.index <= self.commit:
                continue
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
                self.durable = min(self.durable, entry.index - 1)
            self.log.append(entry)
            effects.entries.append(entry)

    def _refuse(self, request, hint, effects):
        self._reply_append(request, False, hint, effects)

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
        self._hear(chunk, now, effects)
        if chunk.index <= self.commit:
            self._reply_chunk(chunk, chunk.total, effects)
            return
        incoming = self._incoming_for(chunk)
        if chunk.offset == incoming.size:
            incoming = incoming._replace(
                size=incoming.size + len(chunk.data), parts=(*incoming.parts, chunk.data)
            )
        self.incoming = incoming
        if incoming.size >= chunk.total:
            self._finish_snapshot(chunk, effects)
        else:
            self._reply_chunk(chunk, incoming.size, effects)

    def _incoming_for(self, chunk):
        mark = (chunk.index, chunk.index_term, chunk.checksum, chunk.total)
        if self.incoming is not None and self.incoming[:4] == mark:
            return self.incoming
        return Incoming(*mark, size=0, parts=())

    def _finish_snapshot(self, chunk, effects):
        data = b"".join(self.incoming.parts)
        self.incoming = None
        if xxh64_intdigest(data) != chunk.checksum:
            # No reply: the leader retransmits the last chunk, and the reply to that restarts it.
            return
        snapshot = Snapshot(
            index=chunk.index, term=chunk.index_term, members=chunk.members, data=data
        )
        self.log.install(snapshot)
        self.commit = snapshot.index
        self.durable = max(self.durable, snapshot.index)
        effects.committed.clear()
        effects.snapshot = snapshot
        effects.restore = snapshot
        self._reply_chunk(chunk, chunk.total, effects)

    def _reply_chunk(self, chunk, next_offset, effects):
        reply = SnapshotReply(
            index=chunk.index, next_offset=next_offset, term=self.term, sender=self.identity
        )
        effects.messages.append(Envelope(to=chunk.sender, message=reply))
