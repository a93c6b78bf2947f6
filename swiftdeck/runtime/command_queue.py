"""A queue whose commands run one at a time."""

import asyncio
import inspect


class CommandQueue:
    """Runs commands one at a time, in the order in which they were sent.

    State that is changed only by commands of one queue needs no lock.
    """

    def __init__(self):
        self.queue = asyncio.Queue()
        self.task = asyncio.ensure_future(self._work())

    def send(self, command, *args):
        """Queue a function or coroutine function and return a future of its result."""
        future = asyncio.get_running_loop().create_future()
        self.queue.put_nowait((command, args, future))
        return future

    async def _work(self):
        while True:
            command, args, future = await self.queue.get()
            try:
                result = command(*args)
                result = await result if inspect.isawaitable(result) else result
                if not future.done():
                    future.set_result(result)
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if future.done():
                    raise
                future.set_exception(error)
