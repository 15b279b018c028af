"""Six failure domains in two regions: every entry applies configurations in order."""

import pytest
from anyio import create_task_group, sleep

from tests.cell_runs import wait_version, watch_versions, with_cell
from tests.six_domains import DOMAINS_BY_REGION, ENTRIES, LAYOUT, change

CHANGES = 8
# Longer than the 3 s without a frame after which links are closed and their frames are lost.
CUT_S = 4.0


async def change_during_cut(cell, places, version):
    """Change the configuration several times while places are cut off; return the new version."""
    cell.places.cut(*places)
    for _ in range(CHANGES):
        await change(cell, version)
        version += 1
    inside = [entry for entry in cell.entries if ENTRIES[entry] in places]
    outside = [entry for entry in cell.entries if entry not in inside]
    await wait_version(cell, version, entries=outside)
    for entry in inside:
        assert (await cell.health(entry))["config_version"] < version
    await sleep(CUT_S)
    cell.places.heal()
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
                await change(cell, version)
                await wait_version(cell, version + 1)
            # One of these two domains has a member of the cell group.
            version = await change_during_cut(cell, ["fjeld-b", "jylland-b"], CHANGES + 1)
            await change_during_cut(cell, DOMAINS_BY_REGION["fjeld"], version)
            tasks.cancel_scope.cancel()
        assert faults == []

    with_cell(tmp_path, check, layout=LAYOUT, place_by_name=LAYOUT.places())
