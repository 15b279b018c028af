"""Consensus core under virtual time: elections, replication, snapshots, members, random runs."""

from random import Random

import pytest

from siskintally.effects import Effects
from siskintally.election import Role
from siskintally.errors import BadRequestError, NotLeaderError
from siskintally.group_disk import GroupDisk
from siskintally.leader_preference import LeaderPreference
from siskintally.member_admission import MemberAdmission
from siskintally.membership import add_learner, next_promotion_step
from siskintally.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    Identity,
    Member,
    TransferLeadership,
    VoteReply,
    VoteRequest,
    voters_of,
)
from siskintally.persistent_state import PersistentState, bootstrap_state
from siskintally.replica import Replica
from siskintally.roster import FixedRoster
from siskintally.timing import Timing

NAMES = ("a", "b", "c")
DISK = GroupDisk(folder=None, group="g", process="p", in_thread=True)
SMALL_TIMING = Timing(chunk_bytes=7, batch_entries=3, window_entries=6)


class Node:
    """A replica, its disk and its state machine, which is the list of applied commands.

    It asserts that entries are applied in order and that no read misses an earlier commit.
    """

    def __init__(self, net, identity, persistent_state):
        self.net = net
        self.identity = identity
        self.disk = persistent_state
        self.replica = None
        self.start()

    def start(self):
        """Start, or restart after a crash, from the disk."""
        self.replica = Replica(
            identity=self.identity,
            persistent_state=self.disk,
            timing=self.net.timing,
            election_timeout=lambda: self.net.random.uniform(1.0, 2.0),
            now=self.net.now,
        )
        self.unsynced = None
        data = self.disk.snapshot.data
        self.state = data.decode().split(",") if data else []
        self.applied = self.disk.snapshot.index
        self.reads = {}

    def call(self, method, *arguments, sync=True, **options):
        """Call a transition of the replica; without ``sync`` the node crashes before the write."""
        effects = getattr(self.replica, method)(*arguments, **options)
        if not sync:
            self.start()
            return effects
        last = (self.replica.log.last_index, self.replica.log.last_term)
        if self.net.writes_behind and DISK.can_write_behind(effects, self.replica):
            self.unsynced = last
            self._send_and_apply(effects)
            return effects
        if effects.must_sync:
            self.disk, self.unsynced = self.replica.persistent_state, None
        self._send_and_apply(effects, last)
        return effects

    def flush(self):
        """Sync the entries that the leader sent before its own disk had them."""
        if self.unsynced is not None:
            last, self.unsynced = self.unsynced, None
            self.disk = self.replica.persistent_state
            self._apply(self.replica.mark_synced(*last, self.net.now))
            self.net.check_leader(self)

    def _send_and_apply(self, effects, last=None):
        for envelope in effects.messages:
            self.net.send(self.identity, envelope)
        self._apply(effects)
        if last is not None and effects.must_sync:
            self._apply(self.replica.mark_synced(*last, self.net.now))
        self.net.check_leader(self)

    def _apply(self, effects):
        if effects.restore is not None:
            data = effects.restore.data
            self.state = data.decode().split(",") if data else []
            self.applied = effects.restore.index
        for entry in effects.committed:
            assert entry.index == self.applied + 1
            self.applied = entry.index
            if entry.kind == EntryKind.COMMAND:
                self.state.append(entry.command.decode())
            self.net.record_committed(self, entry)
        if effects.confirmed_round:
            for round_, min_index in list(self.reads.items()):
                if round_ <= effects.confirmed_round:
                    del self.reads[round_]
                    assert self.applied >= min_index, "a read missed a commit that preceded it"


class Net:
    """Nodes, messages in flight, and every entry that was ever committed."""

    def __init__(self, seed=0, names=NAMES, timing=SMALL_TIMING, writes_behind=False):
        self.random = Random(seed)
        self.writes_behind = writes_behind
        self.timing = timing
        self.now = 0.0
        self.in_flight = []
        self.committed = {}
        self.state_by_index = {}
        self.leader_by_term = {}
        self.isolated = set()
        identities = [Identity(name, f"{name}0") for name in names]
        self.nodes = {i.name: Node(self, i, bootstrap_state(identities)) for i in identities}

    def send(self, sender, envelope):
        """Put a message in flight."""
        self.in_flight.append((sender.name, envelope.to.name, envelope.message))

    def deliver(self, position=0, *, sync=True):
        """Deliver a message in flight."""
        sender, to, message = self.in_flight.pop(position)
        if to in self.nodes and not {sender, to} & self.isolated:
            self.nodes[to].call("receive", message, self.now, sync=sync)

    def settle(self):
        """Deliver until nothing is in flight."""
        for _ in range(10000):
            if not self.in_flight:
                return
            self.deliver()
        raise AssertionError("messages are still in flight after 10000 deliveries")

    def run(self, seconds, step=0.05, flush=False):
        """Let virtual time pass.

        :param flush: whether leaders sync the entries that they sent before writing them.
        """
        for _ in range(round(seconds / step)):
            self.now += step
            for node in self.nodes.values():
                if node.identity.name not in self.isolated:
                    node.call("tick", self.now)
                if flush:
                    node.flush()
            self.settle()

    def elect(self, name):
        """Make a node the leader."""
        for _ in range(20):
            self.nodes[name].replica.expire_election_timers()
            for node in self.nodes.values():
                node.replica.leader_contact_at = float("-inf")
            self.nodes[name].call("tick", self.now)
            self.settle()
            if self.nodes[name].replica.is_leader:
                return self.nodes[name]
        raise AssertionError("not elected")

    def leaders(self):
        """Return the nodes that consider themselves the leader."""
        return [node for node in self.nodes.values() if node.replica.is_leader]

    def wipe(self, name):
        """Replace the disk of a node with an empty one and give the node a new incarnation."""
        new_identity = Identity(name, f"{name}{self.random.getrandbits(40):x}")
        self.nodes[name] = Node(self, new_identity, PersistentState())
        return new_identity

    def record_committed(self, node, entry):
        """Check state machine safety: the same entry and the same state at each index."""
        first = self.committed.setdefault(entry.index, entry)
        assert first == entry, f"two entries committed at {entry.index}: {first} {entry}"
        state = tuple(node.state)
        assert self.state_by_index.setdefault(entry.index, state) == state, "state machines differ"

    def check_leader(self, node):
        """Check election safety and leader completeness."""
        replica = node.replica
        if not replica.is_leader:
            return
        first = self.leader_by_term.setdefault(replica.term, node.identity)
        assert first == node.identity, f"two leaders in term {replica.term}"
        for index, entry in self.committed.items():
            if entry.term < replica.term and index > replica.log.base_index:
                assert replica.log.term_at(index) == entry.term, f"leader lacks entry {index}"

    def check_logs_match(self):
        """Check log matching for each pair of logs."""
        logs = [node.replica.log for node in self.nodes.values()]
        for log in logs:
            for other in logs:
                base = max(log.base_index, other.base_index)
                same_term = [
                    index
                    for index in range(base + 1, min(log.last_index, other.last_index) + 1)
                    if log.term_at(index) == other.term_at(index)
                ]
                if same_term:
                    last = same_term[-1]
                    assert log.entries_between(base + 1, last) == other.entries_between(
                        base + 1, last
                    )


def test_one_leader_is_elected_and_keeps_leadership():
    """Guards against elections that never end or that replace a live leader."""
    net = Net(seed=1)
    net.run(6)
    (leader,) = net.leaders()
    term = leader.replica.term
    net.run(20)
    assert [node.identity for node in net.leaders()] == [leader.identity]
    assert leader.replica.term == term


def test_idle_group_sends_few_messages():
    """Guards the limit on idle messages: 2 heartbeats a second to each follower, and replies."""
    net = Net(seed=1)
    # Heartbeats fall on multiples of 0.5 s; 10 s that begin between two of them hold 20.
    net.run(8.2)
    sent = 0
    for _ in range(200):
        net.now += 0.05
        for node in net.nodes.values():
            node.call("tick", net.now)
        sent += len(net.in_flight)
        net.settle()
    assert sent <= 10 * 2 * 2


def test_entry_of_an_older_term_is_not_committed_by_counting():
    """Guards against the loss of a committed entry of an earlier term (Raft, 5.4.2).

    A majority that has stored such an entry can still be overruled by a leader that lacks it.
    """
    net = Net()
    a = net.elect("a")
    net.isolated = {"c"}
    a.call("propose", b"x", net.now)
    net.in_flight.clear()
    index = a.replica.log.last_index
    a.replica.term += 1
    a.replica.progress_by_id[net.nodes["b"].identity].match_index = index
    a.call("mark_synced", index, a.replica.log.last_term, net.now)
    assert a.replica.commit_index < index


def test_leader_cut_from_its_quorum_steps_down_and_its_reads_fail():
    """Guards against stale reads by a leader that another one has replaced."""
    net = Net(seed=3)
    a = net.elect("a")
    net.isolated = {"a"}
    effects = a.call("start_read_round", net.now)
    assert effects.read_round == 1 and effects.confirmed_round == 0
    net.in_flight.clear()
    net.now += 2.1
    a.call("tick", net.now)
    assert not a.replica.is_leader
    with pytest.raises(NotLeaderError):
        a.call("propose", b"x", net.now)


def test_read_round_counts_only_answers_to_messages_sent_after_it():
    """Guards against a stale read confirmed by a reply to a message sent before the read.

    Another leader may have been elected since that message.
    """
    net = Net()
    a = net.elect("a")
    b = net.nodes["b"].identity
    a.call("start_read_round", net.now)
    net.in_flight.clear()
    early = AppendReply(term=a.replica.term, sender=b, accepted=True, match_index=2, round=0)
    assert a.call("receive", early, net.now).confirmed_round == 0
    assert a.call("receive", early._replace(round=1), net.now).confirmed_round == 1


def test_reply_for_which_a_commit_or_read_waits_is_no_keepalive():
    """Guards against a commit or a read that waits for the next heartbeat.

    A keepalive does not wake the task of the group.
    """
    net = Net()
    a = net.elect("a")
    net.run(1)
    index, b = a.replica.log.last_index, net.nodes["b"].identity
    reply = AppendReply(
        term=a.replica.term, sender=b, accepted=True, match_index=index, round=a.replica.read_round
    )
    assert a.replica.is_keepalive(reply)
    assert not a.replica.is_keepalive(reply._replace(accepted=False))
    assert not a.replica.is_keepalive(reply._replace(match_index=index - 1))
    assert not a.replica.is_keepalive(reply._replace(term=a.replica.term - 1))
    assert not a.replica.is_keepalive(reply._replace(sender=Identity("d", "d0")))
    a.call("start_read_round", net.now, urgent=False)
    assert not a.replica.is_keepalive(reply)
    net.run(1)
    a.call("propose", b"x", net.now)
    assert not a.replica.is_keepalive(reply)


def test_isolated_voter_does_not_raise_terms():
    """Guards against a reconnected voter that replaces the leader by a higher term (pre-vote)."""
    net = Net(seed=5)
    leader = net.elect("a")
    net.isolated = {"c"}
    net.run(15)
    net.isolated = set()
    net.run(5)
    assert leader.replica.is_leader
    assert net.nodes["c"].replica.term == leader.replica.term


def test_vote_request_is_ignored_while_the_leader_is_reachable():
    """Guards against disruption by a removed member that still asks for votes."""
    net = Net()
    net.elect("a")
    b = net.nodes["b"]
    b.replica.leader_contact_at = net.now
    request = VoteRequest(b.replica.term + 5, Identity("c", "c0"), 99, 99, pre_vote=False)
    b.call("receive", request, net.now)
    assert b.replica.term < request.term and not net.in_flight


def test_a_candidate_that_was_not_elected_retries_soon():
    """Guards against a whole election timeout without a leader after each split vote."""
    timing = Timing(retry_timeout_factor=0.35)
    b = Net(timing=timing).nodes["b"].replica
    b.leader_contact_at = 0.0
    b.tick(5.0)
    assert b.role == Role.PRE_CANDIDATE
    assert 0.35 <= b.next_tick() - 5.0 <= 0.7
    request = VoteRequest(b.term, Identity("a", "a0"), 0, 0, pre_vote=False)
    b._become_follower(b.term, request.sender, 6.0, Effects())
    assert 1.0 <= b.next_tick() - 6.0 <= 2.0, "a follower must wait a whole timeout"


def test_election_timeouts_are_staggered_in_the_order_of_voters():
    """Guards against split votes: candidates with the same timeout would split them repeatedly."""
    net = Net(timing=Timing(stagger_s=3.0))
    deadlines = [net.nodes[name].replica.next_tick() for name in NAMES]
    assert deadlines == sorted(deadlines)
    assert deadlines[2] - deadlines[0] >= 5.0


def test_the_next_leader_is_elected_early_when_the_process_of_the_last_one_has_exited():
    """Guards against a whole election timeout without a leader after its process has exited."""
    net = Net(timing=Timing(exited_leader_timeout_factor=0.6))
    net.elect("a")
    b, c = net.nodes["b"].replica, net.nodes["c"].replica
    b.leader_contact_at = c.leader_contact_at = net.now
    request = VoteRequest(b.term + 1, Identity("c", "c0"), 99, 99, pre_vote=True)
    b.record_process_exit("c", net.now)
    assert b.next_tick() - net.now >= 1.0, "only the exit of the leader shortens it"
    b.record_process_exit("a", net.now)
    assert 0.6 <= b.next_tick() - net.now < 1.0
    for later_s, granted in ((0.5, False), (0.7, True)):
        effects = b.receive(request, net.now + later_s)
        assert effects.messages[0].message.granted == granted


def test_a_leader_that_sends_messages_again_has_not_exited():
    """Guards against an election while the leader runs and has only refused a connection."""
    net = Net(timing=Timing(exited_leader_timeout_factor=0.6))
    net.elect("a")
    b = net.nodes["b"].replica
    b.record_process_exit("a", net.now)
    net.run(5)
    assert not b.leader_process_exited
    assert net.nodes["a"].replica.is_leader


def test_vote_is_counted_only_from_the_identity_that_is_a_voter():
    """Guards against counted votes of a learner, or of an empty disk under the name of a voter."""
    net = Net()
    a = net.nodes["a"]
    a.replica.expire_election_timers()
    a.call("tick", net.now)
    net.in_flight.clear()
    term = a.replica.term
    for sender in (Identity("b", "other"), Identity("z", "z0")):
        a.call("receive", VoteReply(term + 1, sender, granted=True, pre_vote=True), net.now)
    assert a.replica.term == term
    a.call("receive", VoteReply(term + 1, Identity("b", "b0"), True, pre_vote=True), net.now)
    assert a.replica.term == term + 1


def test_one_vote_in_a_term():
    """Guards against two leaders in a term through a voter that votes again after a restart."""
    net = Net()
    b = net.nodes["b"]
    request_of_a = VoteRequest(5, Identity("a", "a0"), 9, 9, pre_vote=False)
    assert b.call("receive", request_of_a, net.now).messages[0].message.granted
    b.start()
    request_of_c = request_of_a._replace(sender=Identity("c", "c0"))
    assert not b.call("receive", request_of_c, net.now).messages[0].message.granted
    assert b.call("receive", request_of_a, net.now).messages[0].message.granted


def test_learner_is_not_counted():
    """Guards against a commit that only a minority of the voters has stored."""
    net = Net()
    a = net.elect("a")
    learner = Identity("d", "d0")
    a.call("propose_members", add_learner(a.replica.log.members, learner), net.now)
    net.settle()
    net.isolated = {"b", "c"}
    a.call("propose", b"x", net.now)
    net.in_flight.clear()
    index = a.replica.log.last_index
    reply = AppendReply(a.replica.term, learner, True, match_index=index, round=9)
    a.call("receive", reply, net.now)
    assert a.replica.commit_index < index and a.replica.confirmed_round == 0


def test_member_changes_are_single_steps_after_the_first_commit():
    """Guards against disjoint quorums of two member sets."""
    net = Net()
    net.isolated = {"b", "c"}
    a = net.nodes["a"]
    a.replica.expire_election_timers()
    a.call("tick", net.now)
    net.isolated = set()
    net.settle()
    if not a.replica.is_leader:
        a = net.elect("a")
    members = a.replica.log.members
    without_b = tuple(member for member in members if member.identity.name != "b")
    with pytest.raises(BadRequestError, match="voters differ"):
        a.call("propose_members", without_b[:1], net.now)
    with pytest.raises(BadRequestError, match="leader must stay"):
        a.call("propose_members", members[1:], net.now)
    a.call("propose_members", without_b, net.now)
    with pytest.raises(BadRequestError, match="previous change"):
        a.call("propose_members", members, net.now)
    net.settle()
    a.call("propose_members", members, net.now)


def test_member_change_waits_for_a_commit_of_the_term():
    """Guards against disjoint quorums, the known flaw of Raft's single-server changes.

    Two successive leaders could each change the members before an entry of their term commits.
    """
    net = Net()
    a = net.nodes["a"]
    a.replica.expire_election_timers()
    a.call("tick", net.now)
    while not a.replica.is_leader:
        net.deliver()
    with pytest.raises(BadRequestError, match="no entry of the present term"):
        a.call("propose_members", a.replica.log.members, net.now)


def test_empty_disk_rejoins_in_single_steps():
    """Guards against a voter that lost its vote with its disk and votes again.

    Its old incarnation is removed from the members before the new one is promoted.
    """
    net = Net(seed=8)
    a = net.elect("a")
    for number in range(10):
        a.call("propose", b"%d" % number, net.now)
        net.settle()
    a.call("compact", a.applied, ",".join(a.state).encode())
    new_identity = net.wipe("c")
    a.call("propose_members", add_learner(a.replica.log.members, new_identity), net.now)
    net.run(4)
    assert net.nodes["c"].state == a.state
    voter_sets = []
    while Member(new_identity, True) not in a.replica.log.members:
        a.call("propose_members", next_promotion_step(a.replica.log.members, new_identity), net.now)
        net.run(1)
        voter_sets.append([voter.name for voter in a.replica.voters])
    assert voter_sets == [["a", "b"], ["a", "b", "c"]]
    net.isolated = {"b"}
    a.call("propose", b"after", net.now)
    net.settle()
    assert a.state[-1] == "after"


def test_new_leader_keeps_the_learner_of_a_dead_voter():
    """Guards against a learner that a new leader drops without notice: it never asks again."""
    net = Net(seed=8)
    a = net.elect("a")
    new_identity = net.wipe("c")
    a.call("propose_members", add_learner(a.replica.log.members, new_identity), net.now)
    net.settle()
    net.isolated = {"c"}
    a.call("transfer_leadership", net.now)
    net.settle()
    b = net.nodes["b"].replica
    admission = MemberAdmission(group="g", process="b", roster=FixedRoster(names=NAMES))
    assert b.has_committed_in_term and admission.next_member_change(b, net.now) is None
    net.isolated = set()
    net.run(1)
    assert admission.next_member_change(b, net.now) == next_promotion_step(
        b.log.members, new_identity
    )


def test_snapshot_is_installed_in_chunks_despite_loss():
    """Guards against a follower that never catches up or installs a mixed snapshot."""
    net = Net(seed=9)
    a = net.elect("a")
    net.isolated = {"c"}
    for number in range(30):
        a.call("propose", b"n%d" % number, net.now)
        net.settle()
    a.call("compact", a.applied, ",".join(a.state).encode())
    net.isolated = set()
    for _ in range(3000):
        net.now += 0.02
        for node in net.nodes.values():
            node.call("tick", net.now)
        while net.in_flight:
            if net.random.random() < 0.2:
                net.in_flight.pop(0)
            else:
                net.deliver()
        if net.nodes["c"].state == a.state:
            break
    assert net.nodes["c"].state == a.state
    assert net.nodes["c"].replica.log.snapshot == a.replica.log.snapshot


def test_a_candidate_does_not_depose_the_leader_that_is_being_elected():
    """Guards against a group without a leader for another election timeout after a restart.

    A voter with a longer log votes for nobody; its own pre-vote arrives after the others have
    voted, but before the new leader is heard.
    """
    net = Net(seed=2, timing=Timing(stagger_s=0.1))
    b = net.elect("b")
    b.call("propose", b"lost", net.now)
    net.in_flight.clear()
    for node in net.nodes.values():
        node.start()
    a, c = net.nodes["a"], net.nodes["c"]
    a.replica.expire_election_timers()
    a.call("tick", net.now)
    while not a.replica.is_leader:
        net.deliver()
    b.replica.expire_election_timers()
    b.call("tick", net.now)
    is_append = [isinstance(message, AppendRequest) for _, _, message in net.in_flight]
    appends = [item for item, late in zip(net.in_flight, is_append, strict=True) if late]
    net.in_flight = [item for item, late in zip(net.in_flight, is_append, strict=True) if not late]
    net.settle()
    net.in_flight.extend(appends)
    net.settle()
    assert a.replica.is_leader and c.replica.term == a.replica.term
    net.now += 0.2
    assert b.replica.term == a.replica.term


def test_transfer_moves_leadership_to_an_up_to_date_voter():
    """Guards against a planned stop that waits for an election timeout."""
    net = Net(seed=2)
    a = net.elect("a")
    a.call("propose", b"x", net.now)
    a.call("transfer_leadership", net.now)
    with pytest.raises(NotLeaderError):
        a.call("propose", b"y", net.now)
    sent = [message for _, _, message in net.in_flight if isinstance(message, TransferLeadership)]
    assert not sent, "no voter has the last entry yet"
    net.settle()
    (leader,) = net.leaders()
    assert leader is not a and leader.state[-1] == "x"


def test_leadership_returns_to_the_preferred_member_when_it_has_caught_up():
    """Guards against leaders that gather on few VMs, and a transfer to a member that lags."""
    net = Net(seed=2)
    replica = net.elect("a").replica
    net.settle()
    other = next(voter for voter in replica.voters if voter != replica.identity)
    preference = LeaderPreference(group="g", preferred=other.name, transfer_delay_s=60.0)
    assert preference.target(replica, net.now) is None
    progress = replica.progress_by_id[other]

    def target(after_s):
        progress.last_reply_at = net.now + after_s
        return preference.target(replica, net.now + after_s)

    assert target(59.0) is None
    match, progress.match_index = progress.match_index, replica.commit_index - 1
    assert target(61.0) is None
    progress.match_index = match
    assert target(62.0) == other
    assert target(63.0) is None, "a failed transfer is retried too soon"
    assert (
        LeaderPreference(group="g", preferred=replica.identity.name, transfer_delay_s=0.0).target(
            replica, 1e9
        )
        is None
    )


def test_transfer_ends_if_no_voter_catches_up():
    """Guards against a leader that refuses proposals forever."""
    net = Net(seed=2)
    a = net.elect("a")
    a.call("propose", b"x", net.now)
    a.call("transfer_leadership", net.now)
    net.in_flight.clear()
    net.now += 1.1
    a.call("tick", net.now)
    a.call("propose", b"y", net.now)


def test_a_leader_steps_down_if_the_target_of_a_transfer_does_not_take_over():
    """Guards against two leaders that act at once: the target may get the request much later.

    It also guards against a group that no longer accepts proposals.
    """
    net = Net(seed=2)
    a = net.elect("a")
    a.call("transfer_leadership", net.now)
    requests = [item for item in net.in_flight if isinstance(item[2], TransferLeadership)]
    assert requests
    net.in_flight.clear()
    net.now += 1.1
    a.call("tick", net.now)
    assert not a.replica.is_leader
    net.run(6)
    (leader,) = net.leaders()
    term = leader.replica.term
    net.in_flight.extend(requests)
    net.settle()
    assert leader.replica.is_leader and leader.replica.term == term
    leader.call("propose", b"y", net.now)
    net.settle()
    assert leader.state[-1] == "y"


def test_append_does_not_remove_entries_that_it_lacks():
    """Guards against the loss of acknowledged entries by a late append that ends before them."""
    net = Net()
    a = net.elect("a")
    b = net.nodes["b"]
    a.call("propose", b"x", net.now)
    a.call("propose", b"y", net.now)
    appends = [m for _, to, m in net.in_flight if to == "b" and isinstance(m, AppendRequest)]
    assert len(appends) == 2
    for message in (*appends, appends[0]):
        b.call("receive", message, net.now)
    assert b.replica.log.last_index == a.replica.log.last_index
    assert b.replica.commit_index < b.replica.log.last_index


def test_leader_counts_itself_only_after_its_sync():
    """Guards against a commit stored on one disk only, when a leader sends before it syncs."""
    net = Net()
    a = net.elect("a").replica
    before = a.commit_index
    index = a.propose(b"x", net.now).index
    reply = AppendReply(a.term, Identity("b", "b0"), True, match_index=index, round=0)
    assert not a.receive(reply, net.now).committed and a.commit_index == before
    assert [entry.index for entry in a.mark_synced(index, a.term, net.now).committed] == [index]


def test_copy_and_key_describe_the_whole_state():
    """Guards the model checker: a copy is independent, and a changed state has another key."""
    net = Net()
    a = net.elect("a")
    copy = a.replica.copy()
    assert copy.key() == a.replica.key() and hash(copy.key()) == hash(a.replica.key())
    a.call("propose", b"x", net.now)
    assert copy.key() != a.replica.key()


SCHEDULES = [(seed, 2500) for seed in range(30)]


@pytest.mark.parametrize("writes_behind", [False, True])
@pytest.mark.parametrize(("seed", "steps"), SCHEDULES)
def test_random_schedule(seed, steps, writes_behind):
    """Guards election safety, log matching, leader completeness, equal states and reads.

    A leader that writes behind sends and commits entries before its own disk has them, and loses
    them when it crashes.
    """
    print(f"seed {seed}, {steps} steps, writes behind {writes_behind}")
    net = Net(seed=seed, writes_behind=writes_behind)
    random = net.random
    for step in range(steps):
        _random_step(net, random, step)
        if step % 50 == 0:
            net.check_logs_match()
    net.isolated = set()
    net.in_flight.clear()
    net.run(30, flush=True)
    (leader,) = net.leaders()
    _rejoin_all(net)
    leader = net.leaders()[0]
    leader.call("propose", b"last", net.now)
    net.run(3, flush=True)
    states = {tuple(node.state) for node in net.nodes.values()}
    assert len(states) == 1 and states.pop()[-1] == "last"
    assert len(net.committed) > 20


def _random_step(net, random, step):
    node = net.nodes[random.choice(NAMES)]
    roll = random.random()
    if net.in_flight and roll < 0.62:
        _random_delivery(net, random)
    elif roll < 0.80:
        net.now += random.choice((0.01, 0.05, 0.3))
        node.call("tick", net.now, sync=random.random() > 0.02)
    elif roll < 0.90:
        _random_call(net, random, node, step)
    elif roll < 0.92:
        node.start()
    elif net.writes_behind and random.random() < 0.3:
        node.flush()
    elif roll < 0.94:
        net.isolated = set(random.sample(NAMES, random.choice((0, 0, 1))))
    elif roll < 0.955 and random.random() < 0.2:
        _random_wipe(net, random)
    elif roll < 0.97:
        _propose_admission_step(net)


def _random_delivery(net, random):
    position = random.randrange(len(net.in_flight)) if random.random() < 0.3 else 0
    roll = random.random()
    if roll < 0.08:
        net.in_flight.pop(position)
    elif roll < 0.13:
        net.in_flight.insert(random.randrange(len(net.in_flight) + 1), net.in_flight[position])
    else:
        net.deliver(position, sync=random.random() > 0.02)


def _random_call(net, random, node, step):
    sync = random.random() > 0.05
    try:
        method = random.choice(
            ("propose", "propose", "propose", "start_read_round", "transfer_leadership", "compact")
        )
        if method == "propose":
            node.call("propose", b"%d" % step, net.now, sync=sync)
        elif method == "start_read_round":
            effects = node.replica.copy().start_read_round(net.now)
            node.reads[effects.read_round] = max(net.committed, default=0)
            node.call("start_read_round", net.now)
        elif method == "transfer_leadership" and random.random() < 0.1:
            node.call("transfer_leadership", net.now)
        elif method == "compact":
            data = ",".join(node.state).encode()
            node.call("compact", node.applied, data, keep=random.choice((0, 2)), sync=sync)
    except NotLeaderError:
        pass


def _random_wipe(net, random):
    """Wipe the disk of a follower, if a leader has all present nodes as its voters."""
    for leader in net.leaders():
        present = {node.identity for node in net.nodes.values()}
        voters = set(leader.replica.voters)
        others = [name for name in NAMES if name != leader.identity.name]
        if leader.replica.has_committed_in_term and voters == present:
            net.wipe(random.choice(others))
            return


def _propose_admission_step(net):
    """Let a leader propose the next step by which a node that is no voter becomes one."""
    for leader in net.leaders():
        members = leader.replica.log.members
        member_ids = {member.identity for member in members}
        for node in net.nodes.values():
            if node.identity in voters_of(members):
                continue
            progress = leader.replica.progress_by_id.get(node.identity)
            change = add_learner(members, node.identity)
            if node.identity in member_ids:
                if progress.match_index < leader.replica.commit_index:
                    continue
                change = next_promotion_step(members, node.identity)
            try:
                leader.call("propose_members", change, net.now)
            except (BadRequestError, NotLeaderError):
                continue
            return


def _rejoin_all(net):
    for _ in range(10):
        _propose_admission_step(net)
        net.run(3)
    assert len(net.leaders()) == 1
