"""Measurements; each module is a command that prints text and JSON."""
