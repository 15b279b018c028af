"""Benchmarks; each prints text and JSON with ratios to a baseline of the same run."""
