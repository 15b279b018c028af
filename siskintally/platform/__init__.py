"""Adapter to the users' platform: translates its field names, formats, and calls."""
