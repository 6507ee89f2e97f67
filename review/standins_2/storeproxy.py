"""A proxy before the store's stand-in that loses answers or cuts waiting watches off.

A connection on which an answer was lost returns nothing further, as the pages say.
"""

import asyncio
import socket


class StoreProxy:
    """Forwards connections to ``store``.

    It loses the answers to calls of the kinds that ``loses`` names.
    ``answers`` counts the answers that were begun while ``is_counting`` is set, and
    ``lost`` has the targets of those that were lost. With ``cuts_after_s``, it closes
    the connection of a watch that has waited for so many seconds; ``cuts`` counts those
    of the workers' entries.
    """

    def __init__(self, store, host="127.0.0.1"):
        self._store = store
        self._sock = socket.create_server((host, 0))
        self.address = "{}:{}".format(*self._sock.getsockname())
        self._server = None
        self._writers = set()
        self.loses = frozenset()
        self.is_counting = False
        self.answers = 0
        self.lost = []
        self.cuts_after_s = None
        self.cuts = 0

    async def serve(self):
        """Accept connections."""
        self._server = await asyncio.start_server(self._run, sock=self._sock)

    def close(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        self._sock.close()

    async def _run(self, reader, writer):
        state = {"target": "", "is_silent": False, "is_answered": True}
        store_reader, store_writer = await asyncio.open_connection(*self._store)
        self._writers |= {writer, store_writer}
        tasks = [
            asyncio.create_task(self._forward_calls(reader, store_writer, state)),
            asyncio.create_task(self._forward_answers(store_reader, writer, state)),
            asyncio.create_task(self._cut_watch(state)),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if state["is_silent"] and tasks[0] not in done:
                # Nothing comes back on this connection until its caller closes it.
                await asyncio.wait(tasks[:1])
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            for task in tasks:
                task.cancel()
            for each in (writer, store_writer):
                each.close()
                self._writers.discard(each)

    async def _forward_calls(self, reader, store_writer, state):
        while data := await reader.read(65536):
            # Calls of the programs under test have no body and fit into one segment.
            line = data.split(b"\r\n", 1)[0]
            if line.endswith(b"HTTP/1.1"):
                state["target"] = line.split(b" ")[1].decode("latin-1")
                state["is_answered"] = False
                state["sent_at"] = asyncio.get_running_loop().time()
            store_writer.write(data)
            await store_writer.drain()

    async def _cut_watch(self, state):
        """Return when the watch that waits on a connection is to be cut off."""
        while True:
            await asyncio.sleep(0.05)
            if self.cuts_after_s is None or state["is_answered"]:
                continue
            waited_s = asyncio.get_running_loop().time() - state["sent_at"]
            if "watch=" in state["target"] and waited_s >= self.cuts_after_s:
                self.cuts += "/objects/servers?" in state["target"]
                return

    async def _forward_answers(self, store_reader, writer, state):
        while data := await store_reader.read(65536):
            if not state["is_answered"]:
                state["is_answered"] = True
                self.answers += self.is_counting
                if any(f"/objects/{kind}?" in state["target"] for kind in self.loses):
                    self.lost.append(state["target"])
                    state["is_silent"] = True
            if state["is_silent"]:
                continue
            writer.write(data)
            await writer.drain()
