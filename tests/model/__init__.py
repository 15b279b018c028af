"""Model checker for the pure transition functions; run with ``python -m tests.model``."""
