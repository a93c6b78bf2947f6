"""The manner of speaking of the platform: names, formats and calls, and nothing that decides."""
