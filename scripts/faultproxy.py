"""A TCP and UDP proxy on loopback whose links can be delayed, reset, or blocked in one or both directions while in use."""
import asyncio
import threading

CHUNK = 65536

# Modes of a link: each direction is forwarded, blocked or delayed. A blocked TCP link resumes when its mode changes; blocked
# datagrams are dropped.
OPEN = "open"
SILENT = "silent"
TO_TARGET_ONLY = "to_target_only"
FROM_TARGET_ONLY = "from_target_only"
DELAYED = "delayed"
DELAY_S = 0.25


class Link:
    """One listening port and its target. The mode can change at any time and also applies to open connections."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = OPEN
        self.writers = set()

    def forwards(self, to_target):
        if self.mode == SILENT:
            return False
        if self.mode == TO_TARGET_ONLY:
            return to_target
        if self.mode == FROM_TARGET_ONLY:
            return not to_target
        return True

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()


class FaultProxy:
    """Runs links on a separate thread until close()."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.sockets = []
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def _run_in_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def tcp(self, listen, target):
        link = Link(listen, target)
        self.sockets.append(self._run_in_loop(asyncio.start_server(lambda reader, writer: self._serve_connection(link, reader, writer), *listen)))
        return link

    def udp(self, listen, target, client):
        """Forwards datagrams from the client to the target, and datagrams from any other sender to the client."""
        link = Link(listen, target)
        transport, _ = self._run_in_loop(self.loop.create_datagram_endpoint(lambda: _DatagramForwarder(self.loop, link, client), local_addr=listen))
        self.sockets.append(transport)
        return link

    def reset(self, link):
        self.loop.call_soon_threadsafe(link.reset)

    def close(self):
        self._run_in_loop(self._shutdown())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _shutdown(self):
        for listening in self.sockets:
            listening.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve_connection(self, link, reader, writer):
        try:
            # A silent link accepts connections but sends nothing, like a frozen VM.
            while link.mode == SILENT:
                await asyncio.sleep(0.05)
            target_reader, target_writer = await asyncio.open_connection(*link.target)
        except OSError:
            writer.transport.abort()
            return
        link.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self._copy(link, reader, target_writer, True), self._copy(link, target_reader, writer, False))
        except asyncio.CancelledError:
            # The proxy is being closed.
            pass
        link.writers -= {writer, target_writer}

    @staticmethod
    async def _copy(link, reader, writer, to_target):
        try:
            while data := await reader.read(CHUNK):
                while not link.forwards(to_target):
                    await asyncio.sleep(0.05)
                if link.mode == DELAYED:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.transport.abort()


class _DatagramForwarder(asyncio.DatagramProtocol):
    """Forwards datagrams in both directions; datagrams to the client come from any agent."""

    def __init__(self, loop, link, client):
        self.loop = loop
        self.link = link
        self.client = client
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        to_target = address == self.client
        if not self.link.forwards(to_target):
            return
        delay = DELAY_S if self.link.mode == DELAYED else 0
        self.loop.call_later(delay, self.transport.sendto, data, self.link.target if to_target else self.client)
