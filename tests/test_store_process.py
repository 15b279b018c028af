"""Stores as real processes: bootstrap, election, loss of the leader, planned stop."""

from anyio import create_task_group
from httpx import get

from siskintally.audit import verify_file
from siskintally.codes import Code
from tests.processes import wait_until
from tests.store_processes import DOCUMENT, Stores


def test_state_survives_the_loss_of_the_leader(tmp_path):
    """Guards against an accepted configuration that an election loses or applies twice."""

    async def check(stores):
        leader = await stores.wait_all_voters()
        change = {"document": DOCUMENT, "expect_version": 0}
        first = await stores.send_change("s2", "config", change, request_id="r1")
        assert first == (Code.DONE, {"version": 1, "preset": "ordinary"})
        stores.processes.kill(leader)
        remaining = [name for name in stores.names if name != leader]
        assert await stores.wait_leader(remaining) in remaining
        assert await stores.send_change(remaining[0], "config", change, request_id="r1") == first
        code, answer = await stores.send_change(remaining[1], "config", change, request_id="r2")
        assert (code, answer["version"]) == (Code.VERSION_CONFLICT, 1)
        code, config = await stores.call_operator(remaining[0], "config")
        assert (code, config["document"]) == (Code.DONE, DOCUMENT)
        stores.start(leader)
        await stores.wait_leader()
        await wait_until(
            lambda: audit_files_match(stores, 2), "audit file of the restarted store is complete"
        )

    Stores(folder=tmp_path).run(check)


def audit_files_match(stores, records):
    """Return whether the audit files of all stores are equal, intact and of the given length."""
    audits = [verify_file(stores.folder / name / "audit.log") for name in stores.names]
    same_head = len({audit_result.head for audit_result in audits}) == 1
    return same_head and all(
        audit_result.records == records and not audit_result.damage for audit_result in audits
    )


def test_racing_operators_get_one_winner(tmp_path):
    """Guards against two stores that each accept a different change of the same version."""

    async def check(stores):
        await stores.wait_leader()
        await stores.send_change(
            "s1", "config", {"document": DOCUMENT, "expect_version": 0}, request_id="r0"
        )
        answers = []

        async def change_preset(name):
            change = {"preset": "peak", "expect_version": 1}
            answers.append(await stores.send_change(name, "preset", change, request_id=name))

        async with create_task_group() as tasks:
            for name in stores.names:
                tasks.start_soon(change_preset, name)
        assert sorted(code for code, _ in answers) == [1000, 4009, 4009]
        assert {answer["version"] for _, answer in answers} == {2}

    Stores(folder=tmp_path).run(check)


def test_planned_stop_hands_over_and_exits_with_0(tmp_path):
    """Guards against a stop that ends with an error or leaves the group without a leader."""

    async def check(stores):
        leader = await stores.wait_all_voters()
        assert stores.processes.stop(leader) == 0
        remaining = [name for name in stores.names if name != leader]
        assert await stores.wait_leader(remaining) in remaining
        for name in remaining:
            assert stores.processes.stop(name) == 0

    Stores(folder=tmp_path).run(check)


def test_store_with_a_lost_disk_joins_again_and_cannot_bootstrap(tmp_path):
    """Guards against the bootstrap of a second group by a store that lost its disk.

    The store must join as a new member, because its old incarnation has lost its votes.
    """

    async def check(stores):
        await stores.wait_all_voters()
        change = {"document": DOCUMENT, "expect_version": 0}
        await stores.send_change("s2", "config", change, request_id="r1")
        stores.processes.kill("s1")
        stores.processes.remove("s1")
        await stores.wait_leader(["s2", "s3"])
        status, text = stores.init("s1")
        assert status == 2
        assert "4000" in text
        stores.start("s1")
        await wait_until(
            lambda: audit_files_match(stores, 1), "audit file on the new disk is complete"
        )
        assert (await stores.send_change("s1", "config", change, request_id="r1"))[0] == Code.DONE

    Stores(folder=tmp_path).run(check)


def test_init_bootstraps_once_and_only_on_the_first_member(tmp_path):
    """Guards against two stores that bootstrap, which would be two groups with one name."""
    stores = Stores(folder=tmp_path)
    status, text = stores.init("s2")
    assert (status, "joins" in text) == (0, True)
    assert stores.init("s1")[0] == 0
    status, text = stores.init("s1")
    assert (status, "4000" in text) == (2, True)


def test_store_with_another_cell_secret_is_refused(tmp_path):
    """Guards against a store that takes part in a cell though its settings have another secret."""

    async def check(stores):
        await stores.wait_all_voters()
        assert stores.processes.stop("s3") == 0
        text = stores.settings_path.read_text()
        stores.settings_path.write_text(text.replace("0123456789abcdef", "fedcba9876543210"))
        stores.start("s3")
        # Of two stores the one with the larger name accepts the link, so s3 sees the wrong secret.
        await wait_until(
            lambda: "link refused" in stores.processes.log_text("s3"), "s3 logs the refusal"
        )
        assert await stores.wait_leader(["s1", "s2"]) in ("s1", "s2")
        assert await stores.call_operator("s3", "status") is None

    Stores(folder=tmp_path).run(check)


def test_operator_commands_through_an_entry(tmp_path):
    """Guards against a change that is confirmed to the operator but never reaches the domain."""

    async def check(stores):
        await stores.wait_leader()
        path = tmp_path / "config.toml"
        path.write_text(DOCUMENT)
        change = ("config", "set", str(path), "--expect-version=0", "--wait")
        status, first = stores.operate(*change, "--request-id=r1")
        assert (status, first["version"]) == (0, 1)
        assert stores.operate("preset", "peak", "--wait")[0] == 0
        await wait_until(lambda: entry_version(stores) == (2, "peak"), "version 2 at the entry")
        job = ("submit", "--name=seats", "--team=ski", "--kind=batch", "--cpu_milli=1000")
        status, submitted = stores.operate(*job)
        assert (status, submitted["split"]) == (0, {"fjeld": 1})
        assert stores.operate("cancel", submitted["job"], "--wait")[0] == 0
        row = stores.operate("jobs", submitted["job"])[1]["jobs"][0]
        assert (row["state"], row["cancelled"]) == ("cancelled", 1)
        assert stores.operate(*change, "--request-id=r1") == (0, first)
        assert stores.operate(*change)[0] == 5
        status, audit = stores.operate("audit", "--verify")
        verbs = [(record["verb"], record["code"]) for record in audit["rows"]]
        accepted = [(verb, 1000) for verb in ("config", "preset", "submit", "cancel")]
        assert (status, verbs) == (0, [*accepted, ("config", 4009)])
        for name in (*stores.names, "e1"):
            assert stores.processes.stop(name) == 0

    Stores(folder=tmp_path, with_entry=True).run(check)


def entry_version(stores):
    """Return (configuration version, preset) in force at the entry."""
    health = get(f"http://127.0.0.1:{stores.entry_port}/v1/health", trust_env=False).json()
    return health["config_version"], health["preset"]
