"""Rules that the records of a run are judged by; each yields a text for each breach."""
