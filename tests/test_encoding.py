"""Messages of the consensus core on the wire."""

import pytest
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally.encoding import CONSENSUS_BODY_TYPES, decode_message, encode_message
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
from siskintally.wire_pb2 import AppendRequest as AppendRequestBody
from siskintally.wire_pb2 import Entry as EntryBody

NUMBER = st.integers(0, 2**64 - 1)
IDENTITY = st.builds(Identity, st.text(max_size=9), st.text(max_size=9))
MEMBERS = st.lists(st.builds(Member, IDENTITY, st.booleans()), max_size=3).map(tuple)
ENTRY = st.builds(Entry, NUMBER, NUMBER, st.sampled_from(EntryKind), st.binary(max_size=9), MEMBERS)
FLAG = st.booleans()
MESSAGE = st.one_of(
    st.builds(VoteRequest, NUMBER, IDENTITY, NUMBER, NUMBER, FLAG, FLAG),
    st.builds(VoteReply, NUMBER, IDENTITY, FLAG, FLAG),
    st.builds(
        AppendRequest,
        NUMBER,
        IDENTITY,
        NUMBER,
        NUMBER,
        NUMBER,
        NUMBER,
        st.lists(ENTRY, max_size=3).map(tuple),
    ),
    st.builds(AppendReply, NUMBER, IDENTITY, FLAG, NUMBER, NUMBER),
    st.builds(
        SnapshotChunk,
        NUMBER,
        IDENTITY,
        NUMBER,
        NUMBER,
        MEMBERS,
        NUMBER,
        NUMBER,
        st.binary(max_size=9),
        NUMBER,
    ),
    st.builds(SnapshotReply, NUMBER, NUMBER, NUMBER, IDENTITY),
    st.builds(TransferLeadership, NUMBER, st.text(max_size=9)),
)


@given(message=MESSAGE)
def test_message_survives_the_wire(message):
    """Guards against a field that is lost or swapped between a message and its wire form."""
    body = encode_message(message, group="g")
    received = type(body).FromString(body.SerializeToString())
    assert received.group == "g"
    assert decode_message(received) == message and type(decode_message(received)) is type(message)


@settings(max_examples=300)
@given(type_=st.sampled_from(CONSENSUS_BODY_TYPES), data=st.binary(max_size=60))
def test_any_bytes_are_a_message_or_an_error(type_, data):
    """Guards against malformed bytes that end the task of a group by another error."""
    try:
        body = type_.FromString(data)
    except DecodeError:
        return
    try:
        decode_message(body)
    except ValueError as error:
        assert "unknown kind" in str(error)


@pytest.mark.parametrize("kind", [-1, 3])
def test_unknown_kind_of_entry_is_refused(kind):
    """Guards against an entry of a later version that is applied as another kind."""
    with pytest.raises(ValueError, match="unknown kind"):
        decode_message(AppendRequestBody(entries=[EntryBody(kind=kind)]))
