"""Specification of consensus: real replicas, an unordered network, crashes and lost disks.

One step is one transition of one replica, with the sync and the messages that it asks for. A crash
before the sync equals the loss of the message that caused the transition. Elections start at any
time without the pre-vote round, and voters never refuse a vote because they are in contact with a
leader: both rules only protect liveness, so the search covers a superset of the behavior. With
``pre_vote`` the round is included.

Callers are covered too: a command that a caller was told to be stored is the committed one at its
index. Calls end as in :class:`~siskintally.group.Group`: first by the entries that a step applies,
then by a loss of leadership.
"""

from ast import literal_eval
from itertools import permutations
from sys import intern
from typing import NamedTuple

from siskintally.effects import Effects
from siskintally.election import NEVER, Role
from siskintally.errors import BadRequestError, NotLeaderError
from siskintally.membership import add_learner, next_promotion_step, sort_members
from siskintally.messages import AppendReply, EntryKind, Identity, Member, VoteReply, VoteRequest
from siskintally.persistent_state import BOOTSTRAP_INDEX, bootstrap_state
from siskintally.replica import Replica
from siskintally.waiters import Waiters
from tests.model.search import Spec, Table

NOW = 0.0


class Budget(NamedTuple):
    """How many steps of each kind may still be taken.

    ``repeat``: second deliveries of a message. ``batch``: pairs of messages that a replica handles
    before it completes calls, as after a pause. ``lazy``: read rounds that wait for the next
    heartbeat. ``beat``: heartbeats of a leader. ``change``: steps of a member change.
    """

    elect: int = 0
    propose: int = 0
    crash: int = 0
    wipe: int = 0
    repeat: int = 0
    batch: int = 0
    read: int = 0
    lazy: int = 0
    beat: int = 0
    compact: int = 0
    change: int = 0

    def __str__(self):
        return ", ".join(f"{name} {value}" for name, value in self._asdict().items() if value)


class Call(NamedTuple):
    """A proposal that waits for its entry."""

    term: int
    index: int
    command: bytes


class CallRecorder:
    """Stands for the waiter of a call; adds the call to a list when it is completed."""

    def __init__(self, *, call, completed):
        self._call = call
        self._completed = completed

    def resolve(self, reply):
        """Record that the caller is told of success."""
        self._completed.append(self._call)


class Node(NamedTuple):
    """A replica, what its state machine has applied, its disk if that lacks a sync, and calls."""

    replica: Replica
    applied: tuple = ()
    disk: object = None
    calls: tuple = ()

    def key(self):
        """Return a hashable value."""
        return self.replica.key(), self.applied, self.disk, self.calls


class State(NamedTuple):
    """Table numbers of nodes and messages, and what was observed so far.

    ``committed``: longest applied sequence. ``leaders``: (term, identity). ``reads``: (node, term,
    round, length of ``committed`` and highest elected term when the round began).
    """

    nodes: tuple
    network: frozenset
    budget: Budget
    committed: tuple = ()
    leaders: tuple = ()
    reads: tuple = ()
    violation: str = ""


class Consensus(Spec):
    """Replicas of one group.

    :param voters: number of voters with which the group is bootstrapped.
    :param learner: whether a learner is a member from the start.
    :param candidates: numbers of the nodes that start elections.
    :param led: start with node 0 as a leader whose first entry all nodes have.
    :param pre_vote: whether elections begin with the pre-vote round.
    :param replica_class: real class, or a mutant of it.
    :param waiters_class: real class, or a mutant of it.
    :param reuse_identity: mutant; an empty disk keeps the incarnation.
    :param early_send: mutant; messages leave before the sync.
    """

    __slots__ = (
        "_budget",
        "_candidates",
        "_dead",
        "_early_send",
        "_label_by_number",
        "_learner",
        "_led",
        "_memo",
        "_messages",
        "_nodes",
        "_pre_vote",
        "_replica_class",
        "_reuse_identity",
        "_shared",
        "_voters",
        "_waiters_class",
    )

    def __init__(
        self,
        *,
        name,
        budget,
        voters=3,
        learner=False,
        candidates=(0, 1),
        led=False,
        pre_vote=False,
        replica_class=Replica,
        waiters_class=Waiters,
        reuse_identity=False,
        early_send=False,
    ):
        text = f"{voters} voters{', 1 learner' if learner else ''}, candidates {list(candidates)}"
        super().__init__(name=name, bounds=f"{text}, {'led, ' if led else ''}{budget}")
        self._budget = budget
        self._voters = voters
        self._learner = learner
        self._candidates = candidates
        self._led = led
        self._pre_vote = pre_vote
        self._replica_class = replica_class
        self._waiters_class = waiters_class
        self._reuse_identity = reuse_identity
        self._early_send = early_send
        self._nodes = Table()
        self._messages = Table()
        self._memo = {}
        self._dead = {}
        self._label_by_number = {}
        self._shared = {}

    def initial(self):
        """Return the bootstrapped state, led by node 0 with ``led``."""
        count = self._voters + self._learner
        ids = [Identity(name=f"s{number + 1}", incarnation="a") for number in range(count)]
        persistent_state = bootstrap_state(ids[: self._voters])
        if self._learner:
            members = sort_members(
                [*persistent_state.snapshot.members, Member(identity=ids[-1], voter=False)]
            )
            persistent_state = persistent_state._replace(
                snapshot=persistent_state.snapshot._replace(members=members)
            )
        nodes = tuple(
            self._put_node(Node(replica=self._replica(each, persistent_state))) for each in ids
        )
        state = State(nodes=nodes, network=frozenset(), budget=self._budget)
        return [self._deliver_all(state) if self._led else state]

    def _deliver_all(self, state):
        state = self._apply_action(state, 0, "elect")
        while state.network:
            number = min(state.network)
            position = self._receiver(state, number)
            state = state._replace(network=state.network - {number})
            state = self._apply_action(state, position, "receive", number)
        return state

    def steps(self, state):
        """Yield deliveries, repeated deliveries, and the actions that the budget allows."""
        budget = state.budget
        for number in state.network:
            position = self._receiver(state, number)
            if position is None:
                continue
            label = self._label(number)
            without = state._replace(network=state.network - {number})
            yield label, self._apply_action(without, position, "receive", number)
            if budget.repeat:
                repeated = state._replace(budget=budget._replace(repeat=budget.repeat - 1))
                yield (
                    intern(f"{label} (a copy)"),
                    self._apply_action(repeated, position, "receive", number),
                )
        if budget.batch:
            yield from self._batch_steps(state)
        for position in range(len(state.nodes)):
            for action in self._actions(state, position):
                remaining = self._share(budget._replace(**{action: getattr(budget, action) - 1}))
                label = intern(f"{self._name(state, position)}: {action}")
                yield label, self._apply_action(state._replace(budget=remaining), position, action)
            if self._nodes[state.nodes[position]].disk is not None:
                yield (
                    f"{self._name(state, position)}: sync",
                    self._apply_action(state, position, "sync"),
                )

    def _batch_steps(self, state):
        """Yield deliveries of two messages that a replica handles as one batch."""
        budget = self._share(state.budget._replace(batch=state.budget.batch - 1))
        for first, second in permutations(state.network, 2):
            position = self._receiver(state, first)
            if position is None or self._messages[first].to != self._messages[second].to:
                continue
            without = state._replace(network=state.network - {first, second}, budget=budget)
            yield (
                intern(f"{self._label(first)}, then at once {self._label(second)}"),
                self._apply_action(without, position, "batch", (first, second)),
            )

    def violation(self, state):
        """Return the violation that the last step made."""
        return state.violation

    def _actions(self, state, position):
        replica = self._nodes[state.nodes[position]].replica
        budget = state.budget
        if budget.crash:
            yield "crash"
        if budget.wipe and position == self._voters - 1:
            yield "wipe"
        if budget.compact and replica.commit_index > replica.log.snapshot.index:
            yield "compact"
        if replica.is_leader:
            leading = ("propose", "read", "lazy", "beat", "change")
            yield from (action for action in leading if getattr(budget, action))
        elif budget.elect and position in self._candidates and replica.identity in replica.voters:
            yield "elect"

    def _apply_action(self, state, position, action, number=None):
        """Return the state after an action of one node; record and check what it shows."""
        before = state.nodes[position]
        argument = len(state.committed) if action == "propose" else number
        memo_key = (before, action, argument)
        if memo_key not in self._memo:
            self._memo[memo_key] = self._transition(self._nodes[before], action, argument)
        after, sent, observed = self._memo[memo_key]
        nodes = self._share((*state.nodes[:position], after, *state.nodes[position + 1 :]))
        reads = state.reads
        if action in ("crash", "wipe"):
            reads = tuple(read for read in reads if read[0] != position)
        network = state.network | sent
        if after != before or sent:
            network = self._pruned(nodes, network)
        state = state._replace(nodes=nodes, network=self._share(network), reads=reads)
        return self._observe(state, position, observed) if observed else state

    def _pruned(self, nodes, network):
        """Return the network without messages that can never change their receiver again."""
        position_by_id = {self._nodes[node].replica.identity: node for node in nodes}
        dead = []
        for number in network:
            position = position_by_id.get(self._messages[number].to)
            memo_key = (number, position)
            if memo_key not in self._dead:
                self._dead[memo_key] = position is None or self._is_dead(
                    number, self._nodes[position].replica
                )
            if self._dead[memo_key]:
                dead.append(number)
        return network.difference(dead) if dead else network

    def _is_dead(self, number, replica):
        message = self._messages[number].message
        if isinstance(message, AppendReply):
            if message.term == replica.term:
                return replica.role != Role.LEADER
            return message.term < replica.term
        if isinstance(message, VoteReply) and not message.pre_vote:
            if message.granted and message.term == replica.term:
                return replica.role != Role.CANDIDATE
            return message.term <= replica.term
        if isinstance(message, VoteRequest) and message.term == replica.term:
            return replica.vote not in (None, message.sender)
        return False

    def _transition(self, node, action, argument):
        replica = node.replica.copy()
        if action == "crash":
            return self._put_node(self._restarted(node)), frozenset(), None
        if action == "wipe":
            return self._put_node(Node(replica=self._wiped(replica.identity))), frozenset(), None
        if action == "sync":
            return self._put_node(node._replace(disk=None)), frozenset(), None
        effects = self._call_replica(replica, node, action, argument)
        disk = node.disk
        if effects.must_sync:
            if self._early_send:
                disk = disk or node.replica.persistent_state
            effects.extend(replica.mark_synced(replica.log.last_index, replica.log.last_term, NOW))
        restore = effects.restore
        applied = node.applied if restore is None else _decoded(restore.data)
        applied += tuple(
            (entry.term, int(entry.kind), entry.command) for entry in effects.committed
        )
        replica.leader_contact_at = NEVER
        calls, completed = self._complete_calls(node, replica, action, argument, effects)
        after = self._put_node(Node(replica=replica, applied=applied, disk=disk, calls=calls))
        sent = frozenset(self._messages.put(each, each) for each in effects.messages)
        elected = effects.leadership is not None and effects.leadership.is_leader
        observed = (elected, effects.read_round, effects.confirmed_round, completed)
        return after, sent, observed if any(observed) or applied != node.applied else None

    def _complete_calls(self, node, replica, action, argument, effects):
        """Return the calls that wait after a step, and those whose callers it tells of success."""
        calls, completed = node.calls, []
        if action == "propose":
            calls += (Call(replica.term, effects.index, b"%d" % argument),)
        if not calls:
            return (), ()
        waiters = self._waiters_class()
        for call in calls:
            recorder = CallRecorder(call=call, completed=completed)
            waiters.add_proposals([recorder], call.term, call.index)
        for entry in effects.committed:
            waiters.complete_proposal(entry, b"")
        waiting = tuple(call for call in calls if call not in completed)
        return waiting if replica.is_leader else (), tuple(completed)

    def _call_replica(self, replica, node, action, argument):
        if action == "receive":
            return replica.receive(self._messages[argument].message, NOW)
        if action == "batch":
            effects = Effects()
            for number in argument:
                effects.extend(replica.receive(self._messages[number].message, NOW))
            return effects
        if action == "elect":
            return self._elect(replica)
        if action == "propose":
            return replica.propose(b"%d" % argument, NOW)
        if action in ("read", "lazy"):
            return replica.start_read_round(NOW, urgent=action == "read")
        if action == "compact":
            return replica.compact(replica.commit_index, repr(node.applied).encode())
        if action == "beat":
            replica.expire_heartbeat_timers()
            return replica.tick(NOW)
        return self._change_members(replica)

    def _elect(self, replica):
        if self._pre_vote:
            replica.expire_election_timers()
            return replica.tick(NOW)
        effects = Effects()
        replica._start_election(NOW, effects)
        return effects

    def _change_members(self, replica):
        """Admit the new incarnation of the last bootstrapped voter, then promote it in steps."""
        newcomer = Identity(name=f"s{self._voters}", incarnation="b")
        members = replica.log.members
        known = [member for member in members if member.identity == newcomer]
        following = (
            next_promotion_step(members, newcomer) if known else add_learner(members, newcomer)
        )
        try:
            return replica.propose_members(following, NOW)
        except (BadRequestError, NotLeaderError):
            return Effects()

    def _restarted(self, node):
        persistent_state = node.disk or node.replica.persistent_state
        applied = _decoded(persistent_state.snapshot.data)
        return Node(replica=self._replica(node.replica.identity, persistent_state), applied=applied)

    def _wiped(self, identity):
        if not self._reuse_identity:
            identity = identity._replace(incarnation=chr(ord(identity.incarnation) + 1))
        return self._replica(identity, None)

    def _replica(self, identity, persistent_state):
        return self._replica_class(
            identity=identity,
            persistent_state=persistent_state,
            election_timeout=lambda: 1.0,
            now=NOW,
        )

    def _share(self, value):
        """Return the first object that is equal to a value, so that states share their parts."""
        return self._shared.setdefault(value, value)

    def _put_node(self, node):
        return self._nodes.put(node.key(), node)

    def _observe(self, state, position, observed):
        node = self._nodes[state.nodes[position]]
        elected, started_round, confirmed, completed = observed
        shared = min(len(node.applied), len(state.committed))
        if node.applied[:shared] != state.committed[:shared]:
            violation = (
                f"{node.replica.identity.name} applied {node.applied}, not {state.committed}"
            )
            return state._replace(violation=violation)
        if len(node.applied) > shared:
            state = state._replace(committed=self._share(node.applied))
        for call in completed:
            entry = state.committed[call.index - BOOTSTRAP_INDEX - 1]
            if entry[2] != call.command:
                violation = f"told that {call} is stored, but {entry} is committed there"
                return state._replace(violation=violation)
        if elected:
            state = self._observe_leader(state, node.replica)
            if state.violation:
                return state
        if started_round:
            highest_term = max((term for term, _ in state.leaders), default=0)
            read = (position, node.replica.term, started_round, len(state.committed), highest_term)
            state = state._replace(reads=tuple(sorted({*state.reads, read})))
        return self._observe_reads(state, position, node.replica, confirmed) if confirmed else state

    def _observe_leader(self, state, replica):
        identity, term = replica.identity, replica.term
        if any(other != identity for elected_term, other in state.leaders if elected_term == term):
            return state._replace(violation=f"two leaders in term {term}")
        # A leader that learns late of its election in an older term may lack newer commits.
        is_newest = all(elected_term < term for elected_term, _ in state.leaders)
        for number, entry in enumerate(state.committed if is_newest else ()):
            index = BOOTSTRAP_INDEX + 1 + number
            if index > replica.log.base_index and replica.log.term_at(index) != entry[0]:
                violation = f"leader {identity.name} lacks the committed entry {index}"
                return state._replace(violation=violation)
        leaders = tuple(sorted({*state.leaders, (term, identity)}))
        return state._replace(leaders=self._share(leaders))

    def _observe_reads(self, state, position, replica, confirmed):
        pending = []
        for read in state.reads:
            reader, term, started_round, length, highest_term = read
            if reader != position or term != replica.term or started_round > confirmed:
                pending.append(read)
            elif highest_term > term:
                return state._replace(
                    violation=f"round of term {term} confirmed after term {highest_term}"
                )
            elif replica.commit_index < BOOTSTRAP_INDEX + length:
                return state._replace(
                    violation=f"round confirmed without {length} committed entries"
                )
        return state._replace(reads=tuple(pending))

    def _receiver(self, state, number):
        for position, node in enumerate(state.nodes):
            if self._nodes[node].replica.identity == self._messages[number].to:
                return position
        return None

    def _name(self, state, position):
        replica = self._nodes[state.nodes[position]].replica
        return f"{replica.identity.name}.{replica.identity.incarnation}"

    def _label(self, number):
        if number not in self._label_by_number:
            to = self._messages[number].to
            text = f"deliver to {to.name}.{to.incarnation}: {self._describe(number)}"
            self._label_by_number[number] = text
        return self._label_by_number[number]

    def _describe(self, number):
        message = self._messages[number].message
        shown = [
            f"{name}={_format_value(value)}"
            for name, value in message._asdict().items()
            if name != "sender" and value not in (False, (), b"")
        ]
        sender = message.sender if isinstance(message.sender, str) else message.sender.name
        return f"{type(message).__name__} from {sender} ({', '.join(shown)})"


def _decoded(data):
    """Return the applied sequence in a snapshot; that of the bootstrapped state is empty."""
    return literal_eval(data.decode()) if data else ()


def _format_value(value):
    if isinstance(value, tuple):
        return "+".join(
            f"{entry.index}.{entry.term}{EntryKind(entry.kind).name.lower()}"
            if hasattr(entry, "kind")
            else str(getattr(entry, "identity", entry))
            for entry in value
        )
    return str(value)
