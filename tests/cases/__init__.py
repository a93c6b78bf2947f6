"""Whole clusters in one process: each case brings a failure about and judges what was seen."""
