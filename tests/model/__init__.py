"""Model checking of the pure transition functions; run with ``python -m tests.model``."""
