"""Worker leases: when an owner may declare a worker lost, and when a worker must stop its tasks.

Both sides do no I/O. Times are seconds of the monotonic clock of the process that uses the object.
Clock rates may differ by less than 1%; clock values are never compared between processes.

>>> from siskintally.lease import LeaseHolder, LeaseTable
>>> worker, owner = LeaseHolder(lease_s=30.0), LeaseTable(lease_s=30.0, elected_at=0.0)
>>> seq = worker.next_heartbeat(now=10.0)
>>> owner.record_heartbeat("w1", seq, now=10.5)
>>> owner.renew("w1", seq)
True
>>> worker.renew(seq, term=1)
True
>>> worker.expires_at(), owner.lost_at("w1")
(40.0, 42.1)
"""

# Clock rates differ by less than 1%; the rest allows for rounding and for timers that fire late.
RATE_MARGIN = 1.02
FIXED_MARGIN_S = 1.0


class _Lease:
    __slots__ = ("arrival_by_seq", "last_seq", "renewed_at")

    def __init__(self, *, since):
        self.renewed_at = since
        self.arrival_by_seq = {}
        self.last_seq = 0


class LeaseTable:
    """The owner's side: the leases of all workers during one term.

    A worker counts as lost ``lease_s`` x 1.02 + 1 s after the arrival of its last acknowledged
    heartbeat, but no sooner than this time after the election: an earlier owner may have renewed
    the lease until shortly before the election.

    :param lease_s: duration of a lease, seconds.
    :param elected_at: time of the election of this owner.
    """

    __slots__ = ("_lease_by_worker", "elected_at", "lease_s")

    def __init__(self, *, lease_s, elected_at):
        self.lease_s = lease_s
        self.elected_at = elected_at
        self._lease_by_worker = {}

    def add_worker(self, worker):
        """Add a worker from the committed state, whose lease an earlier owner may have renewed."""
        self._lease_by_worker.setdefault(worker, _Lease(since=self.elected_at))

    def record_heartbeat(self, worker, seq, *, now):
        """Record the arrival of a heartbeat; it renews the lease only once acknowledged.

        :param seq: number of the heartbeat in its session.
        """
        if worker not in self._lease_by_worker:
            self._lease_by_worker[worker] = _Lease(since=max(now, self.elected_at))
        self._lease_by_worker[worker].arrival_by_seq.setdefault(seq, now)

    def renew(self, worker, seq):
        """Renew a lease, just before the heartbeat is acknowledged.

        A quorum round that began after the arrival of the heartbeat must have succeeded.

        :returns: whether the heartbeat is known; if not, it must not be acknowledged.
        """
        lease = self._lease_by_worker.get(worker)
        if lease is None or seq not in lease.arrival_by_seq:
            return False
        arrival = lease.arrival_by_seq[seq]
        lease.renewed_at = max(lease.renewed_at, arrival)
        lease.arrival_by_seq = {
            later: at for later, at in lease.arrival_by_seq.items() if later > seq
        }
        lease.last_seq = max(lease.last_seq, seq)
        return True

    def reset_session(self, worker):
        """Reset the heartbeat numbers of a worker, for a new session."""
        lease = self._lease_by_worker.get(worker)
        if lease is not None:
            lease.arrival_by_seq = {}
            lease.last_seq = 0

    def last_seq(self, worker):
        """Return the number of the last acknowledged heartbeat, 0 if none."""
        lease = self._lease_by_worker.get(worker)
        return lease.last_seq if lease is not None else 0

    def lost_at(self, worker):
        """Return the time from which a worker counts as lost."""
        lease = self._lease_by_worker[worker]
        return lease.renewed_at + self.lease_s * RATE_MARGIN + FIXED_MARGIN_S

    def lost_workers(self, now):
        """Return the workers that count as lost, in name order."""
        return sorted(name for name in self._lease_by_worker if self.lost_at(name) <= now)

    def remove_worker(self, worker):
        """Remove a worker that was declared lost."""
        self._lease_by_worker.pop(worker, None)

    def key(self):
        """Return the state as a hashable value, equal for equal states."""
        leases = []
        for name, lease in sorted(self._lease_by_worker.items()):
            arrivals = tuple(sorted(lease.arrival_by_seq.items()))
            leases.append((name, lease.renewed_at, lease.last_seq, arrivals))
        return (self.lease_s, self.elected_at, tuple(leases))


class LeaseHolder:
    """The worker's side: one lease for all tasks of the worker.

    The lease runs from the time the heartbeat was sent, so a network delay only shortens it.

    :param lease_s: duration in seconds until an owner grants another one.
    """

    __slots__ = ("_sent_by_seq", "_seq", "lease_s", "term", "valid_from")

    def __init__(self, *, lease_s):
        self.lease_s = lease_s
        self.valid_from = None
        self.term = 0
        self._seq = 0
        self._sent_by_seq = {}

    def next_heartbeat(self, *, now):
        """Record that a heartbeat is sent now; return its number."""
        self._seq += 1
        self._sent_by_seq[self._seq] = now
        return self._seq

    def renew(self, seq, *, term, lease_s=None):
        """Renew the lease from the time an acknowledged heartbeat was sent.

        :param term: term of the owner; a term lower than the highest seen is refused.
        :param lease_s: duration that the owner grants, seconds.
        :returns: whether the acknowledgement is valid; a repeated or outdated one is, but renews
            nothing.
        """
        if term < self.term:
            return False
        self.term = term
        if seq not in self._sent_by_seq:
            return seq <= self._seq
        sent = self._sent_by_seq[seq]
        if lease_s is not None:
            self.lease_s = lease_s
        self.valid_from = sent if self.valid_from is None else max(self.valid_from, sent)
        self._sent_by_seq = {later: at for later, at in self._sent_by_seq.items() if later > seq}
        return True

    def expires_at(self):
        """Return when the lease expires, or None if there is none."""
        return None if self.valid_from is None else self.valid_from + self.lease_s

    def is_expired(self, now):
        """Return whether all tasks must be stopped; True also before the first lease."""
        return self.valid_from is None or now >= self.valid_from + self.lease_s

    def reset(self):
        """Begin a new session: acknowledgements of earlier heartbeats no longer renew the lease."""
        self._sent_by_seq = {}

    def key(self):
        """Return the state as a hashable value, equal for equal states."""
        return (
            self.lease_s,
            self.valid_from,
            self.term,
            self._seq,
            tuple(sorted(self._sent_by_seq.items())),
        )
