"""Structured logging: one JSON object per line.

>>> from siskintally.log import get_logger
>>> get_logger("entry") is not None
True
"""

from functools import partial
from os import set_blocking
from os import write as write_descriptor
from sys import stderr, stdout
from time import monotonic

from structlog import WriteLoggerFactory, configure, make_filtering_bound_logger
from structlog import get_logger as structlog_logger
from structlog.contextvars import bind_contextvars, merge_contextvars
from structlog.processors import JSONRenderer, TimeStamper, add_log_level, format_exc_info

from siskintally.log_stream import LogStream

LEVEL_BY_NAME = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def configure_logging(*, process, level="info", to_stdout=False):
    """Configure logging for this process.

    :param process: process name, added to each line.
    :param level: lowest level to log: ``debug``, ``info``, ``warning``, or ``error``.
    :param to_stdout: whether to log to standard output instead of standard error. Lines are then
        rate-limited, and dropped if the reader is too slow, so that logging never blocks.
    """
    configure(
        processors=[
            merge_contextvars,
            add_log_level,
            TimeStamper(fmt="iso", utc=True),
            format_exc_info,
            JSONRenderer(),
        ],
        wrapper_class=make_filtering_bound_logger(LEVEL_BY_NAME[level]),
        logger_factory=WriteLoggerFactory(file=_nonblocking_stdout() if to_stdout else stderr),
    )
    bind_contextvars(process=process)


def _nonblocking_stdout():
    descriptor = stdout.fileno()
    set_blocking(descriptor, False)
    return LogStream(write=partial(write_descriptor, descriptor), clock=monotonic)


def get_logger(module):
    """Return a logger that adds the module name to each line."""
    return structlog_logger(module=module)
