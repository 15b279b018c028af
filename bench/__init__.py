"""Benchmarks. Most modules are commands that print a table and JSON: ``python -m bench.NAME``.

Modules without a command (churn, load, meter) are shared by the others.
"""
