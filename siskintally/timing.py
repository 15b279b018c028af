"""Intervals and limits of the consensus core.

>>> from siskintally.timing import Timing
>>> Timing(idle_beat_s=0.4).idle_beat_s
0.4
"""


class Timing:
    """Intervals in seconds and limits of messages.

    :param window_entries: entries sent to a replica ahead of its answers.
    :param first_election_share: part of the election timeout that a replica waits which has heard
        no leader since its start; after a restart of all, none is left to be heard.
    :param retry_election_share: the same for a candidate that was not elected: no leader is heard
        then, so nobody has to be protected from it.
    :param ended_leader_share: part of the election timeout after which the next leader may be
        elected once the process of the last one is known to have ended.
    :param stagger_s: added for each voter that comes before in the order of names; longer than a
        round of votes, so that two candidates rarely split the votes.
    :param election_spread_s: random part of the election timeout, None for all up to its maximum.
    :param quiet_start_s: time after its start in which a replica supports no candidate, because it
        may have followed a leader until shortly before.
    """

    __slots__ = (
        "batch_bytes",
        "batch_entries",
        "busy_beat_s",
        "chunk_bytes",
        "election_max_s",
        "election_min_s",
        "election_spread_s",
        "ended_leader_share",
        "first_election_share",
        "idle_beat_s",
        "quiet_start_s",
        "retry_election_share",
        "stagger_s",
        "window_entries",
    )

    def __init__(
        self,
        *,
        busy_beat_s=0.25,
        idle_beat_s=0.5,
        election_min_s=1.0,
        election_max_s=2.0,
        chunk_bytes=65536,
        batch_entries=512,
        batch_bytes=262144,
        window_entries=4096,
        first_election_share=1.0,
        retry_election_share=1.0,
        ended_leader_share=1.0,
        stagger_s=0.0,
        election_spread_s=None,
        quiet_start_s=0.0,
    ):
        self.busy_beat_s = busy_beat_s
        self.idle_beat_s = idle_beat_s
        self.election_min_s = election_min_s
        self.election_max_s = election_max_s
        self.chunk_bytes = chunk_bytes
        self.batch_entries = batch_entries
        self.batch_bytes = batch_bytes
        self.window_entries = window_entries
        self.first_election_share = first_election_share
        self.retry_election_share = retry_election_share
        self.ended_leader_share = ended_leader_share
        self.stagger_s = stagger_s
        if election_spread_s is None:
            election_spread_s = election_max_s - election_min_s
        self.election_spread_s = election_spread_s
        self.quiet_start_s = quiet_start_s
