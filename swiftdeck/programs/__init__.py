"""Command-line programs that assemble the other packages."""
