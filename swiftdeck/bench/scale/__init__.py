"""Measurements of what each role spends as the fleet grows."""
