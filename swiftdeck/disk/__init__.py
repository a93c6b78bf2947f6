"""Files of checksummed records."""
