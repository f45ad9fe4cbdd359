"""Proxies between nodes and hosts, which make a host fall silent, cut it off, or hold calls up for its next process."""
import asyncio
import threading
import time

# Longer than any call of a node.
SILENCE_S = 30.0
# A call reaches its host at most this much later.
MAX_DELAY_S = 11.5


class Link:
    """A connection through a proxy, and the host's end of it once that is there."""

    def __init__(self, writer):
        self.writers = [writer]

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()


class HostProxy:
    """Forwards connections to one host. `mode` is "open"; "dark": the host is down, new connections wait for its next
    process; or "cut": nothing passes, and what was held up passes at the end if `delivers_late` is set. Connections to a
    process that has ended are reset, or stay silent if `stays_silent` is set."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
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

    async def _serve(self, reader, writer):
        link = Link(writer)
        self.links.add(link)
        try:
            accepted = time.monotonic()
            await self._until_open()
            if time.monotonic() > accepted + MAX_DELAY_S:
                return
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
            link.writers.append(upstream_writer)
            await asyncio.gather(self._forward(reader, upstream_writer), self._answer(upstream_reader, writer))
        except OSError:
            pass
        finally:
            self.links.discard(link)
            link.reset()

    async def _copy(self, reader, writer):
        while data := await reader.read(65_536):
            arrived = time.monotonic()
            await self._until_open()
            if time.monotonic() > arrived + MAX_DELAY_S:
                return
            writer.write(data)
            await writer.drain()

    async def _forward(self, reader, writer):
        await self._copy(reader, writer)
        # A caller that has given up has sent its call all the same.
        writer.write_eof()

    async def _answer(self, reader, writer):
        await self._copy(reader, writer)
        if self.stays_silent:
            await asyncio.sleep(SILENCE_S)
        await self._until_open()
        writer.transport.abort()


class ProxyThread:
    """Runs proxies in an event loop of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def start(self, listen, target):
        async def make():
            proxy = HostProxy(listen, target)
            await proxy.start()
            return proxy

        return asyncio.run_coroutine_threadsafe(make(), self.loop).result(5)

    def call(self, function, *arguments):
        self.loop.call_soon_threadsafe(function, *arguments)

    def close(self):
        async def cancel_all():
            for task in asyncio.all_tasks():
                task.cancel()

        asyncio.run_coroutine_threadsafe(cancel_all(), self.loop)
        self.loop.call_soon_threadsafe(self.loop.call_later, 0.2, self.loop.stop)
