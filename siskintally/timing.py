"""Raft timing and limits: heartbeat and election timeouts, batch and window sizes.

>>> from siskintally.timing import Timing
>>> Timing(idle_heartbeat_s=0.4).idle_heartbeat_s
0.4
"""


class Timing:
    """Timeouts and intervals in seconds, and size limits of messages.

    :param busy_heartbeat_s: heartbeat interval to a peer that lacks entries or the commit index.
    :param idle_heartbeat_s: heartbeat interval to a peer that is up to date.
    :param election_min_s: minimum election timeout.
    :param election_max_s: time without replies from a quorum after which a leader steps down.
    :param chunk_bytes: maximum data of one snapshot chunk.
    :param batch_entries: maximum entries of one append.
    :param batch_bytes: maximum command bytes of one append, unless its first entry is larger.
    :param window_entries: unacknowledged entries to one replica above which sending pauses.
    :param first_timeout_factor: factor of the election timeout while a replica has had no contact
        with a leader since its start; after a restart of the whole group there is no leader.
    :param retry_timeout_factor: factor of the election timeout for a candidate that was not
        elected: there is no leader then that a new election could disrupt.
    :param exited_leader_timeout_factor: factor of ``election_min_s``, the time without contact to a
        leader after which it may be replaced, if its process is known to have exited.
    :param stagger_s: added to the election timeout for each voter that precedes in the order of
        names; longer than a round of votes, so that candidates rarely split the vote.
    :param election_spread_s: random part of the election timeout; by default the difference between
        ``election_max_s`` and ``election_min_s``.
    :param startup_vote_block_s: time after its start in which a replica ignores candidates for a
        newer term, because it may have followed a leader until shortly before. A candidate to which
        the leader transfers its leadership is not ignored.
    """

    __slots__ = (
        "batch_bytes",
        "batch_entries",
        "busy_heartbeat_s",
        "chunk_bytes",
        "election_max_s",
        "election_min_s",
        "election_spread_s",
        "exited_leader_timeout_factor",
        "first_timeout_factor",
        "idle_heartbeat_s",
        "retry_timeout_factor",
        "stagger_s",
        "startup_vote_block_s",
        "window_entries",
    )

    def __init__(
        self,
        *,
        busy_heartbeat_s=0.25,
        idle_heartbeat_s=0.5,
        election_min_s=1.0,
        election_max_s=2.0,
        chunk_bytes=65536,
        batch_entries=512,
        batch_bytes=262144,
        window_entries=4096,
        first_timeout_factor=1.0,
        retry_timeout_factor=1.0,
        exited_leader_timeout_factor=1.0,
        stagger_s=0.0,
        election_spread_s=None,
        startup_vote_block_s=0.0,
    ):
        self.busy_heartbeat_s = busy_heartbeat_s
        self.idle_heartbeat_s = idle_heartbeat_s
        self.election_min_s = election_min_s
        self.election_max_s = election_max_s
        self.chunk_bytes = chunk_bytes
        self.batch_entries = batch_entries
        self.batch_bytes = batch_bytes
        self.window_entries = window_entries
        self.first_timeout_factor = first_timeout_factor
        self.retry_timeout_factor = retry_timeout_factor
        self.exited_leader_timeout_factor = exited_leader_timeout_factor
        self.stagger_s = stagger_s
        if election_spread_s is None:
            election_spread_s = election_max_s - election_min_s
        self.election_spread_s = election_spread_s
        self.startup_vote_block_s = startup_vote_block_s
