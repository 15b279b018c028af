"""The control group of a store: its timing, its roster, its founding state.

>>> from siskintally.control_group import GROUP
>>> GROUP
'control'
"""

from pathlib import Path

from siskintally.flow_timing import FlowTiming
from siskintally.group import Group
from siskintally.journal import bootstrap_replica
from siskintally.log import get_logger
from siskintally.messages import Identity
from siskintally.roster import OpenRoster
from siskintally.timing import Timing

GROUP = "control"
FOUNDING = "founding"
FIRST_ELECTION_SHARE = 0.35
# Above the share for which a leader acts after a confirmed round, in case it is alive after all.
ENDED_LEADER_SHARE = 0.6
# Longer than a round of votes between regions, 16 ms and the sync of a vote.
STAGGER_S = 0.1
# With the start of the process itself, longer than a leader may act without its quorum.
QUIET_START_S = 0.25
# A voter that has gone makes room for its successor; a shorter silence may be a restart.
SILENT_VOTER_S = 2.0
BEAT_S = 0.2

log = get_logger("control-group")


def flow_timing(settings):
    """Return the :class:`FlowTiming` that keeps the bounds of the platform."""
    return FlowTiming.derive(
        lease_max_s=settings.lease_max_ms / 1000,
        thaw_s=settings.thaw_ms / 1000,
        contact_s=settings.contact_ms / 1000,
        status_s=settings.status_s,
    )


def make_group(settings, *, machine, contacts, send):
    """Return the :class:`Group` of a store.

    :param settings: :class:`~siskintally.node_settings.NodeSettings`.
    :param machine: :class:`~siskintally.state_machine.StateMachine`.
    :param contacts: function that yields the link addresses of other stores.
    :param send: ``send(address, body) -> bool``; must not block.
    """
    election_min_s = flow_timing(settings).election_min_s
    return Group(
        name=GROUP,
        process=settings.link,
        bootstrap_members=(),
        roster=OpenRoster(
            contacts=contacts, tolerated=settings.tolerated, silence_s=SILENT_VOTER_S
        ),
        folder=_folder(settings),
        state_machine=machine,
        send=send,
        timing=Timing(
            busy_heartbeat_s=BEAT_S,
            idle_heartbeat_s=BEAT_S,
            election_min_s=election_min_s,
            election_max_s=election_min_s * 1.6,
            first_timeout_factor=FIRST_ELECTION_SHARE,
            exited_leader_timeout_factor=ENDED_LEADER_SHARE,
            retry_timeout_factor=FIRST_ELECTION_SHARE,
            stagger_s=STAGGER_S,
            election_spread_s=STAGGER_S / 2,
            startup_vote_block_s=QUIET_START_S,
        ),
        transfer_delay_s=float("inf"),
        sync_in_thread=True,
    )


def bootstrap_group(settings):
    """Write the founding state, once; all founding stores write the same."""
    folder, voters = _folder(settings), settings.seed_links()
    if not settings.founding or settings.link not in voters or folder.exists():
        return
    folder.parent.mkdir(parents=True, exist_ok=True)
    identities = tuple(Identity(name, FOUNDING) for name in sorted(voters))
    bootstrap_replica(
        folder, group=GROUP, name=settings.link, voters=identities, incarnation=FOUNDING
    )
    log.info("group founded", voters=sorted(voters))


def _folder(settings):
    return Path(settings.data) / "group-control"
