"""Tests of `swiftdeck/traffic`."""
