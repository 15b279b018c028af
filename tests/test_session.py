"""Sessions whose peer sends what cannot be decoded or handled."""

from anyio import run, sleep_forever
from google.protobuf.message import DecodeError
from pytest import mark

from siskintally.codes import Code
from siskintally.session import Handler, Session, unwrap, wrap
from siskintally.wire_pb2 import ConfigWatch, Hello


class ScriptedStream:
    """Returns or raises each of some items when it is read; records what is written."""

    def __init__(self, *items):
        self.items = list(items)
        self.sent = []
        self.on_send = None

    async def recv_message(self):
        """Return the next item."""
        if not self.items:
            await sleep_forever()
        item = self.items.pop(0)
        if isinstance(item, Exception):
            raise item
        return item

    async def send_message(self, frame):
        """Record a frame and end the session."""
        self.sent.append(frame)
        self.on_send()


class FailingHandler(Handler):
    """Fails each call with an error without a code."""

    def __init__(self, error):
        self.error = error

    async def handle_call(self, session, body):
        """Fail."""
        raise self.error


def run_session(stream, handler=None):
    """Run a session on a stream until it ends."""
    session = Session(stream=stream, peer=Hello(name="p"), handler=handler or FailingHandler(None))
    stream.on_send = session.close
    run(session.run)
    return session


def test_bytes_that_are_no_frame_end_the_link_and_not_the_process():
    """Guards against a process that ends because a peer sent what it cannot decode."""
    assert run_session(ScriptedStream(DecodeError("truncated"))).closed


@mark.parametrize("error", [RecursionError(), OverflowError(), AttributeError("x"), IndexError()])
def test_a_call_that_fails_with_any_error_gets_a_failure_as_reply(error):
    """Guards against a process that ends because it could not handle one call."""
    stream = ScriptedStream(wrap(ConfigWatch(), call_id=3))
    run_session(stream, FailingHandler(error))
    [frame] = stream.sent
    assert (frame.id, frame.reply, unwrap(frame).code) == (3, True, Code.INTERNAL)
