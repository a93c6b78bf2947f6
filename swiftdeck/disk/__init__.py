"""The data folder of a process, and journals of checksummed records in it."""
