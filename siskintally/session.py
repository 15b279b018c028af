"""Session on an established link: calls, replies, one-way messages, pings.

>>> from siskintally.session import unwrap, wrap
>>> from siskintally.wire_pb2 import Ping
>>> frame = wrap(Ping(sent_at=1.5), call_id=7)
>>> frame.id, unwrap(frame).sent_at
(7, 1.5)
"""

from abc import ABC, abstractmethod
from time import monotonic

from anyio import ClosedResourceError, Event, create_task_group, move_on_after
from google.protobuf.message import DecodeError
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.errors import (
    OutcomeUnknownError,
    RefusedError,
    SiskintallyError,
    UnreachableError,
)
from siskintally.liveness import LinkAction, LinkTiming, Liveness
from siskintally.log import get_logger
from siskintally.outbox import Outbox
from siskintally.session_log import EndReason, traffic_fields
from siskintally.wire_pb2 import Failure, Frame, Ping, Pong

OUTBOX_FRAMES = 4096
BATCH_BYTES = 65536
CONNECTION_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    ClosedResourceError,
    DecodeError,
)

_FIELD_BY_TYPE = {
    field.message_type.name: field.name for field in Frame.DESCRIPTOR.oneofs_by_name["body"].fields
}

log = get_logger("session")


def wrap(body, *, call_id=0, reply=False):
    """Put a message into a frame.

    :param body: message of a type in the oneof ``body`` of Frame.
    :param call_id: number of the call, 0 for a message without a reply.
    :param reply: whether this is the reply to that call.
    """
    frame = Frame(id=call_id, reply=reply)
    getattr(frame, _FIELD_BY_TYPE[type(body).__name__]).CopyFrom(body)
    return frame


def unwrap(frame):
    """Return the message in a frame, or None if this version does not know its type."""
    field = frame.WhichOneof("body")
    return getattr(frame, field) if field else None


class Handler(ABC):
    """Callbacks of a process for the frames of its links."""

    __slots__ = ()

    @abstractmethod
    async def handle_call(self, session, body):
        """Handle a call and return the reply message.

        :raises SiskintallyError: sent to the calling process as a Failure with its code.
        """

    def handle_message(self, session, body):
        """Handle a message without a reply; must not block."""

    def handle_session_start(self, session):
        """Handle the start of a session; must not block."""

    def handle_session_end(self, session):
        """Handle the end of a session."""


class _QueuedFrame:
    __slots__ = ("done", "frame", "reply", "sent")

    def __init__(self, *, frame):
        self.frame = frame
        self.done = Event()
        self.reply = None
        self.sent = False


class Session:
    """One established link; either process may call the other.

    :param stream: gRPC stream of Frame messages.
    :param peer: Hello of the peer.
    :param handler: :class:`Handler` for calls and messages of the peer.
    :param timing: :class:`~siskintally.liveness.LinkTiming`.
    :param is_accepted: whether the peer opened the link.
    """

    __slots__ = (
        "_busy_since",
        "_handler",
        "_liveness",
        "_next_id",
        "_outbox",
        "_pending_by_id",
        "_scope",
        "_stream",
        "_tasks",
        "closed",
        "end_reason",
        "is_accepted",
        "peer",
        "started_at",
    )

    def __init__(self, *, stream, peer, handler, timing=None, is_accepted=False):
        self.peer = peer
        self.is_accepted = is_accepted
        self.started_at = steady()
        self.end_reason = None
        self.closed = False
        self._stream = stream
        self._handler = handler
        self._pending_by_id = {}
        self._busy_since = 0.0
        self._next_id = 1
        self._outbox = Outbox(max_items=OUTBOX_FRAMES)
        self._liveness = Liveness(timing=timing or LinkTiming(), now=monotonic())
        self._scope = None
        self._tasks = None

    async def call(self, body, *, timeout):
        """Send a message and wait for its reply.

        :param timeout: seconds.
        :raises UnreachableError: provably not sent.
        :raises OutcomeUnknownError: sent, but the timeout or the end of the session came before a
            reply.
        :raises RefusedError: the peer replied with an error code.
        """
        call_id = self._next_id
        self._next_id += 1
        pending = _QueuedFrame(frame=wrap(body, call_id=call_id))
        if not self._pending_by_id:
            self._busy_since = monotonic()
        self._pending_by_id[call_id] = pending
        try:
            self._enqueue(pending)
            with move_on_after(timeout):
                await pending.done.wait()
        finally:
            self._pending_by_id.pop(call_id, None)
            pending.frame = None
        return self._result(pending)

    def _result(self, pending):
        reply = pending.reply
        if reply is None:
            if pending.sent:
                raise OutcomeUnknownError(f"no reply from {self.peer.name}")
            raise UnreachableError(f"call not sent to {self.peer.name}")
        if isinstance(reply, Failure):
            raise RefusedError(reply.message, code=_to_code(reply.code), leader=reply.leader)
        return reply

    def send(self, body):
        """Send a message without a reply; it is dropped if the send queue is full or closed.

        :returns: whether the message was queued.
        """
        try:
            self._enqueue(_QueuedFrame(frame=wrap(body)))
        except UnreachableError:
            return False
        return True

    def close(self, reason=EndReason.CLOSED):
        """End the session; pending calls fail."""
        self._record_end(reason)
        self.closed = True
        if self._scope is not None:
            self._scope.cancel()

    def _record_end(self, reason):
        """Record why the session ends; the first reason counts."""
        if self.end_reason is None:
            self.end_reason = reason

    def _enqueue(self, pending):
        if self.closed:
            raise UnreachableError(f"link to {self.peer.name} is closed")
        if not self._outbox.put(pending):
            raise UnreachableError(f"send queue of the link to {self.peer.name} is full")

    async def run(self):
        """Send and receive frames until the link is closed or found silent."""
        self._handler.handle_session_start(self)
        try:
            async with create_task_group() as tasks:
                self._tasks = tasks
                self._scope = tasks.cancel_scope
                tasks.start_soon(self._write_frames)
                await self._read_frames()
                tasks.cancel_scope.cancel()
        finally:
            self._finish()

    def _finish(self):
        self.closed = True
        self._record_end(EndReason.CLOSED)
        for pending in self._pending_by_id.values():
            pending.done.set()
        self._outbox.close()
        self._handler.handle_session_end(self)

    async def _read_frames(self):
        try:
            while (frame := await self._stream.recv_message()) is not None:
                self._liveness.last_heard = monotonic()
                self._dispatch(frame)
                for batched in frame.batch:
                    self._dispatch(batched)
            self._record_end(EndReason.PEER_CLOSED)
        except CONNECTION_ERRORS as error:
            self._record_end(EndReason.CONNECTION_LOST)
            log.info("link lost", peer=self.peer.name, error=str(error))

    def _dispatch(self, frame):
        body = unwrap(frame)
        if body is None:
            return
        if frame.reply:
            self._resolve(frame.id, body)
        elif isinstance(body, Ping):
            self.send(Pong(sent_at=body.sent_at))
        elif isinstance(body, Pong):
            return
        elif frame.id:
            self._tasks.start_soon(self._run_call, frame.id, body)
        else:
            self._handler.handle_message(self, body)

    def _resolve(self, call_id, body):
        pending = self._pending_by_id.pop(call_id, None)
        if pending is not None:
            pending.reply = body
            pending.done.set()

    async def _run_call(self, call_id, body):
        try:
            reply = await self._handler.handle_call(self, body)
        except SiskintallyError as error:
            leader = getattr(error, "leader", "")
            reply = Failure(code=int(error.code), message=str(error), leader=leader)
        except Exception as error:  # a fault in one call must not end the process
            log.exception("call handler failed", peer=self.peer.name, body=type(body).__name__)
            reply = Failure(code=int(Code.INTERNAL), message=repr(error))
        try:
            self._enqueue(_QueuedFrame(frame=wrap(reply, call_id=call_id, reply=True)))
        except UnreachableError:
            log.info("reply dropped", peer=self.peer.name, body=type(body).__name__)

    async def _write_frames(self):
        try:
            while True:
                await self._outbox.wait()
                frames = list(self._queued_frames())
                if frames:
                    frames[0].batch.extend(frames[1:])
                    await self._stream.send_message(frames[0])
        except CONNECTION_ERRORS:
            self.close(EndReason.SEND_FAILED)

    def _queued_frames(self):
        """Yield queued frames, up to about 64 KiB, to be sent in one message.

        The frame of a call that has timed out is None; it is not sent.
        """
        size = 0
        while size <= BATCH_BYTES and (pending := self._outbox.pop()) is not None:
            if pending.frame is not None:
                pending.sent = True
                size += pending.frame.ByteSize()
                yield pending.frame

    def _record_received_data(self):
        """Count bytes as heard: a large message may take longer to arrive than a timeout."""
        # grpclib has no public access to its connection.
        data_at = self._stream._stream.connection.last_data_received
        if data_at is not None:
            self._liveness.last_heard = max(self._liveness.last_heard, data_at)

    def check_liveness(self, now):
        """Ping a peer that has sent nothing for a while; close the link if a ping is not answered.

        :param now: monotonic time, seconds.
        """
        self._record_received_data()
        busy_since = self._busy_since if self._pending_by_id else None
        action = self._liveness.next_action(now, busy_since=busy_since)
        if action == LinkAction.CLOSE:
            silent_s = round(now - self._liveness.last_heard, 1)
            traffic = traffic_fields(self._stream, self._outbox)
            log.info("link silent", peer=self.peer.name, seconds=silent_s, **traffic)
            self.close(EndReason.SILENT)
        elif action == LinkAction.PING:
            self.send(Ping(sent_at=now))


def _to_code(number):
    try:
        return Code(number)
    except ValueError:
        return Code.INTERNAL
