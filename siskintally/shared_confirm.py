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

    __slots__ = ("_confirm", "_pending", "_window_s", "round_count")

    def __init__(self, *, confirm, window_s):
        self._confirm = confirm
        self._window_s = window_s
        self._pending = None
        self.round_count = 0

    async def wait(self):
        """Return after a successful round that began after the call.

        :raises NotLeaderError: leadership was lost.
        """
        pending = self._pending
        if pending is not None:
            await pending.done.wait()
            if pending.error is not None:
                raise pending.error
            return
        own = self._pending = _Round()
        try:
            await sleep(self._window_s)
            self._pending = None
            self.round_count += 1
            await self._confirm()
        except BaseException as error:
            own.error = error
            if not isinstance(error, Exception):
                own.error = NotLeaderError("the quorum round was interrupted")
            raise
        finally:
            if self._pending is own:
                self._pending = None
            own.done.set()
