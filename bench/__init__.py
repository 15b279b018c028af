<<<<<<< HEAD
"""Benchmarks; each prints text and JSON with ratios to a baseline of the same run."""
=======
"""Measurements; each module is a command that prints text and JSON."""
>>>>>>> main
