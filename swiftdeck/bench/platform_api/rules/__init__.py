"""The rules of the platform's page: one function each, which yields a text for each breach."""
