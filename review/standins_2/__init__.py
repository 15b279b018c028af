"""Stand-ins for clients, workers and the platform, for the cases of the second review."""
