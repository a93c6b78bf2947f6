"""The cache of prompt parts of a worker or a store, and its reports of changes."""

import asyncio

import attrs

MAX_EVENTS = 500


@attrs.define
class KeptPart:
    """A cached part of a prompt: its length, and the model, tenant and weight version that it was computed for."""

    tokens: int
    model: str
    tenant: str
    version: int


class PartCache:
    """An LRU cache of prompt parts by salt and name, with a numbered event for each addition and removal.

    `room` is its capacity in tokens, and only the newest `MAX_EVENTS` events are kept. To inject faults, `lost_share` of the events are dropped and reports are sent `late_s`
    seconds late.
    """

    def __init__(self, room, random):
        self.room, self.random, self.used, self.held = room, random, 0, {}
        self.epoch, self.number, self.events, self.report_waiters = (
            random.getrandbits(30),
            0,
            [],
            [],
        )
        self.lost_share, self.late_s = 0.0, 0.0

    def cached_prefix(self, salt, model, part_names):
        """Return the cached parts at the beginning of a prompt, and mark them as used now."""
        prefix = []
        for part_name in part_names:
            part = self.held.get((salt, part_name))
            if part is None or part.model != model:
                break
            self.held[salt, part_name] = self.held.pop((salt, part_name))
            prefix.append(part)
        return prefix

    def keep(self, salt, part_name, part):
        """Add a part unless it is already cached, and evict the least recently used ones beyond the capacity."""
        if (salt, part_name) in self.held:
            return
        self.held[salt, part_name] = part
        self.used += part.tokens
        self._add_event("+", salt, part_name, part)
        while self.used > self.room and len(self.held) > 1:
            self.drop(*next(iter(self.held)))

    def drop(self, salt, part_name):
        """Remove a part."""
        part = self.held.pop((salt, part_name))
        self.used -= part.tokens
        self._add_event("-", salt, part_name, part)

    def clear(self, model=None):
        """Remove all parts, or all parts of one model."""
        for salt, part_name in [
            key for key, part in self.held.items() if model in (None, part.model)
        ]:
            self.drop(salt, part_name)

    def _add_event(self, sign, salt, part_name, part):
        self.number += 1
        if self.random.random() >= self.lost_share:
            self.events.append([self.number, sign, salt, part_name, part.tokens, part.model])
        del self.events[:-MAX_EVENTS]
        waiters, self.report_waiters = self.report_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def reports(self, since, wait_ms):
        """Return the events after number `since`, waiting up to `wait_ms` (at most 1 s) for one if there is none."""
        if self.number <= since and wait_ms:
            waiter = asyncio.get_running_loop().create_future()
            self.report_waiters.append(waiter)
            await asyncio.wait([waiter], timeout=min(wait_ms, 1000) / 1000)
        last_number = self.number
        await asyncio.sleep(self.late_s)
        is_lost = bool(since < last_number - MAX_EVENTS)
        return {
            "epoch": self.epoch,
            "next-token": last_number,
            "lost": is_lost,
            "events": [event for event in self.events if since < event[0] <= last_number],
        }

    def listed(self):
        """Return all cached parts with the number of the last event."""
        return {
            "epoch": self.epoch,
            "next-token": self.number,
            "held": [
                [salt, part_name, part.tokens, part.model]
                for (salt, part_name), part in self.held.items()
            ],
        }
