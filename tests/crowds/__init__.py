"""Tests with misbehaving clients against real processes, which run alone, one at a time."""
