"""Telemetry, shared timer ticks and command queues, which every process uses."""
