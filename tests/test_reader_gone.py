"""Commands whose output pipe is closed early by the reader."""

from subprocess import PIPE, Popen
from sys import executable


def test_a_command_ends_quietly_when_its_reader_has_gone():
    """Guards against a traceback after ``siskintally help | head -1``."""
    command = [executable, "-m", "siskintally.main", "help"]
    process = Popen(command, stdout=PIPE, stderr=PIPE)
    process.stdout.close()
    errors = process.stderr.read()
    assert process.wait() == 141
    assert errors == b""
