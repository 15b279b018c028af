"""Supervisor of tasks: restarts those that fail, and fails itself if one fails too often.

>>> from anyio import run
>>> from siskintally.supervisor import Supervisor
>>> async def child():
...     print("ran")
>>> async def main():
...     supervisor = Supervisor(name="demo")
...     supervisor.add("child", child, restart=False)
...     await supervisor.run()
>>> run(main)
ran
"""

from time import monotonic

from anyio import create_task_group, sleep

from siskintally.errors import SiskintallyError
from siskintally.log import get_logger

MAX_RESTARTS = 5
RESTART_WINDOW_S = 30.0
RESTART_DELAY_S = 0.2

log = get_logger("supervisor")


class TooManyRestartsError(SiskintallyError):
    """A child failed too often; its supervisor fails too."""


class Supervisor:
    """Runs child tasks and restarts those that fail.

    If a child fails more than 5 times in 30 s, :meth:`run` raises, so that the caller can act.

    :param name: shown in logs.
    """

    __slots__ = ("_children", "_scope", "name")

    def __init__(self, *, name):
        self.name = name
        self._children = []
        self._scope = None

    def add(self, name, start, *, restart=True):
        """Add a child; to be called before :meth:`run`.

        :param name: shown in logs.
        :param start: async function without arguments.
        :param restart: whether to start it again after an exception.
        """
        self._children.append((name, start, restart))

    async def run(self):
        """Run all children until all have ended or :meth:`stop` is called.

        :raises ExceptionGroup: of a TooManyRestartsError if a child failed too often, or of the
            exception of a child that is not to be restarted.
        """
        async with create_task_group() as tasks:
            self._scope = tasks.cancel_scope
            for name, start, restart in self._children:
                tasks.start_soon(self._run_child, name, start, restart)

    def stop(self):
        """Cancel all children."""
        if self._scope is not None:
            self._scope.cancel()

    async def _run_child(self, name, start, restart):
        failures = []
        while True:
            try:
                await start()
                return
            except Exception:
                if not restart:
                    raise
                log.exception("child failed", supervisor=self.name, child=name)
            now = monotonic()
            failures = [at for at in failures if now - at < RESTART_WINDOW_S] + [now]
            if len(failures) > MAX_RESTARTS:
                raise TooManyRestartsError(f"{self.name}: {name} failed {len(failures)} times")
            await sleep(RESTART_DELAY_S)
