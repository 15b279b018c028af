"""Main loop of a daemon: serves until SIGTERM or SIGINT, reloads at SIGHUP.

>>> from siskintally.daemon import serve_until_signal
>>> serve_until_signal.__name__
'serve_until_signal'
"""

from signal import SIGHUP, SIGINT, SIGTERM

from anyio import create_task_group, open_signal_receiver, run

from siskintally.held_signals import deliver
from siskintally.log import get_logger

log = get_logger("daemon")


def serve_until_signal(start, stop, reload=None):
    """Run a daemon; SIGTERM or SIGINT starts a planned stop.

    :param start: async function that serves until it is stopped.
    :param stop: async function that carries out the planned stop and makes ``start`` return.
    :param reload: function to call at SIGHUP, which raises no error; by default, SIGHUP ends the
        process.
    :returns: exit status 0.
    :raises SiskintallyError: the daemon failed; the first error of an exception group.
    """

    async def main():
        async with create_task_group() as tasks:
            tasks.start_soon(_stop_on_signal, stop)
            if reload is not None:
                tasks.start_soon(_reload_on_sighup, reload)
            await start()
            tasks.cancel_scope.cancel()

    try:
        run(main)
    except BaseExceptionGroup as group:
        raise _first_leaf(group) from group
    return 0


def _first_leaf(group):
    first = group.exceptions[0]
    return _first_leaf(first) if isinstance(first, BaseExceptionGroup) else first


async def _reload_on_sighup(reload):
    with open_signal_receiver(SIGHUP) as signals:
        deliver()
        async for _ in signals:
            log.info("reload")
            reload()


async def _stop_on_signal(stop):
    with open_signal_receiver(SIGINT, SIGTERM) as signals:
        async for number in signals:
            log.info("planned stop", signal=number.name)
            await stop()
