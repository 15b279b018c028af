"""Cluster scheduler for services, batch jobs, and gangs (tasks that must run all at once)."""
