"""Timer ticks on a common time grid, so that periodic tasks of a process share their wake-ups."""

import asyncio


async def next_tick(period_s: float):
    """Sleep until the event loop's time is the next whole multiple of a period in seconds."""
    await asyncio.sleep(period_s - asyncio.get_running_loop().time() % period_s)
