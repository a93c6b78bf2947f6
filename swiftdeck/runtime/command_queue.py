"""A queue of commands that are run one at a time."""

import asyncio
import inspect


class CommandQueue:
    """Runs commands in the order in which they were sent; nothing else changes its table."""

    def __init__(self):
        self.queue = asyncio.Queue()
        self.task = asyncio.ensure_future(self._work())

    def send(self, command, *args):
        """Queue a command, a function or a coroutine function; gives a future of its result."""
        done = asyncio.get_running_loop().create_future()
        self.queue.put_nowait((command, args, done))
        return done

    async def _work(self):
        while True:
            command, args, done = await self.queue.get()
            try:
                got = command(*args)
                got = await got if inspect.isawaitable(got) else got
                if not done.done():
                    done.set_result(got)
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if done.done():
                    raise
                done.set_exception(error)
