"""Core processes, their HTTP API for operators, its client, and the diagnosis of a fleet."""
