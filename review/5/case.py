"""A ping of another writer without a body arrives while requests run."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet2 import HOST, TROUBLE, http, play, read_body, read_head  # noqa: E402

# What was sent, answered and run.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
MACHINES = 3
CLIENTS = 8
CONTACT_S = 3.0
LOST_MORE_THAN = 3  # "More than three times"


class KeptConnection:
    """A client that keeps its connection."""

    def __init__(self, fleet, node, number):
        self.fleet, self.node, self.number = fleet, node, number
        self.sent = 0

    async def open(self):
        host, _, port = self.node.at("outbound").rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def send(self):
        """Returns the id and the status of an unsafe request; 0: closed, no answer."""
        self.sent += 1
        ident = f"{os.getpid():05x}c{self.number:02x}{self.sent:04x}"
        self.fleet.record.say(f"sent      {ident} POST /pay/x to {self.node.name}")
        self.writer.write((f"POST /pay/x HTTP/1.1\r\nHost: {HOST}\r\n"
                           f"Request-Attempt-Id: {ident}\r\nDeadline-Milliseconds: 4000\r\n"
                           "Content-Length: 1\r\n\r\n1").encode())
        status = 0
        try:
            line, headers = await asyncio.wait_for(read_head(self.reader), 6)
            if line:
                status = int(line.split(" ")[1])
                await read_body(self.reader, headers)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.fleet.record.say(f"answered  {ident} {status or 'nothing, closed'}")
        return ident, status


async def case(fleet):
    await fleet.start(work_s=0.6)
    await fleet.await_service()
    node = fleet.nodes[0]
    clients = [KeptConnection(fleet, node, number) for number in range(CLIENTS)]
    for client in clients:
        await client.open()
    # Since then the connections are kept ones.
    await asyncio.gather(*[client.send() for client in clients])
    await asyncio.sleep(CONTACT_S + 1)
    sending = [asyncio.ensure_future(client.send()) for client in clients]
    await asyncio.sleep(0.3)
    if TROUBLE:
        status, _, _ = await http(node.at("control"), "POST",
                                  "/v1/targets/i-other-writer/heartbeat",
                                  [("Host", node.at("control")),
                                   ("Content-Type", "application/json"),
                                   ("Content-Length", "0")], timeout=1.0)
        fleet.record.say(f"ping      of another writer, without a body: "
                         f"{status or 'no answer'}")
    answers = await asyncio.gather(*sending)
    await asyncio.sleep(0.2)
    run = {ident for worker in fleet.workers for ident, *_ in worker.runs}
    lost = [ident for ident, status in answers if status == 0 and ident in run]
    if len(lost) <= LOST_MORE_THAN:
        return []
    return [f"{node.name} handed {len(lost)} requests of kept connections to sound workers, "
            f"which ran them, and closed the connections without an answer; its process "
            f"ended with {node.ends}"]


play(RECORD, MACHINES, case)
