"""Tests of `swiftdeck/chain`."""
