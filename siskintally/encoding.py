"""Conversion between Raft messages and entries and their protobuf wire messages.

>>> from siskintally.encoding import decode_message, encode_message
>>> from siskintally.messages import Identity, VoteReply
>>> reply = VoteReply(term=3, sender=Identity("s1", "a"), granted=True, pre_vote=False)
>>> body = encode_message(reply, group="cell")
>>> body.group, decode_message(body) == reply
('cell', True)
"""

from siskintally.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    Identity,
    Member,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from siskintally.wire_pb2 import AppendReply as AppendReplyBody
from siskintally.wire_pb2 import AppendRequest as AppendRequestBody
from siskintally.wire_pb2 import Entry as EntryBody
from siskintally.wire_pb2 import Member as MemberBody
from siskintally.wire_pb2 import SnapshotChunk as SnapshotChunkBody
from siskintally.wire_pb2 import SnapshotReply as SnapshotReplyBody
from siskintally.wire_pb2 import TransferLeadership as TransferLeadershipBody
from siskintally.wire_pb2 import VoteReply as VoteReplyBody
from siskintally.wire_pb2 import VoteRequest as VoteRequestBody

_KINDS = tuple(EntryKind)
_BODY_BY_TYPE = {
    VoteRequest: VoteRequestBody,
    VoteReply: VoteReplyBody,
    AppendRequest: AppendRequestBody,
    AppendReply: AppendReplyBody,
    SnapshotChunk: SnapshotChunkBody,
    SnapshotReply: SnapshotReplyBody,
    TransferLeadership: TransferLeadershipBody,
}
_TYPE_BY_BODY = {body: type_ for type_, body in _BODY_BY_TYPE.items()}
CONSENSUS_BODY_TYPES = tuple(_TYPE_BY_BODY)


def encode_members(members):
    """Return a member set as wire messages."""
    return [
        MemberBody(
            name=member.identity.name,
            incarnation=member.identity.incarnation,
            voter=member.voter,
        )
        for member in members
    ]


def decode_members(bodies):
    """Return the member set decoded from wire messages."""
    return tuple(
        Member(identity=Identity(body.name, body.incarnation), voter=body.voter) for body in bodies
    )


def encode_entry(entry):
    """Return a log entry as a wire message."""
    body = EntryBody(index=entry.index, term=entry.term, kind=entry.kind, command=entry.command)
    if entry.members:
        body.members.extend(encode_members(entry.members))
    return body


def decode_entry(body):
    """Return the log entry decoded from a wire message.

    :raises ValueError: the entry has an unknown kind.
    """
    if not 0 <= body.kind < len(_KINDS):
        raise ValueError(f"entry {body.index}: unknown kind {body.kind}")
    members = decode_members(body.members) if body.members else ()
    return Entry(body.index, body.term, _KINDS[body.kind], body.command, members)


def encode_message(message, *, group):
    """Return a Raft message as a frame body.

    :param group: name of the group.
    """
    fields = message._asdict()
    sender = fields.pop("sender")
    if isinstance(sender, Identity):
        fields["from_name"], fields["from_incarnation"] = sender
    else:
        fields["from_name"] = sender
    if fields.get("entries"):
        fields["entries"] = [encode_entry(entry) for entry in fields["entries"]]
    if "members" in fields:
        fields["members"] = encode_members(fields["members"])
    return _BODY_BY_TYPE[type(message)](group=group, **fields)


def decode_message(body):
    """Return the Raft message decoded from a frame body.

    :raises ValueError: an entry has an unknown kind.
    """
    type_ = _TYPE_BY_BODY[type(body)]
    fields = {name: getattr(body, name) for name in type_._fields if name != "sender"}
    fields["sender"] = body.from_name
    if type_ is not TransferLeadership:
        fields["sender"] = Identity(body.from_name, body.from_incarnation)
    if type_ is AppendRequest:
        fields["entries"] = tuple(map(decode_entry, body.entries))
    if type_ is SnapshotChunk:
        fields["members"] = decode_members(body.members)
    return type_(**fields)
