"""Log output under load and with a slow reader."""

from siskintally.log_stream import LogStream


class FakePipe:
    """Pipe whose reader may be slow or closed."""

    def __init__(self):
        self.lines = []
        self.error = None

    def write(self, data):
        """Store a line, or fail as a full or closed pipe does."""
        if self.error is not None:
            raise self.error
        self.lines.append(data.decode())
        return len(data)


def test_a_flood_of_lines_is_bounded_and_counted():
    """Guards against log output that costs more than the work it records."""
    pipe, now = FakePipe(), [0.0]
    stream = LogStream(write=pipe.write, clock=lambda: now[0], lines_per_s=10, burst_lines=5)
    for _ in range(100):
        stream.write("x\n")
    assert (len(pipe.lines), stream.dropped) == (5, 95)
    now[0] = 0.1
    stream.write("y\n")
    assert '"count": 95' in pipe.lines[5]
    assert pipe.lines[6:] == ["y\n"]


def test_a_reader_that_does_not_read_never_blocks_the_process():
    """Guards against a process that blocks on its own log output."""
    pipe = FakePipe()
    stream = LogStream(write=pipe.write, clock=lambda: 0.0)
    for error in (BlockingIOError(), BrokenPipeError()):
        pipe.error = error
        stream.write("lost\n")
    pipe.error = None
    stream.write("kept\n")
    assert '"count": 2' in pipe.lines[0]
    assert pipe.lines[1] == "kept\n"
