"""Log output under load and with a slow reader."""

from json import loads
from subprocess import run as run_process
from sys import executable

from siskintally.log_stream import BURST_LINES, LogStream

PROGRAM = """
from sys import argv
from siskintally.log import configure_logging, get_logger
configure_logging(process="p", to_stdout=True)
log = get_logger("m")
for number in range(int(argv[1])):
    log.info("x", number=number)
"""


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


def _log_lines(path, count):
    """Return the lines that a process writes which logs ``count`` events to standard output."""
    with path.open("wb") as file:
        run_process([executable, "-c", PROGRAM, str(count)], stdout=file, timeout=60, check=True)
    return [loads(line) for line in path.read_text(encoding="utf-8").splitlines()]


def test_a_burst_within_the_limit_is_written_whole(tmp_path):
    """Guards against a line that uses up two lines of the limit, one for its line end."""
    lines = _log_lines(tmp_path / "log", BURST_LINES)
    assert [line.get("number") for line in lines] == list(range(BURST_LINES))


def test_a_flood_leaves_whole_lines(tmp_path):
    """Guards against a line end that is dropped alone, so that two lines become one."""
    count = 8 * BURST_LINES
    lines = _log_lines(tmp_path / "log", count)
    written = [line["number"] for line in lines if "number" in line]
    assert BURST_LINES <= len(written) < count
    assert written == sorted(set(written))
