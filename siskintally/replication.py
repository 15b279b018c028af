"""Log replication by the leader: appends, snapshots, commits, read rounds and heartbeats.

>>> from siskintally.replication import ReplicationMixin
>>> ReplicationMixin.__slots__
()
"""

from math import floor

from xxhash import xxh64_intdigest

from siskintally.election import NEVER, Role
from siskintally.membership import quorum_value
from siskintally.messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    SnapshotChunk,
    TransferLeadership,
)
from siskintally.progress import Progress

HEARTBEAT_TOLERANCE = 1e-9


class ReplicationMixin:
    """Mixin of :class:`~siskintally.replica.Replica` with the duties of a leader."""

    __slots__ = ()

    @property
    def has_committed_in_term(self):
        """Whether this replica leads and has committed an entry of its own term."""
        return self.role == Role.LEADER and self.log.term_at(self.commit_index) == self.term

    def is_keepalive(self, message):
        """Return whether a message is a reply that only shows that a peer is alive.

        Nothing depends on it: the peer has all entries, no read round is unconfirmed, and no
        leadership transfer is in progress. It can be processed as late as the next heartbeat.
        """
        if not isinstance(message, AppendReply) or message.term != self.term:
            return False
        progress = self.progress_by_id.get(message.sender)
        is_quiet = self.has_committed_in_term and self.transfer_target is None
        return (
            (is_quiet and progress is not None and message.accepted)
            and self.commit_index
            == self.log.last_index
            == progress.match_index
            == message.match_index
            and self.confirmed_round == self.read_round
        )

    def _append(self, entry, effects):
        self.log.append(entry)
        effects.entries.append(entry)
        effects.index = entry.index

    def _update_tracked_peers(self, now):
        peers = {member.identity for member in self.log.members} - {self.identity}
        tracked = {}
        for peer in sorted(peers):
            progress = self.progress_by_id.get(peer)
            tracked[peer] = progress or Progress(next_index=self.log.last_index + 1, now=now)
        self.progress_by_id = tracked

    def _send_all(self, now, effects):
        for peer, progress in self.progress_by_id.items():
            self._send_entries(peer, progress, now, effects)

    def _send_entries(self, peer, progress, now, effects):
        """Send missing entries, up to the window of unacknowledged ones, or a snapshot chunk."""
        if progress.next_index <= self.log.base_index:
            self._send_chunk(peer, progress, now, effects)
            return
        while progress.next_index <= self.log.last_index:
            if progress.match_index == 0:
                # Send one batch at a time until the logs are known to match.
                if progress.probe_sent:
                    return
            elif progress.next_index - progress.match_index > self.timing.window_entries + 1:
                return
            progress.probe_sent = True
            entries = self.log.batch(
                progress.next_index,
                max_entries=self.timing.batch_entries,
                max_bytes=self.timing.batch_bytes,
            )
            self._send_append(peer, progress, now, effects, entries)
            progress.next_index += len(entries)

    def _send_append(self, peer, progress, now, effects, entries=()):
        prev_index = max(progress.next_index - 1, self.log.base_index)
        request = AppendRequest(
            term=self.term,
            sender=self.identity,
            prev_index=prev_index,
            prev_term=self.log.term_at(prev_index),
            commit=self.commit_index,
            round=self.read_round,
            entries=entries,
        )
        progress.last_sent_at = now
        progress.sent_commit_index = self.commit_index
        effects.messages.append(Envelope(to=peer, message=request))

    def _send_chunk(self, peer, progress, now, effects):
        snapshot = self.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        elif now - progress.chunk_sent_at < self.timing.election_min_s:
            return
        progress.chunk_sent_at = now
        progress.last_sent_at = now
        if self._snapshot_checksum[0] != snapshot.index:
            self._snapshot_checksum = (snapshot.index, xxh64_intdigest(snapshot.data))
        chunk = SnapshotChunk(
            term=self.term,
            sender=self.identity,
            index=snapshot.index,
            index_term=snapshot.term,
            members=snapshot.members,
            offset=progress.snapshot_offset,
            total=len(snapshot.data),
            data=snapshot.data[
                progress.snapshot_offset : progress.snapshot_offset + self.timing.chunk_bytes
            ],
            checksum=self._snapshot_checksum[1],
        )
        effects.messages.append(Envelope(to=peer, message=chunk))

    def _on_append_reply(self, reply, now, effects):
        progress = self._record_reply(reply, now)
        if progress is None:
            return
        progress.read_round = max(progress.read_round, reply.round)
        if not reply.accepted:
            retry_index = min(progress.next_index, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, retry_index)
        else:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_after_reply(reply.sender, progress, now, effects)

    def _on_snapshot_reply(self, reply, now, effects):
        progress = self._record_reply(reply, now)
        if progress is None or progress.snapshot_index == 0:
            return
        if not reply.index == progress.snapshot_index == self.log.snapshot.index:
            # A later snapshot of another size has replaced the one being sent.
            progress.chunk_sent_at = NEVER
        elif reply.next_offset >= len(self.log.snapshot.data):
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
            progress.snapshot_index = 0
        elif reply.next_offset == progress.snapshot_offset:
            # Duplicate reply: the chunk is in flight, or its timer retransmits it.
            return
        else:
            progress.snapshot_offset = reply.next_offset
            progress.chunk_sent_at = NEVER
        self._advance_after_reply(reply.sender, progress, now, effects)

    def _record_reply(self, reply, now):
        if self.role != Role.LEADER or reply.term != self.term:
            return None
        progress = self.progress_by_id.get(reply.sender)
        if progress is not None:
            progress.last_reply_at = now
            progress.has_replied = True
            progress.probe_sent = False
        return progress

    def _advance_after_reply(self, peer, progress, now, effects):
        self._advance_commit(effects)
        self._advance_read_round(effects)
        self._send_entries(peer, progress, now, effects)
        self._send_transfer_if_ready(effects)

    def _advance_commit(self, effects):
        matches = [
            self.durable_index if voter == self.identity else self.progress_by_id[voter].match_index
            for voter in self.voters
        ]
        quorum_reached = quorum_value(matches)
        # Raft 5.4.2: an entry of an older term can be overwritten even if a quorum stores it.
        if quorum_reached > self.commit_index and self.log.term_at(quorum_reached) == self.term:
            self._commit_to(quorum_reached, effects)

    def _advance_read_round(self, effects):
        if not self.has_committed_in_term:
            return
        rounds = [
            self.read_round if voter == self.identity else self.progress_by_id[voter].read_round
            for voter in self.voters
        ]
        quorum_reached = quorum_value(rounds)
        if quorum_reached > self.confirmed_round:
            self.confirmed_round = quorum_reached
            effects.confirmed_round = quorum_reached

    def _send_transfer_if_ready(self, effects):
        target = self.transfer_target
        if target is None or self.transfer_sent or target not in self.progress_by_id:
            return
        if self.progress_by_id[target].match_index == self.log.last_index:
            self.transfer_sent = True
            message = TransferLeadership(term=self.term, sender=self.identity.name)
            effects.messages.append(Envelope(to=target, message=message))

    def _tick_leader(self, now, effects):
        last_replies = [
            now if voter == self.identity else self.progress_by_id[voter].last_reply_at
            for voter in self.voters
        ]
        if quorum_value(last_replies) <= now - self.timing.election_max_s:
            self._become_follower(self.term, None, now, effects)
            return
        if self.transfer_target is not None and now >= self.deadline:
            if self.transfer_sent:
                # The target may receive the request at any time later and be elected at once.
                self._become_follower(self.term, None, now, effects)
                return
            self.transfer_target = None
        for peer, progress in self.progress_by_id.items():
            if now >= self._next_heartbeat_at(progress):
                self._send_append(peer, progress, now, effects)
            if progress.next_index <= self.log.base_index:
                self._send_chunk(peer, progress, now, effects)

    def _next_heartbeat_at(self, progress):
        """Return the time of the next heartbeat: sooner if the peer lacks entries or the commit.

        Heartbeats are sent at multiples of their interval, so that those of all groups of a
        process go out together, as one message per link.
        """
        if progress.last_sent_at == NEVER:
            return NEVER
        is_behind = (
            progress.sent_commit_index < self.commit_index
            or progress.match_index < self.log.last_index
        )
        interval = self.timing.busy_heartbeat_s if is_behind else self.timing.idle_heartbeat_s
        # Without the tolerance, rounding could yield the time of the last heartbeat again.
        return interval * floor(progress.last_sent_at / interval + 1 + HEARTBEAT_TOLERANCE)
