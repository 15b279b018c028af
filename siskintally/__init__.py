"""Cluster scheduler for services, batch jobs, and gangs (tasks that must run all at once)."""

from sys import argv

from siskintally.held_signals import hold_back, reloads_settings

# This runs before the imports of every entry point, which take most of the start time.
if reloads_settings(argv):
    hold_back()
