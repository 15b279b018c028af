"""Time in seconds from the acceptance of a configuration until it is in force at all entries.

The cell has six failure domains in two regions, with the network delays of the platform between
them. After a network cut of one domain or one region, the time counts from the end of the cut.

Usage: python -m bench.config_reach [changes]
"""

import json
from pathlib import Path
from random import Random
from sys import argv
from tempfile import TemporaryDirectory
from time import monotonic

from anyio import run, sleep

from tests.cell_runs import wait_version
from tests.full_cell import running_cell
from tests.six_domains import DOMAINS_BY_REGION, LAYOUT, change

CHANGES = 40
CUTS = 3
TARGET_S = 5.0
# Longer than the time without a frame after which links are closed.
CUT_S = 8.0
REGION_DELAY_S = 0.008
DOMAIN_DELAY_S = 0.0005


def delay(cell):
    """Set the network delays of the platform on all links between domains."""
    for (start, name), forwarder in cell.places.forwarder_by_way.items():
        region, other = (
            text.partition("-")[0] for text in (start, cell.places.place_by_name[name])
        )
        forwarder.delay_s = DOMAIN_DELAY_S if region == other else REGION_DELAY_S


async def after_cut(cell, places, version):
    """Change the configuration during a cut; return the seconds from the end of the cut."""
    cell.places.cut(*places)
    await sleep(CUT_S)
    await change(cell, version)
    cell.places.heal()
    healed = monotonic()
    delay(cell)
    await wait_version(cell, version + 1)
    return monotonic() - healed


async def measure(changes):
    """Return ``{kind of change: seconds of each change}``."""
    took = {"ordinary": [], "after the cut of a domain": [], "after the cut of a region": []}
    with TemporaryDirectory() as folder:
        options = {"layout": LAYOUT, "place_by_name": LAYOUT.places()}
        async with running_cell(Path(folder), Random(1), **options) as cell:
            delay(cell)
            version = 1
            for _ in range(changes):
                accepted = await change(cell, version)
                version += 1
                await wait_version(cell, version)
                took["ordinary"].append(monotonic() - accepted)
            for _ in range(CUTS):
                for what, places in (
                    ("domain", ["fjeld-b"]),
                    ("region", DOMAINS_BY_REGION["fjeld"]),
                ):
                    seconds = await after_cut(cell, places, version)
                    took[f"after the cut of a {what}"].append(seconds)
                    version += 1
    return took


def main():
    """Print the median and the maximum with their ratio to the target, and JSON."""
    took = run(measure, int(argv[1]) if len(argv) > 1 else CHANGES)
    for what, seconds in took.items():
        ordered = sorted(seconds)
        median, longest = ordered[len(ordered) // 2], ordered[-1]
        print(
            f"{what}: {len(ordered)} changes, median {median:.3f} s, max {longest:.3f} s, "
            f"x{longest / TARGET_S:.3f} of the target of {TARGET_S} s"
        )
    print(json.dumps(took))


if __name__ == "__main__":
    main()
