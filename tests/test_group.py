"""Groups of three in one process: real timers and disks, messages in memory."""

from contextlib import asynccontextmanager
from json import dumps, loads

import pytest
from anyio import create_task_group, fail_after, run, sleep

from siskintally.errors import NotLeaderError, OutcomeUnknownError
from siskintally.group import Group
from siskintally.journal import bootstrap_replica
from siskintally.messages import voters_of
from siskintally.state_machine import StateMachine
from siskintally.timing import Timing
from siskintally.wire_pb2 import AppendReply, AppendRequest, JoinRequest

NAMES = ("s1", "s2", "s3")
LIMIT_S = 60
FAST = Timing(busy_heartbeat_s=0.1, idle_heartbeat_s=0.2, election_min_s=1.0, election_max_s=1.5)


class Journaled(StateMachine):
    """State machine that keeps the commands in order and replies with their count."""

    def __init__(self):
        self.commands = []
        self.applied = 0

    def apply(self, *, index, command):
        """Append a command."""
        assert index > self.applied
        self.applied = index
        self.commands.append(command.decode())
        return str(len(self.commands)).encode()

    def snapshot(self):
        """Return the commands as JSON."""
        return dumps([self.applied, self.commands]).encode()

    def restore(self, data):
        """Replace the commands."""
        self.applied, self.commands = loads(data)


class Cell:
    """Three stores with one group.

    Messages from and to the processes in ``cut``, and of the types in ``lose``, are dropped.
    """

    def __init__(self, folder, tasks, **options):
        self.folder = folder
        self.tasks = tasks
        self.options = {"timing": FAST, **options}
        self.cut = set()
        self.lose = ()
        self.failures = []
        self.expected_failures = 0
        self.group_by_name = {}
        self.scope_by_name = {}

    def start(self, name):
        """Start the replica of a process."""
        self.group_by_name[name] = Group(
            name="g",
            process=name,
            bootstrap_members=NAMES,
            folder=self.folder / name / "g",
            state_machine=Journaled(),
            send=lambda to, body: self.send(name, to, body),
            **self.options,
        )
        self.tasks.start_soon(self._run, name, self.group_by_name[name])

    async def _run(self, name, group):
        try:
            async with create_task_group() as tasks:
                self.scope_by_name[name] = tasks.cancel_scope
                await group.run()
        except ExceptionGroup as error:
            self.failures.append(error)

    def send(self, sender, to, body):
        """Deliver a message unless it is to be dropped."""
        if {sender, to} & self.cut or to not in self.group_by_name or isinstance(body, self.lose):
            return False
        self.group_by_name[to].receive(type(body).FromString(body.SerializeToString()))
        return True

    def kill(self, name):
        """End a replica without a handover."""
        self.scope_by_name[name].cancel()
        return self.group_by_name.pop(name)

    async def until(self, condition):
        """Wait for a condition."""
        while not condition():
            await sleep(0.01)

    async def leader(self, *, but=None):
        """Return the leader once there is one."""
        while True:
            for group in self.group_by_name.values():
                if group.is_leader and group is not but:
                    return group
            await sleep(0.01)

    async def propose(self, command):
        """Propose to the present leader; retry if it has lost leadership."""
        while True:
            try:
                return await (await self.leader()).propose(command)
            except NotLeaderError:
                await sleep(0.01)

    async def full(self):
        """Wait until all three processes are voters by a committed entry; return the leader."""
        while True:
            leader = await self.leader()
            present = {group.identity for group in self.group_by_name.values()}
            log = leader._replica.log
            is_committed = log.members_index <= leader.applied_index
            are_voters = set(voters_of(log.members)) == present
            if is_committed and are_voters and len(present) == len(NAMES):
                return leader
            await sleep(0.01)

    def commands(self, name):
        """Return the commands that the state machine of a process has applied."""
        return self.group_by_name[name]._applier._state_machine.commands


async def note_error(errors, call, *arguments):
    try:
        await call(*arguments)
    except (NotLeaderError, OutcomeUnknownError) as error:
        errors.append(type(error))


@asynccontextmanager
async def cell(folder, **options):
    with fail_after(LIMIT_S):
        async with create_task_group() as tasks:
            bootstrap_replica(folder / "s1" / "g", group="g", name="s1")
            cell = Cell(folder, tasks, **options)
            for name in NAMES:
                cell.start(name)
            yield cell
            tasks.cancel_scope.cancel()
            assert len(cell.failures) == cell.expected_failures, cell.failures


def check(folder, test, **options):
    async def main():
        async with cell(folder, **options) as running:
            await test(running)

    run(main)


def test_group_forms_from_one_founder_and_replies(tmp_path):
    """Guards the bootstrap: empty stores join by single steps, and every replica applies all."""

    async def test(cell):
        leader = await cell.full()
        replies = [await leader.propose(b"c%d" % n) for n in range(3)]
        assert replies == [b"1", b"2", b"3"]
        await leader.confirm_leadership()
        await leader.confirm_leadership(urgent=False)
        await cell.until(lambda: all(len(cell.commands(name)) == 3 for name in NAMES))

    check(tmp_path, test)


def test_founder_alone_accepts_nothing(tmp_path):
    """Guards against a commit stored on one disk only, before the other members have joined."""

    async def test(cell):
        cell.cut = {"s2", "s3"}
        group = cell.group_by_name["s1"]
        await cell.until(lambda: group.term > 1)
        await sleep(0.5)
        with pytest.raises(NotLeaderError):
            await group.propose(b"x")

    check(tmp_path, test)


def test_many_proposals_share_syncs(tmp_path):
    """Guards group commit: each proposal gets its reply, with far fewer syncs than proposals."""

    async def test(cell):
        leader = await cell.full()
        writes = 0
        journal = leader._disk.journal
        group = leader
        original = type(journal).write

        def write(self, effects, persistent_state):
            nonlocal writes
            writes += self is journal
            original(self, effects, persistent_state)

        type(journal).write = write
        replies = []

        async def propose(number):
            replies.append((number, int(await group.propose(b"%d" % number))))

        try:
            async with create_task_group() as tasks:
                for number in range(500):
                    tasks.start_soon(propose, number)
        finally:
            type(journal).write = original
        assert sorted(reply for _, reply in replies) == list(range(1, 501))
        assert writes < 50

    check(tmp_path, test)


def test_follower_names_the_leader(tmp_path):
    """Guards against callers that cannot find the leader from a follower's error."""

    async def test(cell):
        leader = await cell.full()
        follower = next(g for g in cell.group_by_name.values() if g is not leader)
        await cell.until(lambda: follower.leader == leader.process)
        with pytest.raises(NotLeaderError) as caught:
            await follower.propose(b"x")
        assert caught.value.leader == leader.process
        with pytest.raises(NotLeaderError):
            await follower.confirm_leadership()

    check(tmp_path, test)


def test_cut_leader_leaves_the_outcome_unknown_and_confirms_no_read(tmp_path):
    """Guards against a proposal reported as failed that may commit, and against a stale read."""

    async def test(cell):
        leader = await cell.full()
        cell.cut = {leader.process}
        errors = []

        async with create_task_group() as tasks:
            tasks.start_soon(note_error, errors, leader.propose, b"lost")
            tasks.start_soon(note_error, errors, leader.confirm_leadership)
        assert set(errors) == {OutcomeUnknownError, NotLeaderError}
        await cell.leader(but=leader)
        assert await cell.propose(b"kept") == b"1"
        cell.cut = set()
        await cell.until(lambda: all(cell.commands(name) == ["kept"] for name in NAMES))

    check(tmp_path, test)


def test_killed_leader_is_replaced_and_restarts_with_its_data(tmp_path):
    """Guards against the loss of acknowledged commands in a crash and restart from the journal."""

    async def test(cell):
        leader = await cell.full()
        for number in range(10):
            await leader.propose(b"%d" % number)
        identity = leader.identity
        name = cell.kill(leader.process).process
        await cell.propose(b"after")
        cell.start(name)
        expected = [*map(str, range(10)), "after"]
        await cell.until(lambda: cell.commands(name) == expected)
        assert cell.group_by_name[name].identity == identity

    check(tmp_path, test)


@pytest.mark.parametrize("loss", ["removed", "damaged"])
def test_lost_disk_joins_as_a_new_incarnation(tmp_path, loss):
    """Guards against a vote by a disk that lost its data, and a group that stays a voter short."""

    async def test(cell):
        leader = await cell.full()
        for number in range(40):
            await leader.propose(b"%d" % number)
        victim = next(name for name in NAMES if name != leader.process)
        group = cell.kill(victim)
        old = group.identity
        await cell.until(lambda: group._disk.journal is None)
        log = tmp_path / victim / "g" / "log"
        if loss == "removed":
            for path in log.parent.iterdir():
                path.unlink()
        else:
            log.write_bytes(b"?" + log.read_bytes()[1:])
        cell.start(victim)
        leader = await cell.full()
        assert old not in {member.identity for member in leader.members}
        await cell.until(lambda: len(cell.commands(victim)) == 40)
        kept = list((tmp_path / victim).glob("g.damaged-*"))
        assert len(kept) == (loss == "damaged")

    check(tmp_path, test, snapshot_entries=15, kept_entries=5)


def test_replaced_incarnation_that_returns_is_admitted_again(tmp_path):
    """Guards against a store that returns with its old disk and is never admitted again."""

    async def test(cell):
        leader = await cell.full()
        victim = next(name for name in NAMES if name != leader.process)
        old = leader._replica.identity
        for expected_new in (True, False):
            group = cell.kill(victim)
            await cell.until(lambda group=group: group._disk.journal is None)
            folder = tmp_path / victim / "g"
            folder.rename(folder.with_name("second" if not expected_new else "first"))
            if not expected_new:
                folder.with_name("first").rename(folder)
            else:
                old = group.identity
            cell.start(victim)
            leader = await cell.full()
            assert (cell.group_by_name[victim].identity != old) == expected_new
        await cell.propose(b"x")
        await cell.until(lambda: cell.commands(victim) == ["x"])

    check(tmp_path, test)


def test_snapshot_replaces_the_log_on_disk(tmp_path):
    """Guards against a log that grows without limit, and against a snapshot that loses entries."""

    async def test(cell):
        leader = await cell.full()
        victim = next(name for name in NAMES if name != leader.process)
        cell.cut = {victim}
        for number in range(60):
            await leader.propose(b"%d" % number)
        assert leader._replica.log.base_index > 20
        cell.cut = set()
        await cell.until(lambda: len(cell.commands(victim)) == 60)
        name = cell.kill(victim).process
        await sleep(0.1)
        cell.start(name)
        await cell.until(lambda: cell.commands(name) == [str(n) for n in range(60)])
        assert len(list((tmp_path / name / "g").glob("snapshot-*"))) == 1

    check(tmp_path, test, snapshot_entries=20, kept_entries=5)


def test_leadership_returns_to_the_first_member(tmp_path):
    """Guards against leaders of many groups that gather on the VMs that have not failed lately."""

    async def test(cell):
        await cell.full()
        await cell.until(lambda: cell.group_by_name["s1"].is_leader)
        await cell.until(lambda: cell.group_by_name["s1"]._disk.journal is not None)
        cell.kill("s1")
        other = await cell.leader()
        assert other.process != "s1"
        cell.start("s1")
        sent = 0
        while not cell.group_by_name["s1"].is_leader:
            # One proposal at a time, so that no outcome becomes unknown in the transfer.
            await cell.propose(b"%d" % sent)
            sent += 1
            await sleep(0.05)
        await cell.until(lambda: len(cell.commands("s1")) == sent)

    check(tmp_path, test, transfer_delay_s=0.5)


def test_stop_hands_leadership_over(tmp_path):
    """Guards against a planned stop that costs an election timeout or the reply of a proposal."""

    async def test(cell):
        leader = await cell.full()
        replies = []

        async def propose():
            replies.append(await leader.propose(b"x"))

        async with create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(propose)
            await sleep(0)
            tasks.start_soon(leader.stop)
        assert len(replies) == 20
        with pytest.raises(NotLeaderError):
            await leader.propose(b"y")
        other = await cell.leader(but=leader)
        assert other.term == leader.term
        assert await other.propose(b"z") == b"21"

    check(tmp_path, test, timing=Timing(election_min_s=3.0, election_max_s=4.0))


def test_watch_starts_with_the_present_and_ends_with_the_latest(tmp_path):
    """Guards against owners with an outdated leadership, and streams that outlive their owner.

    An owner may read slower than leadership changes.
    """

    async def test(cell):
        leader = await cell.full()
        stream = leader.watch()
        assert (await stream.receive()).is_leader
        cell.cut = {leader.process}
        lost = await stream.receive()
        assert not lost.is_leader
        stream.close()
        for number in range(40):
            leader._publish(lost._replace(term=lost.term + number + 1))
        assert not leader._leadership._watchers._streams

    check(tmp_path, test)


def test_failed_disk_ends_the_replica_and_its_calls(tmp_path):
    """Guards against an acknowledgement after a failed sync, and commands applied twice."""

    async def test(cell):
        leader = await cell.full()
        cell.expected_failures = 1
        errors = []

        await leader.propose(b"kept")
        with open("/dev/full", "ab", buffering=0) as full:
            leader._disk.journal._log = full
            async with create_task_group() as tasks:
                tasks.start_soon(note_error, errors, leader.propose, b"x")
                tasks.start_soon(note_error, errors, leader.propose, b"queued behind it")
        assert errors == [OutcomeUnknownError, NotLeaderError]
        assert not leader.is_leader
        await cell.until(lambda: cell.failures)
        assert isinstance(cell.failures[0].exceptions[0], OSError)
        cell.tasks.start_soon(leader.run)
        await cell.propose(b"after")
        await cell.until(lambda: cell.commands(leader.process) == ["kept", "after"])

    check(tmp_path, test, batch_items=1)


def test_join_request_tells_the_log_length_and_admits_no_stranger(tmp_path):
    """Guards ``init``, which is refused when a peer has a log, and the member set.

    A request by an unlisted process, or for a second incarnation of a live member, changes none.
    """

    async def test(cell):
        leader = await cell.full()
        question = JoinRequest(group="g", name="s2", incarnation="")
        assert (await leader.handle_join_request(question)).last_index > 1
        members = leader.members
        await leader.handle_join_request(JoinRequest(group="g", name="s9", incarnation="z"))
        await leader.handle_join_request(JoinRequest(group="g", name="s2", incarnation="late"))
        await leader.propose(b"x")
        await sleep(0.3)
        assert leader.members == members

    check(tmp_path, test)


def test_lost_answers_delay_but_lose_nothing(tmp_path):
    """Guards retransmission: for a while every append is dropped, then every reply."""

    async def test(cell):
        leader = await cell.full()
        cell.lose = AppendRequest
        async with create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(leader.propose, b"%d" % number)
            await sleep(0.15)
            cell.lose = AppendReply
            await sleep(0.15)
            cell.lose = ()
        await cell.until(lambda: all(len(cell.commands(name)) == 5 for name in NAMES))

    check(tmp_path, test, timing=Timing(busy_heartbeat_s=0.05, idle_heartbeat_s=0.1))
