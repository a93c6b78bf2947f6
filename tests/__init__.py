"""The tests of the project, in the same tree as the package, and whole clusters under `cases`."""
