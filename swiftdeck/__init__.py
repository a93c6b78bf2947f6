"""swiftdeck: a fleet of routers with an index of kept prompts."""
