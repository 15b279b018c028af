"""Entries, stores and an endpoint as real processes: configuration, ledger, leader loss."""

from httpx import AsyncClient

from siskintally.codes import Code
from tests.checker import read
from tests.entry_net import TOKEN, EntryNetwork, code
from tests.processes import wait_until
from tests.store_processes import DOCUMENT, Stores

OPERATOR = {"authorization": f"Bearer {TOKEN}"}


class StoresWithLedger(Stores):
    """Stores that form the cell group and a domain group."""

    __slots__ = ()

    def _settings(self):
        group = f'[[group]]\nname = "fjeld"\nmembers = {self.names}\ndomains = ["fjeld-a"]\n'
        return super()._settings() + group


async def start_entries(stores, client):
    """Start two entries and an endpoint that use the stores; return the :class:`Net`."""
    text = stores.settings_path.read_text().partition("[[process]]")
    net = EntryNetwork(processes=stores.processes, entries={"e1": "fjeld-a", "e2": "fjeld-a"})
    net.settings.write_text(net.settings.read_text() + "".join(text[1:]))
    net.client = client
    for name in net.entries:
        net.start_entry(name, "--nostandalone")
    net.start_stub("p1", domain="fjeld-a")
    await net.wait_endpoints(1)
    return net


async def configure(net, entry, request_id):
    """Send the first configuration through an entry; return the result code."""
    response = await net.client.post(
        f"{net.url_by_name[entry]}/v1/operator/config",
        json={"document": DOCUMENT, "expect_version": 0},
        headers=OPERATOR | {"siskintally-request-id": request_id},
    )
    return code(response)


def test_keyed_requests_run_once_while_each_store_is_lost_in_turn(tmp_path):
    """Guards against a key that an election loses, so that it runs again through another entry."""

    async def check(stores):
        await stores.wait_leader()
        async with AsyncClient(timeout=30.0) as client:
            net = await start_entries(stores, client)
            assert code(await net.call("e1")) == Code.NO_CONFIG
            assert await configure(net, "e1", "r1") == Code.DONE
            assert await configure(net, "e2", "r1") == Code.DONE
            assert await configure(net, "e2", "r2") == Code.VERSION_CONFLICT
            for entry in net.entries:
                await net.wait_serving(entry)

            async def call_with_key(entry, key):
                return code(await net.call(entry, idempotency_key=key, siskintally_caller="c"))

            async def is_done(key):
                return await call_with_key("e1", key) in (Code.DONE, Code.REPLAYED)

            await wait_until(lambda: is_done("k0"), "k0 is done")
            keys = ["k0"]
            # Kills each store in turn, so that the ledger's leader is killed at least once.
            for name in stores.names:
                stores.processes.kill(name)
                keys.append(f"without {name}")
                await wait_until(lambda: is_done(keys[-1]), f"{keys[-1]} is done")
                stores.start(name)
            for key in keys:
                assert await call_with_key("e2", key) == Code.REPLAYED
            records = read(net.record("p1"))
            started_keys = [
                record["key"] for record in records if record["event"] == "start" and record["key"]
            ]
            assert sorted(started_keys) == sorted(keys)

    StoresWithLedger(folder=tmp_path).run(check)
