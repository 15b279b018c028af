"""Bounded model checking of consensus and ledger, and the seeded faults that it must find."""

import pytest

from tests.model.registry import ci_specs, mutants
from tests.model.search import search


@pytest.mark.parametrize("spec", list(ci_specs()), ids=lambda spec: spec.name)
def test_specification_holds_within_its_bounds(spec):
    """Guards every state within the bounds, so an incomplete search fails as well."""
    result = search(spec)
    print(f"{spec.name}: {spec.bounds}: {result}")
    assert not result.violation, "\n".join([result.violation, *result.trace])
    assert result.complete


@pytest.mark.parametrize("mutant", list(mutants()), ids=lambda mutant: mutant.name)
def test_search_finds_the_seeded_fault(mutant):
    """Guards against a specification that would pass with a known fault in the code."""
    result = search(mutant.build())
    assert result.violation
    assert result.trace
