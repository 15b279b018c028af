"""Stand-ins for workers, clients, operators and the platform; standard library only."""
