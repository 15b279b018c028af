"""A short seeded run of the fault soak; the long one is started by hand (tests/soak.py)."""

from pytest import mark

from tests.soak import play_seed

LENGTH_S = 20.0
# Seeds that have failed once stay here, each with a line on its cause.
# 1, 2, 5: a worker that started again under its id was taken for its former life.
SEEDS = (1, 2, 5)


@mark.parametrize("seed", SEEDS)
def test_faults_from_outside_break_no_promise(seed, tmp_path):
    """Guards against faults in series that overlap, each of which a test of its own covers."""
    cell = play_seed(seed, tmp_path, length_s=LENGTH_S)
    assert cell.faults
    assert cell.violations == []
