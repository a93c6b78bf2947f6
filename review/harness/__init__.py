"""Shared parts of the cases: a small deployment on loopback addresses and its stand-ins."""
