"""Log replication by the leader: appends, snapshots, commits, read rounds and heartbeats.

>>> from siskintally.replication import Replication
>>> Replication.__slots__
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

BEAT_TOLERANCE = 1e-9


class Replication:
    """Mixin of :class:`~siskintally.replica.Replica` with the duties of a leader."""

    __slots__ = ()

    @property
    def is_settled(self):
        """Whether this replica leads and has committed an entry of its own term."""
        return self.role == Role.LEADER and self.log.term_at(self.commit) == self.term

    def is_keepalive(self, message):
        """Return whether a message is a reply that only shows that a peer is alive.

        Nothing depends on it: the peer has all entries, no read round is unconfirmed, and no
        leadership transfer is in progress. It can be processed as late as the next heartbeat.
        """
        if not isinstance(message, AppendReply) or message.term != self.term:
            return False
        progress = self.progress_by_id.get(message.sender)
        is_quiet = self.is_settled and self.transfer_to is None
        return (
            (is_quiet and progress is not None and message.accepted)
            and self.commit == self.log.last_index == progress.match == message.match_index
            and self.confirmed == self.round
        )

    def _append(self, entry, effects):
        self.log.append(entry)
        effects.entries.append(entry)
        effects.index = entry.index

    def _track_members(self, now):
        peers = {member.identity for member in self.log.members} - {self.identity}
        kept = {}
        for peer in sorted(peers):
            progress = self.progress_by_id.get(peer)
            kept[peer] = progress or Progress(next_index=self.log.last_index + 1, now=now)
        self.progress_by_id = kept

    def _send_all(self, now, effects):
        for peer, progress in self.progress_by_id.items():
            self._send_entries(peer, progress, now, effects)

    def _send_entries(self, peer, progress, now, effects):
        """Send missing entries, up to the window of unacknowledged ones, or a snapshot chunk."""
        if progress.next_index <= self.log.base_index:
            self._send_chunk(peer, progress, now, effects)
            return
        while progress.next_index <= self.log.last_index:
            if progress.match == 0:
                # Send one batch at a time until the logs are known to match.
                if progress.probed:
                    return
            elif progress.next_index - progress.match > self.timing.window_entries + 1:
                return
            progress.probed = True
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
            commit=self.commit,
            round=self.round,
            entries=entries,
        )
        progress.sent = now
        progress.sent_commit = self.commit
        effects.messages.append(Envelope(to=peer, message=request))

    def _send_chunk(self, peer, progress, now, effects):
        snapshot = self.log.snapshot
        if progress.chunk_index != snapshot.index:
            progress.chunk_index = snapshot.index
            progress.offset = 0
        elif now - progress.chunk_sent < self.timing.election_min_s:
            return
        progress.chunk_sent = now
        progress.sent = now
        if self._checksum[0] != snapshot.index:
            self._checksum = (snapshot.index, xxh64_intdigest(snapshot.data))
        chunk = SnapshotChunk(
            term=self.term,
            sender=self.identity,
            index=snapshot.index,
            index_term=snapshot.term,
            members=snapshot.members,
            offset=progress.offset,
            total=len(snapshot.data),
            data=snapshot.data[progress.offset : progress.offset + self.timing.chunk_bytes],
            checksum=self._checksum[1],
        )
        effects.messages.append(Envelope(to=peer, message=chunk))

    def _on_append_reply(self, reply, now, effects):
        progress = self._answering(reply, now)
        if progress is None:
            return
        progress.round = max(progress.round, reply.round)
        if not reply.accepted:
            hint = min(progress.next_index, reply.match_index + 1)
            progress.next_index = max(progress.match + 1, hint)
        else:
            progress.match = max(progress.match, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match + 1)
        self._after_answer(reply.sender, progress, now, effects)

    def _on_snapshot_reply(self, reply, now, effects):
        progress = self._answering(reply, now)
        if progress is None or progress.chunk_index == 0:
            return
        if not reply.index == progress.chunk_index == self.log.snapshot.index:
            # A later snapshot of another size has replaced the one being sent.
            progress.chunk_sent = NEVER
        elif reply.next_offset >= len(self.log.snapshot.data):
            progress.match = max(progress.match, reply.index)
            progress.next_index = progress.match + 1
            progress.chunk_index = 0
        elif reply.next_offset == progress.offset:
            # Duplicate reply: the chunk is in flight, or its timer retransmits it.
            return
        else:
            progress.offset = reply.next_offset
            progress.chunk_sent = NEVER
        self._after_answer(reply.sender, progress, now, effects)

    def _answering(self, reply, now):
        if self.role != Role.LEADER or reply.term != self.term:
            return None
        progress = self.progress_by_id.get(reply.sender)
        if progress is not None:
            progress.heard = now
            progress.answered = True
            progress.probed = False
        return progress

    def _after_answer(self, peer, progress, now, effects):
        self._advance_commit(effects)
        self._advance_round(effects)
        self._send_entries(peer, progress, now, effects)
        self._continue_transfer(effects)

    def _advance_commit(self, effects):
        matches = [
            self.durable if voter == self.identity else self.progress_by_id[voter].match
            for voter in self.voters
        ]
        reached = quorum_value(matches)
        # Raft 5.4.2: an entry of an older term can still be overwritten, even on a quorum.
        if reached > self.commit and self.log.term_at(reached) == self.term:
            self._commit_to(reached, effects)

    def _advance_round(self, effects):
        if not self.is_settled:
            return
        rounds = [
            self.round if voter == self.identity else self.progress_by_id[voter].round
            for voter in self.voters
        ]
        reached = quorum_value(rounds)
        if reached > self.confirmed:
            self.confirmed = reached
            effects.confirmed = reached

    def _continue_transfer(self, effects):
        target = self.transfer_to
        if target is None or self.transfer_sent or target not in self.progress_by_id:
            return
        if self.progress_by_id[target].match == self.log.last_index:
            self.transfer_sent = True
            message = TransferLeadership(term=self.term, sender=self.identity.name)
            effects.messages.append(Envelope(to=target, message=message))

    def _tick_leader(self, now, effects):
        heard = [
            now if voter == self.identity else self.progress_by_id[voter].heard
            for voter in self.voters
        ]
        if quorum_value(heard) <= now - self.timing.election_max_s:
            self._follow(self.term, None, now, effects)
            return
        if self.transfer_to is not None and now >= self.deadline:
            self.transfer_to = None
            self.transfer_sent = False
        for peer, progress in self.progress_by_id.items():
            if now >= self._beat_at(progress):
                self._send_append(peer, progress, now, effects)
            if progress.next_index <= self.log.base_index:
                self._send_chunk(peer, progress, now, effects)

    def _beat_at(self, progress):
        """Return the time of the next heartbeat, sooner if the peer lacks entries or a commit.

        Heartbeats are sent at multiples of their interval, so that those of all groups of a
        process go out together, as one message per link.
        """
        if progress.sent == NEVER:
            return NEVER
        lacks = progress.sent_commit < self.commit or progress.match < self.log.last_index
        interval = self.timing.busy_beat_s if lacks else self.timing.idle_beat_s
        # Without the tolerance, rounding could yield the time of the last heartbeat again.
        return interval * floor(progress.sent / interval + 1 + BEAT_TOLERANCE)
