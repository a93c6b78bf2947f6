"""Soak test of a site of real processes on loopback under traffic and overlapping troubles."""
