"""Tests of `swiftdeck/bench/outer`."""
