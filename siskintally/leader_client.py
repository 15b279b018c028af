"""Client for the leader of a group: finds the leader among the members and calls it.

>>> from siskintally.leader_client import LeaderClient
>>> client = LeaderClient(group="cell", members=("s1", "s2"), call=None)
>>> client.members_to_try()
['s1', 's2']
"""

from time import monotonic

from anyio import sleep

from siskintally.codes import Code
from siskintally.errors import NotLeaderError, OutcomeUnknownError, RefusedError, UnreachableError

RETRY_DELAY_S = 0.1


class LeaderClient:
    """Finds the leader of a group and calls it.

    :param group: group name, for error messages.
    :param members: process names of the stores of the group.
    :param call: ``async call(process_name, body, timeout=seconds)`` that returns the reply.
    """

    __slots__ = ("_call", "_leader", "group", "members")

    def __init__(self, *, group, members, call):
        self.group = group
        self.members = members
        self._call = call
        self._leader = ""

    def members_to_try(self):
        """Return the members in the order to try them: the last known leader first."""
        return sorted(self.members, key=lambda name: name != self._leader)

    async def call(self, body, *, timeout, attempt_timeout=None, idempotent=False):
        """Call the leader; try members until one that leads replies or the timeout expires.

        :param timeout: seconds, over all attempts.
        :param attempt_timeout: seconds for one attempt; the default is ``timeout``.
        :param idempotent: whether a call with an unknown outcome may be sent again.
        :raises NotLeaderError: no leader was found; the call had no effect.
        :raises OutcomeUnknownError: the call was sent and its effect is not known.
        :raises RefusedError: the leader replied with an error code, and no earlier attempt can
            have had an effect.
        """
        deadline = monotonic() + timeout
        may_have_run = False
        while True:
            for name in self.members_to_try():
                remaining = min(deadline - monotonic(), attempt_timeout or timeout)
                if remaining <= 0:
                    break
                try:
                    return await self._call_member(name, body, remaining)
                except (NotLeaderError, UnreachableError):
                    continue
                except RefusedError as error:
                    if may_have_run:
                        raise OutcomeUnknownError(
                            f"refused, but an earlier attempt may have run: {error}"
                        ) from error
                    raise
                except OutcomeUnknownError:
                    self._leader = ""
                    may_have_run = True
                    if not idempotent:
                        raise
            if monotonic() + RETRY_DELAY_S >= deadline:
                break
            await sleep(RETRY_DELAY_S)
        if may_have_run:
            raise OutcomeUnknownError(f"group {self.group}: no reply in {timeout} s")
        raise NotLeaderError(f"group {self.group}: no leader found in {timeout} s")

    async def _call_member(self, name, body, timeout):
        try:
            reply = await self._call(name, body, timeout=timeout)
        except RefusedError as error:
            if error.code != Code.NOT_LEADER:
                raise
            self._leader = error.leader if error.leader in self.members else ""
            raise NotLeaderError(str(error), leader=error.leader) from error
        self._leader = name
        return reply
