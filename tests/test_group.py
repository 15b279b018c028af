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
FAST_TIMING = Timing(
    busy_heartbeat_s=0.1, idle_heartbeat_s=0.2, election_min_s=1.0, election_max_s=1.5
)


class CommandList(StateMachine):
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


class Cluster:
    """Three stores with one group.

    ``isolated`` names processes whose messages are dropped, ``muted`` those from which they are,
    ``dropped_types`` the message types.

    :param inbox: function that returns an inbox to use in place of that of a group.
    """

    def __init__(self, folder, tasks, *, inbox=None, **options):
        self.inbox = inbox
        self.folder = folder
        self.tasks = tasks
        self.options = {"timing": FAST_TIMING, **options}
        self.isolated = set()
        self.muted = set()
        self.dropped_types = ()
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
            state_machine=CommandList(),
            send=lambda to, body: self.send(name, to, body),
            **self.options,
        )
        if self.inbox is not None:
            self.group_by_name[name]._inbox = self.inbox()
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
        if (
            {sender, to} & self.isolated
            or sender in self.muted
            or to not in self.group_by_name
            or isinstance(body, self.dropped_types)
        ):
            return False
        self.group_by_name[to].receive(type(body).FromString(body.SerializeToString()))
        return True

    def kill(self, name):
        """End a replica without a handover."""
        self.scope_by_name[name].cancel()
        return self.group_by_name.pop(name)

    async def wait_until(self, condition):
        """Wait for a condition."""
        while not condition():
            await sleep(0.01)

    async def leader(self, *, other_than=None):
        """Return the leader once there is one."""
        while True:
            for group in self.group_by_name.values():
                if group.is_leader and group is not other_than:
                    return group
            await sleep(0.01)

    async def propose(self, command):
        """Propose to the present leader; retry if it has lost leadership."""
        while True:
            try:
                return await (await self.leader()).propose(command)
            except NotLeaderError:
                await sleep(0.01)

    async def wait_until_joined(self):
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


async def record_error(errors, call, *arguments):
    try:
        await call(*arguments)
    except (NotLeaderError, OutcomeUnknownError) as error:
        errors.append(type(error))


@asynccontextmanager
async def cluster(folder, **options):
    with fail_after(LIMIT_S):
        async with create_task_group() as tasks:
            bootstrap_replica(folder / "s1" / "g", group="g", name="s1")
            cluster = Cluster(folder, tasks, **options)
            for name in NAMES:
                cluster.start(name)
            yield cluster
            tasks.cancel_scope.cancel()
            assert len(cluster.failures) == cluster.expected_failures, cluster.failures


def run_with_cluster(folder, scenario, **options):
    async def main():
        async with cluster(folder, **options) as started_cluster:
            await scenario(started_cluster)

    run(main)


def test_group_forms_from_one_bootstrapped_member_and_replies(tmp_path):
    """Guards the bootstrap: empty stores join by single steps, and every replica applies all."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        replies = [await leader.propose(b"c%d" % n) for n in range(3)]
        assert replies == [b"1", b"2", b"3"]
        await leader.confirm_leadership()
        await leader.confirm_leadership(urgent=False)
        await cluster.wait_until(lambda: all(len(cluster.commands(name)) == 3 for name in NAMES))

    run_with_cluster(tmp_path, scenario)


def test_bootstrapped_member_alone_accepts_no_proposal(tmp_path):
    """Guards against a commit stored on one disk only, before the other members have joined."""

    async def scenario(cluster):
        cluster.isolated = {"s2", "s3"}
        group = cluster.group_by_name["s1"]
        await cluster.wait_until(lambda: group.term > 1)
        await sleep(0.5)
        with pytest.raises(NotLeaderError):
            await group.propose(b"x")

    run_with_cluster(tmp_path, scenario)


def test_many_proposals_share_syncs(tmp_path):
    """Guards group commit: each proposal gets its reply, with far fewer syncs than proposals."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
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

    run_with_cluster(tmp_path, scenario)


def test_follower_names_the_leader(tmp_path):
    """Guards against callers that cannot find the leader from a follower's error."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        follower = next(g for g in cluster.group_by_name.values() if g is not leader)
        await cluster.wait_until(lambda: follower.leader == leader.process)
        with pytest.raises(NotLeaderError) as caught:
            await follower.propose(b"x")
        assert caught.value.leader == leader.process
        with pytest.raises(NotLeaderError):
            await follower.confirm_leadership()

    run_with_cluster(tmp_path, scenario)


def test_isolated_leader_leaves_the_outcome_unknown_and_confirms_no_read(tmp_path):
    """Guards against a proposal reported as failed that may commit, and against a stale read."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        cluster.isolated = {leader.process}
        errors = []

        async with create_task_group() as tasks:
            tasks.start_soon(record_error, errors, leader.propose, b"lost")
            tasks.start_soon(record_error, errors, leader.confirm_leadership)
        assert set(errors) == {OutcomeUnknownError, NotLeaderError}
        await cluster.leader(other_than=leader)
        assert await cluster.propose(b"kept") == b"1"
        cluster.isolated = set()
        await cluster.wait_until(lambda: all(cluster.commands(name) == ["kept"] for name in NAMES))

    run_with_cluster(tmp_path, scenario)


def test_killed_leader_is_replaced_and_restarts_with_its_data(tmp_path):
    """Guards against the loss of acknowledged commands in a crash and restart from the journal."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        for number in range(10):
            await leader.propose(b"%d" % number)
        identity = leader.identity
        name = cluster.kill(leader.process).process
        await cluster.propose(b"after")
        cluster.start(name)
        expected = [*map(str, range(10)), "after"]
        await cluster.wait_until(lambda: cluster.commands(name) == expected)
        assert cluster.group_by_name[name].identity == identity

    run_with_cluster(tmp_path, scenario)


@pytest.mark.parametrize("loss", ["removed", "damaged"])
def test_lost_disk_joins_as_a_new_incarnation(tmp_path, loss):
    """Guards against a vote by a disk that lost its data, and a group that stays a voter short."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        for number in range(40):
            await leader.propose(b"%d" % number)
        follower_name = next(name for name in NAMES if name != leader.process)
        group = cluster.kill(follower_name)
        old = group.identity
        await cluster.wait_until(lambda: group._disk.journal is None)
        log = tmp_path / follower_name / "g" / "log"
        if loss == "removed":
            for path in log.parent.iterdir():
                path.unlink()
        else:
            log.write_bytes(b"?" + log.read_bytes()[1:])
        cluster.start(follower_name)
        leader = await cluster.wait_until_joined()
        assert old not in {member.identity for member in leader.members}
        await cluster.wait_until(lambda: len(cluster.commands(follower_name)) == 40)
        damaged_folders = list((tmp_path / follower_name).glob("g.damaged-*"))
        assert len(damaged_folders) == (loss == "damaged")

    run_with_cluster(tmp_path, scenario, snapshot_entries=15, kept_entries=5)


def test_replaced_incarnation_that_returns_is_admitted_again(tmp_path):
    """Guards against a store that returns with its old disk and is never admitted again."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        follower_name = next(name for name in NAMES if name != leader.process)
        old = leader._replica.identity
        for expected_new in (True, False):
            group = cluster.kill(follower_name)
            await cluster.wait_until(lambda group=group: group._disk.journal is None)
            folder = tmp_path / follower_name / "g"
            folder.rename(folder.with_name("second" if not expected_new else "first"))
            if not expected_new:
                folder.with_name("first").rename(folder)
            else:
                old = group.identity
            cluster.start(follower_name)
            leader = await cluster.wait_until_joined()
            assert (cluster.group_by_name[follower_name].identity != old) == expected_new
        await cluster.propose(b"x")
        await cluster.wait_until(lambda: cluster.commands(follower_name) == ["x"])

    run_with_cluster(tmp_path, scenario)


def test_snapshot_replaces_the_log_on_disk(tmp_path):
    """Guards against a log that grows without limit, and against a snapshot that loses entries."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        follower_name = next(name for name in NAMES if name != leader.process)
        cluster.isolated = {follower_name}
        for number in range(60):
            await leader.propose(b"%d" % number)
        assert leader._replica.log.base_index > 20
        cluster.isolated = set()
        await cluster.wait_until(lambda: len(cluster.commands(follower_name)) == 60)
        name = cluster.kill(follower_name).process
        await sleep(0.1)
        cluster.start(name)
        await cluster.wait_until(lambda: cluster.commands(name) == [str(n) for n in range(60)])
        assert len(list((tmp_path / name / "g").glob("snapshot-*"))) == 1

    run_with_cluster(tmp_path, scenario, snapshot_entries=20, kept_entries=5)


def test_leadership_returns_to_the_first_member(tmp_path):
    """Guards against leaders of many groups that gather on the VMs that have not failed lately."""

    async def scenario(cluster):
        await cluster.wait_until_joined()
        await cluster.wait_until(lambda: cluster.group_by_name["s1"].is_leader)
        await cluster.wait_until(lambda: cluster.group_by_name["s1"]._disk.journal is not None)
        cluster.kill("s1")
        other = await cluster.leader()
        assert other.process != "s1"
        cluster.start("s1")
        sent = 0
        while not cluster.group_by_name["s1"].is_leader:
            # One proposal at a time, so that no outcome becomes unknown in the transfer.
            await cluster.propose(b"%d" % sent)
            sent += 1
            await sleep(0.05)
        await cluster.wait_until(lambda: len(cluster.commands("s1")) == sent)

    run_with_cluster(tmp_path, scenario, transfer_delay_s=0.5)


def test_stop_hands_leadership_over(tmp_path):
    """Guards against a planned stop that costs an election timeout or the reply of a proposal."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
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
        other = await cluster.leader(other_than=leader)
        assert other.term == leader.term
        assert await other.propose(b"z") == b"21"

    run_with_cluster(tmp_path, scenario, timing=Timing(election_min_s=3.0, election_max_s=4.0))


def test_watch_starts_with_the_present_leadership_and_is_closed_with_its_stream(tmp_path):
    """Guards against owners with an outdated leadership, and streams that outlive their owner.

    An owner may read slower than leadership changes.
    """

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        stream = leader.watch()
        assert (await stream.receive()).is_leader
        cluster.isolated = {leader.process}
        leadership = await stream.receive()
        assert not leadership.is_leader
        stream.close()
        for number in range(40):
            leader._publish(leadership._replace(term=leadership.term + number + 1))
        assert not leader._leadership._watchers._streams

    run_with_cluster(tmp_path, scenario)


def test_failed_disk_ends_the_replica_and_its_calls(tmp_path):
    """Guards against an acknowledgement after a failed sync, and commands applied twice."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        cluster.expected_failures = 1
        errors = []

        await leader.propose(b"kept")
        with open("/dev/full", "ab", buffering=0) as full_device:
            leader._disk.journal._log = full_device
            async with create_task_group() as tasks:
                tasks.start_soon(record_error, errors, leader.propose, b"x")
                tasks.start_soon(record_error, errors, leader.propose, b"queued behind it")
        assert errors == [OutcomeUnknownError, NotLeaderError]
        assert not leader.is_leader
        await cluster.wait_until(lambda: cluster.failures)
        assert isinstance(cluster.failures[0].exceptions[0], OSError)
        cluster.tasks.start_soon(leader.run)
        await cluster.propose(b"after")
        await cluster.wait_until(lambda: cluster.commands(leader.process) == ["kept", "after"])

    run_with_cluster(tmp_path, scenario, batch_items=1)


def test_join_reply_reports_the_log_length_and_admits_no_unlisted_process(tmp_path):
    """Guards ``init``, which is refused when a peer has a log, and the member set.

    A request by an unlisted process, or for a second incarnation of a live member, changes none.
    """

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        request = JoinRequest(group="g", name="s2", incarnation="")
        assert (await leader.handle_join_request(request)).last_index > 1
        members = leader.members
        await leader.handle_join_request(JoinRequest(group="g", name="s9", incarnation="z"))
        await leader.handle_join_request(JoinRequest(group="g", name="s2", incarnation="late"))
        await leader.propose(b"x")
        await sleep(0.3)
        assert leader.members == members

    run_with_cluster(tmp_path, scenario)


def test_dropped_messages_delay_commands_but_lose_none(tmp_path):
    """Guards retransmission: for a while every append is dropped, then every reply."""

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        cluster.dropped_types = AppendRequest
        async with create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(leader.propose, b"%d" % number)
            await sleep(0.15)
            cluster.dropped_types = AppendReply
            await sleep(0.15)
            cluster.dropped_types = ()
        await cluster.wait_until(lambda: all(len(cluster.commands(name)) == 5 for name in NAMES))

    run_with_cluster(tmp_path, scenario, timing=Timing(busy_heartbeat_s=0.05, idle_heartbeat_s=0.1))
