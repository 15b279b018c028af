"""Specification of the configuration: racing operators, the feed of the domain, and entries.

The cell is the real state machine and an entry is the real configuration follower. The domain keeps
a configuration that the real ``Cell.changes_since`` sent if its version is higher; that rule is
modeled here. Commands reach the cell in any order, late and repeated, because an operator resends a
request whose response was lost.
"""

from sys import intern
from typing import NamedTuple

from siskintally.cell import Cell
from siskintally.cell_state_pb2 import Command, SetConfig, SetPreset
from siskintally.codes import Code
from siskintally.config_follower import ConfigFollower
from siskintally.wire_pb2 import ConfigState, OperatorReply
from tests.model.search import Spec, Table

GROUP = "home"


def _document(cores):
    return f"[teams.ski]\ncpu_milli = {cores}\nmemory_mb = 1\n"


def _command(name, **change):
    return Command(
        at=1.0, request_id=name, operator="ana", digest=name.encode(), **change
    ).SerializeToString()


COMMAND_BY_NAME = {
    "a: document 1 expecting 0": _command(
        "a", set_config=SetConfig(document=_document(1), expect_version=0)
    ),
    "b: document 2 expecting 0": _command(
        "b", set_config=SetConfig(document=_document(2), expect_version=0)
    ),
    "c: peak expecting 1": _command("c", set_preset=SetPreset(preset="peak", expect_version=1)),
    "d: maintenance expecting 1": _command(
        "d", set_preset=SetPreset(preset="maintenance", expect_version=1)
    ),
}


class State(NamedTuple):
    """Number of the cell state, messages in flight, and what was observed.

    ``sent``: requests in flight. ``replies``: first reply to each request. ``history``:
    configurations by version. ``domain``: (followed index, configuration) that the domain has
    committed. ``feed``: replies of the cell to the domain in flight. ``entries``: configuration of
    each entry. ``highest_versions``: highest version that each entry ever had. ``polls``: (entry,
    configuration) in flight.
    """

    cell: int
    index: int
    sent: frozenset
    budget: tuple
    replies: frozenset = frozenset()
    history: tuple = ()
    domain: tuple = (0, b"")
    feed: frozenset = frozenset()
    entries: tuple = ()
    highest_versions: tuple = ()
    polls: frozenset = frozenset()
    violation: str = ""


def _version(state):
    return ConfigState.FromString(state).version


def _replaced(items, position, value):
    return (*items[:position], value, *items[position + 1 :])


class ConfigSpec(Spec):
    """Four requests, one domain, entries.

    :param repeats: number of commands that arrive a second time.
    :param feeds: number of replies of the cell to the domain.
    :param polls: number of replies of the domain to entries.
    :param restarts: number of restarts of entries.
    :param cell_class: real class, or a mutant of it.
    """

    __slots__ = ("_budget", "_cell_class", "_cells", "_entries", "_memo")

    def __init__(self, *, name, repeats, feeds, polls, restarts, entries=1, cell_class=Cell):
        super().__init__(
            name=name,
            bounds=f"{len(COMMAND_BY_NAME)} requests, {repeats} repeated, any snapshot, "
            f"{feeds} feeds, {entries} entries, {polls} polls, {restarts} restarts",
        )
        self._budget = (repeats, feeds, polls, restarts)
        self._entries = entries
        self._cell_class = cell_class
        self._cells = Table()
        self._memo = {}

    def initial(self):
        """Return a cell without configuration, with all requests in flight."""
        return [
            State(
                cell=self._put_cell(self._cell_class()),
                index=0,
                sent=frozenset(COMMAND_BY_NAME),
                budget=self._budget,
                entries=(b"",) * self._entries,
                highest_versions=(0,) * self._entries,
            )
        ]

    def violation(self, state):
        """Return the violation that the last step made."""
        return state.violation

    def steps(self, state):
        """Yield applied commands, feeds, polls, restarts, and a snapshot of the cell."""
        repeats, feeds, polls, restarts = state.budget
        for name in state.sent:
            yield intern(f"apply {name}"), self._apply(state, name, state.sent - {name})
            if repeats:
                repeated = state._replace(budget=(repeats - 1, feeds, polls, restarts))
                yield intern(f"apply {name} (sent again)"), self._apply(repeated, name, state.sent)
        restored = self._cell_step(state.cell, None, state.index)[0]
        if restored != state.cell:
            yield "snapshot and restore of the cell", state._replace(cell=restored)
        if feeds:
            yield from self._send_feed(state)
        for reply in state.feed:
            remaining = state._replace(feed=state.feed - {reply})
            yield intern(f"domain takes index {reply[0]}"), _apply_feed(remaining, *reply)
        yield from self._entry_steps(state)

    def _entry_steps(self, state):
        repeats, feeds, polls, restarts = state.budget
        for entry_number in range(self._entries):
            message = (entry_number, state.domain[1])
            if polls and state.domain[1] and message not in state.polls:
                budget = (repeats, feeds, polls - 1, restarts)
                sent = state._replace(polls=state.polls | {message}, budget=budget)
                yield intern(f"domain answers entry {entry_number}"), sent
            if restarts and state.entries[entry_number]:
                lost = frozenset(poll for poll in state.polls if poll[0] != entry_number)
                restarted = state._replace(budget=(repeats, feeds, polls, restarts - 1), polls=lost)
                entries = _replaced(state.entries, entry_number, b"")
                yield intern(f"entry {entry_number} restarts"), restarted._replace(entries=entries)
        for message in state.polls:
            entry_number, config = message
            label = intern(f"entry {entry_number} gets version {_version(config)}")
            remaining = state._replace(polls=state.polls - {message})
            yield label, self._apply_poll(remaining, entry_number, config)

    def _send_feed(self, state):
        cell = self._cells[state.cell]
        changes = cell.changes_since(GROUP, state.domain[0])
        reply = (changes.index, changes.config.SerializeToString(deterministic=True))
        if changes.HasField("config") and reply not in state.feed:
            repeats, feeds, polls, restarts = state.budget
            budget = (repeats, feeds - 1, polls, restarts)
            yield "cell feeds the domain", state._replace(feed=state.feed | {reply}, budget=budget)

    def _apply(self, state, name, sent):
        index = state.index + 1
        cell, reply = self._cell_step(state.cell, name, index)
        state = state._replace(cell=cell, index=index, sent=sent)
        first = dict(state.replies).get(name)
        if first is not None:
            if first != reply:
                return state._replace(violation=f"request {name} got {first}, sent again {reply}")
            return state
        state = state._replace(replies=state.replies | {(name, reply)})
        return self._check_history(state, name, reply)

    def _check_history(self, state, name, reply):
        config = self._cells[state.cell].config_state
        before = len(state.history)
        accepted = OperatorReply.FromString(reply).code == Code.DONE
        if config.version != before + accepted:
            return state._replace(violation=f"{name}: version {before} became {config.version}")
        expected = int(name.rsplit(" ", 1)[1])
        if accepted and expected != before:
            return state._replace(violation=f"{name} accepted at version {before}")
        if accepted:
            data = config.SerializeToString(deterministic=True)
            state = state._replace(history=(*state.history, data))
        return state

    def _apply_poll(self, state, entry_number, config):
        present = state.entries[entry_number]
        if ("poll", present, config) not in self._memo:
            follower = ConfigFollower(
                client=None, on_limits=lambda limits: None, on_drained=lambda names: None
            )
            follower.version = _version(present) if present else 0
            is_applied = follower.apply(ConfigState.FromString(config))
            self._memo["poll", present, config] = config if is_applied else present
        after = self._memo["poll", present, config]
        state = state._replace(entries=_replaced(state.entries, entry_number, after))
        if after not in state.history or _version(after) < state.highest_versions[entry_number]:
            return state._replace(
                violation=f"entry {entry_number} went back to version {_version(after)}"
            )
        if _version(after) > _version(state.domain[1]):
            return state._replace(violation=f"entry {entry_number} is ahead of its domain")
        return state._replace(
            highest_versions=_replaced(state.highest_versions, entry_number, _version(after))
        )

    def _cell_step(self, number, name, index):
        memo_key = (number, name, index)
        if memo_key not in self._memo:
            cell = self._cell_class()
            cell.restore(Cell.snapshot(self._cells[number]))
            reply = None
            if name is None:
                cell.restore(cell.snapshot())
            else:
                reply = cell.apply(index=index, command=COMMAND_BY_NAME[name])
            self._memo[memo_key] = (self._put_cell(cell), reply)
        return self._memo[memo_key]

    def _put_cell(self, cell):
        return self._cells.put(Cell.snapshot(cell), cell)


def _apply_feed(state, index, config):
    followed, present = state.domain
    newer = not present or _version(config) > _version(present)
    if newer and config not in state.history:
        return state._replace(
            violation=f"domain got version {_version(config)} outside of the history"
        )
    return state._replace(domain=(max(followed, index), config if newer else present))
