"""Duties that one node does, won by ballots."""
