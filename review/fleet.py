"""A small fleet of the project's own nodes on loopback, for the cases of this folder.

Nodes are started with the command of deploy/system.toml and with the settings that
deploy/node.json lays out, as the platform would lay them. The store, the workers and the
clients are stand-ins, which follow the users' pages in the words that deploy/wire.toml
chooses. Only the standard library is used.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "ficu95.example"
# The bounds of the sheet "Stall bookings mesh for Welsh markets".
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5
BOUNDS = {"seed_lag": 3, "address_reuse": 2, "contact": 3000, "acknowledge": 4000,
          "catch_up": 4, "drain": 2000, "grace": 6, "loss_slack": 200,
          "configuration_apply": 2000, "downgrade_slack": 250, "partition_stretch": 5000,
          "retry_budget_ratio": 0.2, "budget_window": 10, "retry_budget_extra": 56,
          "recovery": 15, "probes_per_s": 3, "floor_share": 0.7}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"]
ZONES = ["llandeilo", "caerfyrddin", "aberhonddu"]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": 3000,
          "idle_timeout": 15000}
PORTS = {"application": 8145, "inbound": 8146, "outbound": 8147, "ready": 8141,
         "control": 8144}
STORE_PORT = 8142


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes record.txt, one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")


# --- settings ---------------------------------------------------------------------

def look_up(name, scopes):
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, str):
        return value
    return json.dumps(value)


def fill(template, fields):
    """Fills the gaps {{a.b}}, {{a|json}} and {{#a}} .. {{/a}} of a template."""

    def section(match):
        value = look_up(match.group(1), [fields])
        return match.group(2) if value not in (None, False) else ""

    def gap(match):
        name, _, form = match.group(1).partition("|")
        value = look_up(name, [fields])
        return json.dumps(value) if form == "json" else plain(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", gap, text)


def deploy_command():
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    run = re.search(r'^run = "(.*)"', text, re.M).group(1).split()
    template = re.search(r'^template = "(.*)"', text, re.M).group(1)
    return run, open(os.path.join(ROOT, template)).read()


# --- HTTP -------------------------------------------------------------------------

async def read_message(reader):
    """Reads one message; returns first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    # An empty line before a request is passed over (RFC 9112, section 2.2).
    lines = head.decode("latin-1").lstrip("\r\n").split("\r\n")
    if not lines[0]:
        return await read_message(reader)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """Sends one request on a new connection; returns (status, headers, body) or None."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [("Host", HOST)] + list(headers)
            writer.write(message(f"{method} {path} HTTP/1.1", lines, body))
            await writer.drain()
            answer = await read_message(reader)
        finally:
            writer.close()
        if not answer:
            return None
        return int(answer[0].split()[1]), answer[1], answer[2]

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


# --- the platform's store ---------------------------------------------------------

class Store:
    """The platform's metadata store: linearizable, one revision counter, watches."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.address = f"{host}:{STORE_PORT}"
        self.objects = {}
        self.changes = []
        self.revision = 1
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, STORE_PORT,
                                                 limit=1 << 22)

    def note(self, kind, name, deleted):
        item = self.objects[(kind, name)]
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self.changes.append((self.revision, kind, json.loads(json.dumps(item)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind, name, specification):
        """The operator's write."""
        key = (kind, name)
        if key not in self.objects:
            self.objects[key] = {"metadata": {"name": name, "created": self.revision + 1,
                                              "finalizers": [], "deleting": False},
                                 "specification": None, "status": None}
        self.objects[key]["specification"] = specification
        self.note(kind, name, False)
        self.record.line(f"store acknowledges {kind}/{name} of the operator")

    async def serve(self, reader, writer):
        try:
            await self.serve_calls(reader, writer)
        except asyncio.CancelledError:
            pass  # the case is over
        writer.close()

    async def serve_calls(self, reader, writer):
        while True:
            request = await read_message(reader)
            if not request:
                break
            status, answer = await self.handle(request)
            text = json.dumps(answer).encode()
            writer.write(message(f"HTTP/1.1 {status} X",
                                 [("Content-Type", "application/json"),
                                  ("Store-Era", "1")], text))
            try:
                await writer.drain()
            except ConnectionError:
                break

    async def handle(self, request):
        method, target, _ = request[0].split(" ")
        path, _, query = target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.strip("/").split("/")
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None:
            if "watch" in arguments:
                return await self.watch(kind, arguments)
            return self.list(kind, arguments.get("after", ""))
        if method == "GET":
            held = self.objects.get((kind, name))
            return (200, held) if held else (404, {})
        body = json.loads(request[2] or b"{}")
        return self.change(method, kind, name, body, arguments)

    def list(self, kind, after):
        items = [item for (of, name), item in sorted(self.objects.items())
                 if of == kind and name > after]
        return 200, {"items": items, "more_pages": False, "current_rev": self.revision}

    async def watch(self, kind, arguments):
        after = int(arguments["watch"])
        until = time.monotonic() + min(int(arguments.get("wait_ms", 0)), 30000) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = [{"object": item, "deleted": gone}
                      for revision, of, item, gone in self.changes
                      if of == kind and revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, method, kind, name, body, arguments):
        metadata = body.get("metadata", {})
        name = name or metadata.get("name")
        held = self.objects.get((kind, name))
        given = arguments.get("revision", metadata.get("revision"))
        if method == "POST" and held:
            return 409, held
        if method != "POST" and not held:
            return 404, {}
        if held and given is not None and int(given) != held["metadata"]["revision"]:
            return 409, held
        if method == "DELETE":
            self.note(kind, name, True)
            return 200, self.objects.pop((kind, name))
        if method == "PUT" and held["specification"] == body.get("specification"):
            return 200, held
        if method == "POST":
            self.objects[(kind, name)] = {
                "metadata": {"name": name, "created": self.revision + 1,
                             "finalizers": [], "deleting": False},
                "specification": None, "status": None}
        self.objects[(kind, name)]["specification"] = body.get("specification")
        self.note(kind, name, False)
        return 200, self.objects[(kind, name)]


# --- workers ----------------------------------------------------------------------

class Worker:
    """An application worker beside a node: serves, sends pings, leaves."""

    def __init__(self, node, service, work_s=0.1, slots=4):
        self.node = node
        self.service = service
        self.identifier = f"i-{random.getrandbits(32):08x}"
        self.work_s = work_s
        self.slots = slots
        self.busy = 0
        self.state = "serving"
        self.sequence = 0
        self.answer_bytes = 400
        self.runs = []  # (time, id)
        self.long = {}      # id of a request: seconds that it takes, where not work_s
        self.drops = False  # a request whose connection closes
        self.ended = {}     # id of a request: when its work ended
        self.dropped = {}   # id of a request: when it was dropped
        self.writers = {}   # writer of an open connection: its reader
        self.pinger = None

    async def start(self):
        record = self.node.fleet.record
        self.server = await asyncio.start_server(self.serve, self.node.host,
                                                 PORTS["application"], limit=1 << 22)
        self.pinger = asyncio.ensure_future(self.ping_for_ever())
        record.line(f"worker {self.identifier} of {self.service} starts "
                    f"beside {self.node.name}")

    def beat(self):
        """Returns the text of the next ping."""
        self.sequence += 1
        return json.dumps({"service": self.service,
                           "address": f"{self.node.host}:{PORTS['application']}",
                           "hall": self.node.zone, "version": "v1", "slots": self.slots,
                           "state": self.state, "cold_ms": 0,
                           "sequence": self.sequence}).encode()

    async def send_beat(self, text, timeout=1.0):
        answer = await call(self.node.at("control"), "POST",
                            f"/v1/targets/{self.identifier}/heartbeat",
                            [("Content-Type", "application/json")], text, timeout)
        return answer is not None and 200 <= answer[0] < 300

    async def ping(self):
        return await self.send_beat(self.beat())

    async def ping_for_ever(self):
        while True:
            await self.ping()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        """Sends leave until it is acknowledged, and no ping after it."""
        self.pinger.cancel()
        for _ in range(20):
            answer = await call(self.node.at("control"), "POST",
                                f"/v1/targets/{self.identifier}/leave", timeout=1.0)
            if answer and 200 <= answer[0] < 300:
                self.node.fleet.record.line(
                    f"{self.node.name} acknowledges that {self.identifier} is gone")
                return self.node.fleet.record.now()
            await asyncio.sleep(0.1)
        raise CannotRun("a leave was never acknowledged")

    async def serve(self, reader, writer):
        self.writers[writer] = reader
        while True:
            request = await read_message(reader)
            if not request:
                break
            try:
                await self.answer(request, writer)
            except (ConnectionError, asyncio.CancelledError):
                break
        self.writers.pop(writer, None)
        writer.close()

    async def answer(self, request, writer):
        method, path, _ = request[0].split(" ")
        headers = request[1]
        record = self.node.fleet.record
        request_id = headers.get("request-attempt-id", "")
        echo = [("Request-Attempt-Id", request_id)]
        if path == "/health":
            writer.write(message("HTTP/1.1 200 OK", [("Instance-Id", self.identifier)]))
        elif headers.get("expected-instance", self.identifier) != self.identifier:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 echo + [("Instance-Id", self.identifier)]))
        elif self.busy >= self.slots:
            writer.write(message("HTTP/1.1 503 Service Unavailable",
                                 echo + [("Not-Executed", "1")]))
        else:
            self.busy += 1
            self.runs.append((record.now(), request_id))
            record.line(f"{self.identifier} of {self.service} runs {request_id}")
            try:
                await self.work(request_id, writer)
            finally:
                self.busy -= 1
            self.ended[request_id] = record.now()
            body = os.urandom(self.answer_bytes // 2).hex().encode()
            writer.write(message("HTTP/1.1 200 OK", echo + [
                ("Response-Signature", f"3e1b.07.5a2.{len(body)}.0.c9f2a4d1"),
                ("Server-Load", f"{self.busy},0,{self.slots}")], body))
        await writer.drain()

    async def work(self, request_id, writer):
        until = time.monotonic() + self.long.get(request_id, self.work_s)
        while (left := until - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02) if self.drops else left)
            reader = self.writers.get(writer)
            if self.drops and (writer.transport.is_closing() or reader.at_eof()):
                record = self.node.fleet.record
                self.dropped[request_id] = record.now()
                record.line(f"{self.identifier} drops {request_id}: its connection closed")
                raise ConnectionError

    def end(self):
        """The process ends: its connections break off."""
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()
        self.node.fleet.record.line(f"{self.identifier} ends")

    def stop(self):
        if self.pinger:
            self.pinger.cancel()
        self.server.close()


# --- nodes ------------------------------------------------------------------------

class Node:
    def __init__(self, fleet, number, service):
        self.fleet = fleet
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"sidecar-{self.zone}-{number // len(ZONES) + 1}"
        self.host = f"{fleet.network}.{number + 1}"
        self.service = service
        self.worker = Worker(self, service)
        self.process = None
        self.started = None

    def at(self, port):
        return f"{self.host}:{PORTS[port]}"

    def settings(self, first):
        return {"node_name": self.name, "hall": self.zone, "region": "de-cymru",
                "ip_address": self.host, "bootstrap": first, "service": self.service,
                "application_address": self.at("application"),
                "listen_addresses": {name: self.at(name) for name in
                                     ("inbound", "outbound", "ready", "control")},
                "internal_port_range": [7380, 7395],
                "platform": {"address": self.fleet.store.address},
                "contracts": CONTRACTS, "bounds": BOUNDS}

    async def start(self, first):
        command, template = deploy_command()
        path = os.path.join(self.fleet.folder, f"{self.name}.json")
        with open(path, "w") as file:
            file.write(fill(template, self.settings(first)))
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        program = os.path.join(ROOT, command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{command[0]} is not built")
        arguments = [path if word.endswith("boot.json") else word
                     for word in command[1:]]
        self.process = await asyncio.create_subprocess_exec(
            program, *arguments, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=log, env={"PATH": os.environ.get("PATH", ""),
                             "SWITCHMILL_NODE_FILE": path})
        log.close()
        self.started = self.fleet.record.now()
        self.fleet.record.line(f"{self.name} starts")

    def send(self, number):
        self.fleet.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self, number, timeout):
        self.send(number)
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            return await self.process.wait()

    async def is_ready(self):
        answer = await call(self.at("ready"), "GET", "/ready", timeout=1.0)
        return answer is not None and answer[0] == 200


class Fleet:
    """Nodes with a worker beside each, and the store."""

    def __init__(self, case, services):
        self.record = Record(os.path.join(case, "record.txt"))
        # A network of its own in the loopback range, so that ports are free.
        self.network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record, f"{self.network}.250")
        self.nodes = [Node(self, number, service)
                      for number, service in enumerate(services)]

    def configuration(self, version, routes):
        services = sorted({node.service for node in self.nodes})
        return {"version": version, "routes": routes,
                "services": [{"name": name, "health_check_path": "/health",
                              "connection_limit": 330, "protocol": "h1",
                              "transport_security": False} for name in services],
                "limits": LIMITS}

    async def start(self, routes):
        await self.store.start()
        self.store.write("config", "main", self.configuration(7, routes))
        for node in self.nodes:
            await node.worker.start()
        for node in self.nodes:
            await node.start(True)
        for _ in range(200):
            if all([await node.is_ready() for node in self.nodes]):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the nodes never got ready")
        await asyncio.sleep(5.0)  # pings arrive and spread
        self.record.line("the fleet is ready")

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
            if hasattr(node.worker, "server"):
                node.worker.stop()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_ms=2500, objective_ms=800, priority=1,
          attempts=2):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "objective_ms": objective_ms,
            "priority": priority, "service": service, "attempts": attempts}


def new_id():
    return f"{random.getrandbits(64):016x}"


def run(case_file, services, play):
    """Plays a case; `play (fleet, trouble)` returns the faults seen, a list of lines."""
    case = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(case, services)

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(fleet, trouble), 110)
        finally:
            await fleet.stop()

    try:
        faults = asyncio.run(main())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        fleet.record.line(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for line in faults:
        fleet.record.line(line)
        print(line)
    verdict = "broken" if faults else "kept"
    fleet.record.line(f"the rule was {verdict}")
    print(f"the rule was {verdict}")
    sys.exit(1 if faults else 0)
