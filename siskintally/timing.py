"""Intervals and limits of the consensus core.

>>> from siskintally.timing import Timing
>>> Timing(idle_beat_s=0.4).idle_beat_s
0.4
"""


class Timing:
    """Intervals in seconds and limits of messages.

    :param window_entries: entries sent to a replica ahead of its answers.
    """

    __slots__ = (
        "batch_bytes",
        "batch_entries",
        "busy_beat_s",
        "chunk_bytes",
        "election_max_s",
        "election_min_s",
        "idle_beat_s",
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
    ):
        self.busy_beat_s = busy_beat_s
        self.idle_beat_s = idle_beat_s
        self.election_min_s = election_min_s
        self.election_max_s = election_max_s
        self.chunk_bytes = chunk_bytes
        self.batch_entries = batch_entries
        self.batch_bytes = batch_bytes
        self.window_entries = window_entries
