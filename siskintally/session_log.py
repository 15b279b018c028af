"""Log lines and metrics of the sessions of a process: start, end, and what was in flight.

>>> from siskintally.session_log import EndReason
>>> EndReason.SILENT.value
'silent'
"""

from enum import StrEnum

from siskintally.clock import now as steady
from siskintally.log import get_logger
from siskintally.socket_info import read_socket_info

log = get_logger("session-log")


class EndReason(StrEnum):
    """Why a session ended."""

    CLOSED = "closed here"
    CONNECTION_LOST = "connection lost"
    PEER_CLOSED = "closed by the peer"
    SEND_FAILED = "send failed"
    SILENT = "silent"


def traffic_fields(stream, outbox):
    """Return log fields on what a session has received and what it has not delivered yet.

    ``queued_bytes`` wait in the send queue, ``buffered_bytes`` in the process behind it;
    ``unacked_bytes`` and ``received_bytes`` are those of the kernel. So bytes of a frame that has
    arrived only in part count too.

    :param stream: gRPC stream of the session.
    :param outbox: :class:`~siskintally.outbox.Outbox` of items with a ``frame``.
    """
    queued_bytes = sum(item.frame.ByteSize() for item in outbox.items() if item.frame is not None)
    fields = {"queued_frames": len(outbox.items()), "queued_bytes": queued_bytes}
    # grpclib has no public access to its transport.
    transport = stream.peer._transport
    if transport is None:
        return fields
    fields["buffered_bytes"] = transport.get_write_buffer_size()
    info = read_socket_info(transport.get_extra_info("socket"))
    return fields | info._asdict() if info is not None else fields


class SessionLog:
    """Records the sessions of one process; the reconnect backoff of links bounds the rate.

    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = ("_counters",)

    def __init__(self, *, counters):
        self._counters = counters

    def record_start(self, session):
        """Record a new session."""
        log.info("session begins", peer=session.peer.name, accepted=session.is_accepted)

    def record_end(self, session):
        """Record the end of a session."""
        reason = session.end_reason.value
        self._counters.sessions_ended.labels(reason).inc()
        log.info(
            "session ends",
            peer=session.peer.name,
            accepted=session.is_accepted,
            reason=reason,
            age_ms=round((steady() - session.started_at) * 1000),
        )
