"""Entries with a store: configuration, ledger, operator calls.

The store is a fake in the test process, which leads the only domain group.
"""

from json import dumps, loads

import pytest
from anyio import create_task_group, fail_after, run, sleep
from httpx import AsyncClient

from siskintally.errors import NotLeaderError
from siskintally.ledger import Ledger
from siskintally.link import LinkServer
from siskintally.session import Handler
from siskintally.wire_pb2 import (
    ConfigState,
    ConfigWatch,
    Done,
    Hello,
    LedgerBegin,
    LedgerFinish,
    LedgerRelease,
    OperatorCall,
    OperatorReply,
)
from tests.checker import read
from tests.entry_net import TOKEN, EntryNetwork, code
from tests.processes import Processes, free_ports, wait_until

GROUP = '[[group]]\nname = "g"\nmembers = ["s1"]\ndomains = ["jylland-a"]\n'


class FakeStore(Handler):
    """Fake leader of a domain group, with faults.

    :param begin_delay_s: time from a begin call to its reply.
    :param lose_settlements: number of the next finish and release calls that fail.
    :param leads: whether calls are answered.
    :param released: keys of the released attempts, in order.
    :param calls: operator calls, in order.
    """

    def __init__(self):
        self.ledger = Ledger()
        self.config = ConfigState()
        self.begin_delay_s = 0.0
        self.lose_settlements = 0
        self.leads = True
        self.released = []
        self.calls = []

    async def handle_call(self, session, body):
        """Answer as the leader of the group, or refuse if it does not lead."""
        if not self.leads:
            raise NotLeaderError("no quorum")
        if isinstance(body, ConfigWatch):
            return await self._watch(body)
        if isinstance(body, OperatorCall):
            self.calls.append(body)
            answer = {"verb": body.verb, "arguments": loads(body.arguments)}
            return OperatorReply(code=1000, answer=dumps(answer).encode())
        if isinstance(body, LedgerBegin):
            reply = self.ledger.begin(body, 0.0)
            await sleep(self.begin_delay_s)
            return reply
        if self.lose_settlements:
            self.lose_settlements -= 1
            raise NotLeaderError("election")
        if isinstance(body, LedgerFinish):
            self.ledger.finish(body, 0.0)
        elif isinstance(body, LedgerRelease):
            self.ledger.release(body, 0.0)
            self.released.append(body.key)
        return Done()

    async def _watch(self, body):
        waited = 0.0
        while self.config.version <= body.known_version and waited < body.wait_s:
            await sleep(0.05)
            waited += 0.05
        return self.config

    def configure(self, version, **limits):
        """Set the committed configuration."""
        lines = "".join(f"{name} = {value}\n" for name, value in limits.items())
        self.config = ConfigState(
            version=version, preset="ordinary", document=f"[presets.ordinary]\n{lines}"
        )


def with_store(folder, check):
    """Run ``await check(net, store)`` with a :class:`FakeStore`, two entries and an endpoint."""

    async def main():
        store = FakeStore()
        with Processes(folder=folder) as processes:
            net = EntryNetwork(processes=processes, entries={"e1": "jylland-a", "e2": "jylland-a"})
            (port,) = free_ports(1)
            store_settings = (
                f'role = "store"\ndomain = "jylland-a"\nregion = "jylland"\ndata = "{folder}"\n'
            )
            text = f'[[process]]\nname = "s1"\n{store_settings}link = "127.0.0.1:{port}"\n{GROUP}'
            net.settings.write_text(net.settings.read_text() + text)
            hello = Hello(name="s1", cell="demo", incarnation="1")
            server = LinkServer(hello=hello, secret="0123456789abcdef", handler=store)
            async with AsyncClient(timeout=30.0) as net.client:
                with fail_after(120):
                    async with create_task_group() as tasks:
                        tasks.start_soon(lambda: server.serve(host="127.0.0.1", port=port))
                        for name in net.entries:
                            net.start_entry(name, "--nostandalone")
                        net.start_stub("p1", "--service_ms", 20)
                        await check(net, store)
                        tasks.cancel_scope.cancel()

    run(main)


async def configure_and_wait(net, store):
    """Set the first configuration and wait until all entries serve requests."""
    store.configure(1)
    await net.wait_endpoints(1)
    for entry in net.entries:
        await net.wait_serving(entry)


def started_keys(net):
    """Return the idempotency keys of the requests that started at the endpoint, in order."""
    records = read(net.record("p1"))
    return [record["key"] for record in records if record["event"] == "start" and record["key"]]


def test_entry_serves_nothing_before_its_first_configuration_and_never_goes_back(tmp_path):
    """Guards against an entry that serves without a configuration or applies an older one.

    An invalid one must not be applied either.
    """

    async def check(net, store):
        await net.wait_endpoints(1)
        assert code(await net.call("e1")) == 2007
        await configure_and_wait(net, store)

        async def version():
            return (await net.health("e1"))["config_version"]

        store.configure(3, queue_limit_normal=0, deadline_ms_normal=500)
        await wait_until(lambda: _returns(version, 3), "version 3")
        store.configure(2)
        await sleep(3.0)
        assert await version() == 3
        store.configure(4, retry_ratio=7)
        await sleep(1.0)
        assert await version() == 3
        await net.set_behaviour("p1", service_ms=2000)
        assert code(await net.call("e1")) == 3001

    with_store(tmp_path, check)


async def _returns(function, value):
    """Return whether ``await function()`` returns the value."""
    return await function() == value


def test_key_runs_once_at_all_entries(tmp_path):
    """Guards against a second run of a key through another entry.

    Also guards against an answer for a request with the same key but another body.
    """

    async def check(net, store):
        await configure_and_wait(net, store)
        codes = []

        async def send(entry):
            response = await net.call(entry, body=b"order", idempotency_key="k1", **caller)
            codes.append(code(response))

        caller = {"siskintally_caller": "shop"}
        async with create_task_group() as tasks:
            for number in range(8):
                tasks.start_soon(send, ("e1", "e2")[number % 2])
        assert codes.count(1000) == 1
        assert set(codes) <= {1000, 1001, 3002}
        repeated = await net.call("e2", body=b"order", idempotency_key="k1", **caller)
        assert (code(repeated), repeated.json()["body"]) == (1001, "order")
        other = await net.call("e1", body=b"another", idempotency_key="k1", **caller)
        assert code(other) == 4003
        assert started_keys(net) == ["k1"]

    with_store(tmp_path, check)


def test_begin_without_a_reply_is_not_run_and_released(tmp_path):
    """Guards against a dispatch after the caller was answered "not run".

    The store grants the key too late. The entry has to release it, or the key would stay blocked.
    """

    async def check(net, store):
        await configure_and_wait(net, store)
        store.begin_delay_s = 3.0
        store.lose_settlements = 2
        late = await net.call("e1", idempotency_key="k1", siskintally_deadline_ms="500")
        assert code(late) == 2003
        store.begin_delay_s = 0.0
        await wait_until(lambda: store.released == ["k1"], "release is acknowledged")
        await sleep(3.0)
        assert started_keys(net) == []
        assert code(await net.call("e1", idempotency_key="k1")) == 1000
        assert started_keys(net) == ["k1"]

    with_store(tmp_path, check)


def test_without_a_leader_only_keyed_requests_are_refused(tmp_path):
    """Guards against a keyed request that runs without a ledger record.

    Also guards against the refusal of requests without a key, which need no record.
    """

    async def check(net, store):
        await configure_and_wait(net, store)
        store.leads = False
        keyed = await net.call("e1", idempotency_key="k1", siskintally_deadline_ms="1000")
        assert code(keyed) == 2003
        assert code(await net.call("e1")) == 1000
        assert started_keys(net) == []

    with_store(tmp_path, check)


def test_lost_finish_is_sent_again_and_caller_is_answered(tmp_path):
    """Guards against an answer that is never stored because there was no leader for a while."""

    async def check(net, store):
        await configure_and_wait(net, store)
        # Fails for longer than one attempt of the entry to record the finish, which lasts 5 s.
        store.lose_settlements = 1_000_000
        assert code(await net.call("e1", idempotency_key="k1")) == 1000
        await sleep(6.0)
        assert code(await net.call("e2", idempotency_key="k1")) == 3002
        store.lose_settlements = 0

        async def replayed():
            return code(await net.call("e2", idempotency_key="k1")) == 1001

        await wait_until(replayed, "the answer is stored")

    with_store(tmp_path, check)


def test_disconnected_caller_does_not_stop_a_keyed_request(tmp_path):
    """Guards against a key without an outcome after its caller has closed the connection."""

    async def check(net, store):
        await configure_and_wait(net, store)
        await net.set_behaviour("p1", service_ms=1000)
        assert await net.call("e1", idempotency_key="k1", timeout=0.5) is None

        async def replayed():
            return code(await net.call("e1", idempotency_key="k1")) == 1001

        await wait_until(replayed, "the answer is stored")
        assert started_keys(net) == ["k1"]

    with_store(tmp_path, check)


@pytest.mark.parametrize("token", [TOKEN, "wrong-token-of-nobody"])
def test_operator_call_is_relayed_with_the_name_of_its_token(tmp_path, token):
    """Guards against a call recorded under another operator's name, or without a valid token."""

    async def check(net, store):
        await configure_and_wait(net, store)
        response = await net.client.post(
            f"{net.url_by_name['e1']}/v1/operator/drain",
            json={"worker": "w1"},
            headers={"authorization": f"Bearer {token}", "siskintally-request-id": "r1"},
        )
        if token != TOKEN:
            assert (code(response), store.calls) == (4001, [])
            return
        assert code(response) == 1000
        assert response.json()["answer"] == {"verb": "drain", "arguments": {"worker": "w1"}}
        assert [(call.operator, call.request_id) for call in store.calls] == [("astrid", "r1")]

    with_store(tmp_path, check)
