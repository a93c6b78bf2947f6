"""Decides when shared cached prefixes get new names, so that isolated tenants share none of them."""

from swiftdeck.config.document import Document, shared_cache_generation

MAX_DEPARTED_TENANTS = 4096
"""How many removed tenants are remembered before shared prefixes get new names instead."""


class CacheIsolation:
    """Tracks which tenants may have left prefixes in the present generation of shared names.

    Tenants that aren't isolated share cached prefixes, whose names include a generation. A tenant
    that becomes isolated leaves its prefixes among these, so the generation then rises and nobody
    finds them any more. Removed tenants are remembered in `stored.departedTenants` until the
    generation rises, as they may come back isolated. It is None in a state of an earlier format,
    which doesn't tell who was removed.
    """

    def __init__(self, stored):
        self.stored = stored

    def required_generation(self, before: Document, after: Document, names) -> int:
        """Return the generation that a change requires; it never falls.

        Args:
            before: The configuration before the change.
            after: The configuration after it.
            names: All tenants that the change touches.
        """
        is_raised = any(self._becomes_isolated(before, after, name) for name in names)
        is_raised = is_raised or self._exceeds_memory(before, after, names)
        return shared_cache_generation(before) + is_raised

    def record(self, before: Document, after: Document, names):
        """Update the memory of removed tenants after a change that touches tenants of some names."""
        if shared_cache_generation(before) != shared_cache_generation(after):
            self.stored.departedTenants = {}
        elif self.stored.departedTenants is not None:
            for name in names:
                self.stored.departedTenants.pop(name, None)
            departing = self._departing(before, after, names)
            self.stored.departedTenants.update(dict.fromkeys(departing, True))

    def _becomes_isolated(self, before, after, name):
        """Return whether an isolated tenant may have left prefixes under the shared names."""
        if name not in after.tenants or not after.tenants[name].apart:
            return False
        if name in before.tenants:
            return not before.tenants[name].apart
        departed = self.stored.departedTenants
        return departed is None or name in departed

    def _exceeds_memory(self, before, after, names):
        departing, departed = self._departing(before, after, names), self.stored.departedTenants
        return bool(departing) and len(departing) + len(departed or ()) > MAX_DEPARTED_TENANTS

    @staticmethod
    def _departing(before, after, names):
        """Return the tenants that a change removes and that shared prefixes until then."""
        return [
            name
            for name in names
            if name in before.tenants
            and not before.tenants[name].apart
            and name not in after.tenants
        ]
