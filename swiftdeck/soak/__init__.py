"""A site of real processes on loopback under overlapping troubles, and the verdict over it."""
