"""Ticks of a process: local work that returns at a set pace shares its wake-ups."""

import asyncio


async def next_tick(period_s: float):
    """Sleep until the loop's time is the next whole multiple of a period."""
    await asyncio.sleep(period_s - asyncio.get_running_loop().time() % period_s)
