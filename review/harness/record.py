"""The record of a case: one JSON line for each thing that clients, workers and operators saw."""

import json
import time
from pathlib import Path


class Record:
    """Writes `record.txt` in the folder of a case; times are in seconds since the case began."""

    def __init__(self, folder: Path):
        self.start_s = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, event: str, **fields):
        """Write one event with its fields; events after the end of the case are left out."""
        if self.file.closed:
            return
        line = {"at_s": round(time.monotonic() - self.start_s, 3), "event": event} | fields
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()

    def close(self):
        """Close the file."""
        self.file.close()
