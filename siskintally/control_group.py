"""The control group of a store: its timing, its roster, its founding state.

>>> from siskintally.control_group import GROUP_NAME
>>> GROUP_NAME
'control'
"""

from pathlib import Path

from siskintally.flow_timing import FlowTiming
from siskintally.group import Group
from siskintally.journal import found
from siskintally.log import get_logger
from siskintally.messages import Identity
from siskintally.roster import OpenRoster
from siskintally.timing import Timing

GROUP_NAME = "control"
BOOTSTRAP_INCARNATION = "founding"
FIRST_TIMEOUT_FACTOR = 0.35
# Above the share for which a leader acts after a confirmed round, in case it is alive after all.
EXITED_LEADER_TIMEOUT_FACTOR = 0.6
# Longer than a round of votes between regions, 16 ms and the sync of a vote.
VOTER_STAGGER_S = 0.1
# With the start of the process itself, longer than a leader may act without its quorum.
STARTUP_VOTE_BLOCK_S = 0.25
# A voter that has gone makes room for its successor; a shorter silence may be a restart.
VOTER_REMOVAL_S = 2.0
HEARTBEAT_INTERVAL_S = 0.2

log = get_logger("control-group")


def flow_timing(settings):
    """Return the :class:`FlowTiming` that keeps the bounds of the platform."""
    return FlowTiming.derive(
        lease_max_s=settings.lease_max_ms / 1000,
        thaw_s=settings.thaw_ms / 1000,
        contact_s=settings.contact_ms / 1000,
        status_s=settings.status_s,
    )


def create_group(settings, *, state_machine, contacts, send):
    """Return the :class:`Group` of a store.

    :param settings: :class:`~siskintally.node_settings.NodeSettings`.
    :param state_machine: :class:`~siskintally.state_machine.StateMachine`.
    :param contacts: function that yields the link addresses of other stores.
    :param send: ``send(address, body) -> bool``; must not block.
    """
    election_min_s = flow_timing(settings).election_min_s
    return Group(
        name=GROUP_NAME,
        process=settings.link_address,
        founding_members=(),
        roster=OpenRoster(
            contacts=contacts, tolerated=settings.tolerated, silence_s=VOTER_REMOVAL_S
        ),
        folder=_journal_folder(settings),
        machine=state_machine,
        send=send,
        timing=Timing(
            busy_beat_s=HEARTBEAT_INTERVAL_S,
            idle_beat_s=HEARTBEAT_INTERVAL_S,
            election_min_s=election_min_s,
            election_max_s=election_min_s * 1.6,
            first_election_share=FIRST_TIMEOUT_FACTOR,
            ended_leader_share=EXITED_LEADER_TIMEOUT_FACTOR,
            retry_election_share=FIRST_TIMEOUT_FACTOR,
            stagger_s=VOTER_STAGGER_S,
            election_spread_s=VOTER_STAGGER_S / 2,
            quiet_start_s=STARTUP_VOTE_BLOCK_S,
        ),
        stable_s=float("inf"),
        sync_in_thread=True,
    )


def bootstrap_group(settings):
    """Write the founding state, once; all founding stores write the same."""
    folder, voters = _journal_folder(settings), settings.seed_link_addresses()
    if not settings.founding or settings.link_address not in voters or folder.exists():
        return
    folder.parent.mkdir(parents=True, exist_ok=True)
    identities = tuple(Identity(name, BOOTSTRAP_INCARNATION) for name in sorted(voters))
    found(
        folder,
        group=GROUP_NAME,
        name=settings.link_address,
        voters=identities,
        incarnation=BOOTSTRAP_INCARNATION,
    )
    log.info("group founded", voters=sorted(voters))


def _journal_folder(settings):
    return Path(settings.data) / "group-control"
