"""Clients have sent two requests each on one connection; their node gets SIGTERM."""
import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet as fleets

LINK_BYTES_PER_S = 10e6 / 8  # the narrowest link of the sheets, 10 Mbit/s
ANSWER_BYTES = 400000        # of a download; the sheets have up to 540,000
CLIENTS = 12


def request(request_id):
    return (f"GET /lohu930/2f HTTP/1.1\r\nHost: {fleets.HOST}\r\n"
            f"Request-Attempt-Id: {request_id}\r\n"
            f"Deadline-Milliseconds: 4000\r\n\r\n").encode()


class Client:
    """Sends a second request before the first is answered, as some clients do."""

    def __init__(self, fleet, node, number):
        self.fleet = fleet
        self.node = node
        self.number = number

    async def connect(self):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        host, port = self.node.at("outbound").rsplit(":", 1)
        await loop.sock_connect(sock, (host, int(port)))
        return sock

    async def play(self):
        """Returns whether the first answer came whole, and what was seen."""
        loop = asyncio.get_running_loop()
        sock = await self.connect()
        ids = [fleets.new_id(), fleets.new_id()]
        record = self.fleet.record
        await loop.sock_sendall(sock, request(ids[0]))
        record.line(f"client {self.number} sends {ids[0]} to {self.node.name}")
        await asyncio.sleep(0.05)
        await loop.sock_sendall(sock, request(ids[1]))
        record.line(f"client {self.number} sends {ids[1]} behind it")
        data = b""
        end = "whole"
        while True:
            try:
                piece = await loop.sock_recv(sock, 16384)
            except ConnectionError as error:
                end = f"reset ({error})"
                break
            if not piece:
                end = "closed"
                break
            data += piece
            head, mark, body = data.partition(b"\r\n\r\n")
            if mark:
                lengths = [int(line.split(b":")[1]) for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length")]
                if lengths and len(body) >= lengths[0]:
                    break
            await asyncio.sleep(len(piece) / LINK_BYTES_PER_S)
        sock.close()
        head, _, body = data.partition(b"\r\n\r\n")
        first = head.split(b"\r\n")[0].decode()
        record.line(f"client {self.number} has for {ids[0]}: {first}, {len(body)} bytes "
                    f"of the body; {end}")
        return ids[0], end == "whole", f"{first}, {len(body)} bytes, then {end}"


async def play(fleet, trouble):
    await fleet.start([fleets.route("r-archive", "/lohu930/", "download", "stats")])
    for node in fleet.nodes:
        node.worker.answer_bytes = ANSWER_BYTES
        node.worker.work_s = 0.3
    node = fleet.nodes[0]
    clients = [asyncio.ensure_future(Client(fleet, node, i).play())
               for i in range(CLIENTS)]
    await asyncio.sleep(0.15)
    if trouble:
        node.send(signal.SIGTERM)
    ended = await asyncio.gather(*clients)
    if trouble:
        await asyncio.wait_for(node.process.wait(), fleets.GRACE_S + 1)
    ran = {request_id for one in fleet.nodes for _, request_id in one.worker.runs}
    return [f"LOST: {request_id} was passed on to a worker, which answered; the client "
            f"got {seen}" for request_id, whole, seen in ended
            if not whole and request_id in ran]


fleets.run(__file__, ["stats"] * 4 + ["roster"] * 2, play)
