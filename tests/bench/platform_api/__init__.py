"""Tests of `swiftdeck/bench/platform_api`."""
