"""Cluster scheduler for services, batch work, and all-at-once jobs."""
