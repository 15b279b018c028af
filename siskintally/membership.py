"""Quorum sizes and single-server membership changes.

>>> from siskintally.membership import quorum_value
>>> quorum_value([7, 9, 3])
7
"""

from siskintally.errors import BadRequestError
from siskintally.messages import Member, voters_of


def quorum_size(count):
    """Return the smallest majority of ``count`` voters."""
    return count // 2 + 1


def quorum_value(values):
    """Return the largest value that a majority of the values has reached."""
    descending = sorted(values, reverse=True)
    return descending[quorum_size(len(descending)) - 1]


def check_member_change(old, new, *, leader):
    """Check that every quorum of the old members overlaps with every quorum of the new ones.

    :raises BadRequestError: more than one voter differs, or the leader would not be a voter.
    """
    if len({member.identity for member in new}) != len(new):
        raise BadRequestError("members: an identity is listed twice")
    changed_voters = set(voters_of(old)) ^ set(voters_of(new))
    if len(changed_voters) > 1:
        raise BadRequestError(f"members: {len(changed_voters)} voters differ, expected at most 1")
    if leader not in voters_of(new):
        raise BadRequestError("members: the leader must stay a voter; transfer leadership first")


def add_learner(members, identity):
    """Return the members with a new learner; it replaces other learners of its name."""
    kept = [member for member in members if member.voter or member.identity.name != identity.name]
    return sort_members([*kept, Member(identity=identity, voter=False)])


def next_promotion_step(members, identity):
    """Return the members after the next single-server change towards making a learner a voter.

    An old incarnation of the name is removed first: it cannot come back, so the smaller set needs
    no more live voters than before, while adding first would increase the quorum.
    """
    others = [member for member in members if member.identity != identity]
    kept = [member for member in others if member.identity.name != identity.name]
    if len(kept) < len(others):
        return sort_members([*kept, Member(identity=identity, voter=False)])
    return sort_members([*kept, Member(identity=identity, voter=True)])


def sort_members(members):
    """Return members as a tuple in canonical order."""
    return tuple(sorted(members))


def next_member_change(members, *, joining, is_alive, is_caught_up):
    """Return the next member set to propose in order to admit new incarnations, or None.

    An identity whose name has a live voter is not admitted: its join request is stale.

    :param joining: identities that requested to join.
    :param is_alive: function that returns whether an identity has replied recently.
    :param is_caught_up: function that returns whether a learner has nearly all entries.
    """
    identities = {member.identity for member in members}
    live_names = {voter.name for voter in voters_of(members) if is_alive(voter)}
    for identity in joining:
        if identity not in identities and identity.name not in live_names:
            return add_learner(members, identity)
    for member in members:
        if member.voter:
            continue
        if member.identity.name in live_names:
            return tuple(other for other in members if other != member)
        if is_alive(member.identity) and is_caught_up(member.identity):
            return next_promotion_step(members, member.identity)
    return None
