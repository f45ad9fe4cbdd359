"""Proxies between nodes and hosts, which make a host fall silent, cut it off, or hold calls up for its next process."""
import asyncio
import random
import threading
import time

# Longer than any call of a node.
SILENCE_S = 30.0
# A call reaches its host at most this much later; the protocol allows 12 s.
MAX_DELAY_S = 11.5
# Calls that waited for a process reach it within this time after it is back, each on its own, as connections that are
# opened again do.
SPREAD_S = 0.6


class Link:
    """A caller's connection through a proxy, and the connection to the host that serves it."""

    def __init__(self, writer):
        self.writer = writer
        self.host_writer = None
        self.answers = None
        self.is_waiting = False

    def reset(self):
        for writer in (self.writer, self.host_writer):
            if writer is not None:
                writer.transport.abort()


class HostProxy:
    """Forwards connections to one host. `mode` is "open"; "dark": the host is down, and calls wait for its next
    process; or "cut": nothing passes, and what was held up passes at the end if `delivers_late` is set. A call that the
    ended process had received is lost: its connection is reset, or stays silent if `stays_silent` is set."""

    def __init__(self, listen, target, seed):
        self.listen = listen
        self.target = target
        self.random = random.Random(seed)
        self.mode = "open"
        self.delivers_late = False
        self.stays_silent = False
        self.links = set()
        self.changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self._serve, *self.listen)

    def set_mode(self, mode):
        if mode == "open" and self.mode == "cut" and not self.delivers_late:
            for link in list(self.links):
                link.reset()
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()

    async def _until_open(self):
        while self.mode != "open":
            await self.changed.wait()

    async def _until_delivery(self):
        was_dark = self.mode == "dark"
        await self._until_open()
        if was_dark:
            await asyncio.sleep(self.random.uniform(0.0, SPREAD_S))
            await self._until_open()

    async def _serve(self, reader, writer):
        link = Link(writer)
        self.links.add(link)
        try:
            while data := await reader.read(65_536):
                arrived = time.monotonic()
                await self._until_delivery()
                if time.monotonic() > arrived + MAX_DELAY_S:
                    return
                await self._deliver(link, data)
            # A caller that has given up has sent its call all the same.
            if link.host_writer is not None:
                link.host_writer.write_eof()
                await link.answers
        except (OSError, asyncio.CancelledError):
            # asyncio.streams of Python 3.11 reports a cancelled handler as an unhandled exception.
            pass
        finally:
            if link.answers:
                link.answers.cancel()
            self.links.discard(link)
            link.reset()

    async def _deliver(self, link, data):
        if link.host_writer is None:
            host_reader, link.host_writer = await asyncio.open_connection(*self.target)
            link.answers = asyncio.create_task(self._answer(link, host_reader))
        link.is_waiting = True
        link.host_writer.write(data)
        await link.host_writer.drain()

    async def _answer(self, link, reader):
        """Passes answers on until the host's process ends; a call that comes after that goes to the next process."""
        try:
            while data := await reader.read(65_536):
                await self._until_open()
                link.is_waiting = False
                link.writer.write(data)
                await link.writer.drain()
        except OSError:
            pass
        link.host_writer.transport.abort()
        link.host_writer = None
        if link.is_waiting:
            if self.stays_silent:
                await asyncio.sleep(SILENCE_S)
            await self._until_open()
            link.reset()


class ProxyThread:
    """Runs proxies in an event loop of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def start(self, listen, target, seed):
        async def make():
            proxy = HostProxy(listen, target, seed)
            await proxy.start()
            return proxy

        return asyncio.run_coroutine_threadsafe(make(), self.loop).result(5)

    def call(self, function, *arguments):
        self.loop.call_soon_threadsafe(function, *arguments)

    def close(self):
        async def cancel_all():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(cancel_all(), self.loop).result(5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
