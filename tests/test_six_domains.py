"""Six failure domains in two regions: every entry applies configurations in order."""

import pytest
from anyio import create_task_group, sleep

from tests.cell_runs import wait_version, watch_versions, with_cell
from tests.six_domains import DOMAINS_BY_REGION, ENTRIES, LAYOUT, change_config

CHANGES = 8
# Longer than the 3 s without a frame after which links are closed and their frames are lost.
CUT_S = 4.0


async def change_during_cut(cell, locations, version):
    """Change the configuration repeatedly while locations are cut off; return the new version."""
    cell.network.cut(*locations)
    for _ in range(CHANGES):
        await change_config(cell, version)
        version += 1
    cut_entries = [entry for entry in cell.entries if ENTRIES[entry] in locations]
    other_entries = [entry for entry in cell.entries if entry not in cut_entries]
    await wait_version(cell, version, entries=other_entries)
    for entry in cut_entries:
        assert (await cell.health(entry))["config_version"] < version
    await sleep(CUT_S)
    cell.network.heal()
    await wait_version(cell, version)
    return version


@pytest.mark.timeout(300)
def test_configurations_reach_six_domains_in_order(tmp_path):
    """Guards against an entry that misses a change, or applies an older one after a newer one.

    bench.config_reach measures the time, which has to be within 5 s; here it would depend on the
    load of the machine.
    """

    async def check(cell):
        faults = []
        async with create_task_group() as tasks:
            tasks.start_soon(watch_versions, cell, faults)
            for version in range(1, CHANGES + 1):
                await change_config(cell, version)
                await wait_version(cell, version + 1)
            # One of these two domains has a member of the cell group.
            version = await change_during_cut(cell, ["fjeld-b", "jylland-b"], CHANGES + 1)
            await change_during_cut(cell, DOMAINS_BY_REGION["fjeld"], version)
            tasks.cancel_scope.cancel()
        assert faults == []

    with_cell(tmp_path, check, layout=LAYOUT, location_by_name=LAYOUT.domain_by_name())
