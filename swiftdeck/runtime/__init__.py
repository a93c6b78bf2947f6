"""What every process runs on: telemetry, shared ticks, and queues of commands."""
