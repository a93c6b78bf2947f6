"""Duties held by one node at a time, elected by majority votes of the cores."""
