"""A proxy on loopback for TCP and UDP whose links can be delayed, reset, cut one way or silenced while they are used."""
import asyncio
import threading

CHUNK = 65536

# What a link does with the bytes that pass: each way is forwarded, held back for ever, or late.
OPEN = "open"
SILENT = "silent"
TO_TARGET_ONLY = "to_target_only"
FROM_TARGET_ONLY = "from_target_only"
LATE = "late"
LATE_S = 0.25


class Link:
    """One listening port and where it leads. The mode may change at any time, for open connections too."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = OPEN
        self.writers = set()

    def passes(self, to_target):
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
    """Runs links in a thread of its own until close()."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.sockets = []
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def tcp(self, listen, target):
        link = Link(listen, target)
        self.sockets.append(self._call(asyncio.start_server(lambda reader, writer: self._connection(link, reader, writer), *listen)))
        return link

    def udp(self, listen, target, client):
        """Datagrams of the client go to the target; whatever others send here goes to the client."""
        link = Link(listen, target)
        transport, _ = self._call(self.loop.create_datagram_endpoint(lambda: _Datagrams(self.loop, link, client), local_addr=listen))
        self.sockets.append(transport)
        return link

    def reset(self, link):
        self.loop.call_soon_threadsafe(link.reset)

    def close(self):
        self._call(self._shutdown())
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

    async def _connection(self, link, reader, writer):
        try:
            # A silent link accepts and says nothing, as a VM that has frozen.
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
            # The proxy closes.
            pass
        link.writers -= {writer, target_writer}

    @staticmethod
    async def _copy(link, reader, writer, to_target):
        try:
            while data := await reader.read(CHUNK):
                while not link.passes(to_target):
                    await asyncio.sleep(0.05)
                if link.mode == LATE:
                    await asyncio.sleep(LATE_S)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
    """Forwards datagrams both ways; answers come from any agent."""

    def __init__(self, loop, link, client):
        self.loop = loop
        self.link = link
        self.client = client
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        to_target = address == self.client
        if not self.link.passes(to_target):
            return
        delay = LATE_S if self.link.mode == LATE else 0
        self.loop.call_later(delay, self.transport.sendto, data, self.link.target if to_target else self.client)
