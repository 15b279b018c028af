"""Batching of quorum rounds: concurrent callers share one round.

>>> from anyio import run
>>> from siskintally.shared_confirm import SharedConfirm
>>> async def confirm():
...     print("round")
>>> async def main():
...     await SharedConfirm(confirm=confirm, window_s=0.0).wait()
>>> run(main)
round
"""

from anyio import Event, sleep

from siskintally.errors import NotLeaderError


class _Round:
    __slots__ = ("done", "error")

    def __init__(self):
        self.done = Event()
        self.error = None


class SharedConfirm:
    """Runs one quorum round for all callers that arrive within a window, at the end of the window.

    :param confirm: ``async confirm()`` of a group.
    :param window_s: how long the first caller waits for others, seconds.
    """

    __slots__ = ("_confirm", "_next", "_window_s", "rounds")

    def __init__(self, *, confirm, window_s):
        self._confirm = confirm
        self._window_s = window_s
        self._next = None
        self.rounds = 0

    async def wait(self):
        """Return after a successful round that began after the call.

        :raises NotLeaderError: leadership was lost.
        """
        waiting = self._next
        if waiting is not None:
            await waiting.done.wait()
            if waiting.error is not None:
                raise waiting.error
            return
        mine = self._next = _Round()
        try:
            await sleep(self._window_s)
            self._next = None
            self.rounds += 1
            await self._confirm()
        except BaseException as error:
            mine.error = error
            if not isinstance(error, Exception):
                mine.error = NotLeaderError("the quorum round was interrupted")
            raise
        finally:
            if self._next is mine:
                self._next = None
            mine.done.set()
