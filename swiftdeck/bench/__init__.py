"""Stand-ins for callers, workers, store and platform, and the checker of their records."""
