"""Stand-ins and helpers for the scripts of this review (standard library only).

A small deployment on loopback addresses: the metadata store, workers and clients run in
this process, by the users' pages; each node is a process of its own, started with the
command of deploy/system.toml and the settings that deploy/node.json lays out.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


# --- settings: the template language of DEPLOY.md ---

def _look_up(stack, path):
    if path == ".":
        return stack[-1]
    for scope in reversed(stack):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def _gap(stack, name):
    path, _, form = name.partition("|")
    value = _look_up(stack, path)
    if form == "json":
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, stack):
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def part(match):
        value = _look_up(stack, match.group(2))
        there = value is not None and value is not False
        if match.group(1) == "^":
            return "" if there else render(match.group(3), stack)
        return render(match.group(3), stack + [value]) if there else ""

    text = section.sub(part, text)
    return re.sub(r"\{\{([^#^/}][^}]*)\}\}", lambda m: _gap(stack, m.group(1)), text)


# --- HTTP ---

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))


async def read_head(reader):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lstrip("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None, None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


async def read_request(reader):
    line, headers = await read_head(reader)
    if not line:
        return None
    method, target, _ = line.split(" ", 2)
    try:
        return Request(method, target, headers, await read_body(reader, headers))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer_bytes(status, headers, body, close=False):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if close:
        head += "Connection: close\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


async def http(address, method, target, headers=(), body=None, timeout=10.0):
    """One request on a new connection: (status, headers, body); status 0 for no answer."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        text = f"{method} {target} HTTP/1.1\r\n"
        for name, value in headers:
            text += f"{name}: {value}\r\n"
        if body is not None:
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode("latin-1") + b"\r\n" + (body or b""))
        await writer.drain()
        line, fields = await read_head(reader)
        if not line:
            return 0, {}, b""
        return (int(line.split(" ")[1]), fields,
                await read_body(reader, fields, until_end=True))

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


# --- the record ---

class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def say(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


# --- the platform's store ---

class Store:
    """Objects by kind and name, as PROTOCOL.md tells them."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.revision = 10
        self.changes = []
        self.changed = asyncio.Condition()
        self.pages = 500
        self.lists = []  # (kind, who asked) of each list, for what a script waits for

    async def start(self, address):
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 22)

    async def put(self, kind, name, specification):
        """Another writer's change, as if it had come over the wire."""
        self.revision += 1
        held = self.kinds.setdefault(kind, {}).get(name)
        created = held["metadata"]["created"] if held else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "created": created,
                             "finalizers": [], "deleting": False},
                "specification": specification, "status": None}
        self.kinds[kind][name] = item
        await self.note(kind, item, False)
        return item

    async def note(self, kind, item, deleted):
        self.changes.append((self.revision, kind, json.loads(json.dumps(item)), deleted))
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, kind, after, wait_ms):
        def events():
            return [{"object": item, "deleted": deleted}
                    for revision, its_kind, item, deleted in self.changes
                    if its_kind == kind and revision > after]

        end = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while not events() and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return 200, {"events": events(), "current_rev": self.revision}

    def list(self, kind, after):
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        return 200, {"items": [self.kinds[kind][name] for name in names[:self.pages]],
                     "more_pages": len(names) > self.pages, "current_rev": self.revision}

    async def change(self, request, kind, name):
        held = self.kinds.get(kind, {}).get(name)
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata") or {}
        wanted = metadata.get("revision", request.query.get("revision"))
        if request.method == "POST":
            name = metadata["name"]
            held = self.kinds.get(kind, {}).get(name)
            if held:
                return 409, held
            return 200, await self.put(kind, name, body.get("specification"))
        if not held:
            return 404, {"error": "there is none"}
        if wanted is not None and int(wanted) != held["metadata"]["revision"]:
            return 409, held
        if request.method == "PUT":
            if held["specification"] == body.get("specification"):
                return 200, held
            return 200, await self.put(kind, name, body.get("specification"))
        self.revision += 1
        del self.kinds[kind][name]
        await self.note(kind, held, True)
        return 200, held

    async def answer(self, request):
        parts = [urllib.parse.unquote(part) for part in request.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if request.method != "GET":
            return await self.change(request, kind, name)
        if name:
            held = self.kinds.get(kind, {}).get(name)
            return (200, held) if held else (404, {"error": "there is none"})
        if "watch" in request.query:
            return await self.watch(kind, int(request.query["watch"]),
                                    int(request.query.get("wait_ms", 30000)))
        self.lists.append(kind)
        return self.list(kind, request.query.get("after", ""))

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                status, body = await self.answer(request)
                await asyncio.sleep(0.004)
                writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                          json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# --- a worker ---

class Worker:
    """An application worker with its pings, by PROTOCOL.md."""

    slots, queue = 4, 36

    def __init__(self, record, identifier, service, address, control, zone, work_s=0.1):
        self.record, self.identifier, self.service = record, identifier, service
        self.address, self.control, self.zone, self.work_s = address, control, zone, work_s
        self.sequence = 0
        self.running = self.waiting = 0
        self.room = asyncio.Semaphore(self.slots)
        self.runs = []
        self.state = "serving"
        self.beats = None
        self.born = int(time.time() * 1000)

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)
        self.beats = asyncio.ensure_future(self.beat())

    def ping(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address,
                           "hall": self.zone, "version": "v1", "slots": self.slots,
                           "state": self.state, "cold_ms": 0, "born": self.born,
                           "sequence": self.sequence}).encode()

    async def beat(self):
        while True:
            status, _, _ = await http(
                self.control, "POST", f"/v1/targets/{self.identifier}/heartbeat",
                [("Host", self.control), ("Content-Type", "application/json")],
                self.ping(), timeout=1.0)
            await asyncio.sleep(1.5 if status == 200 else 0.5)

    def load(self):
        return ("Server-Load", f"{self.running},{self.waiting},{self.slots}")

    async def answer(self, request):
        """Returns status, headers and body of an answer to a client's request."""
        ident = request.headers.get("request-attempt-id")
        expected = request.headers.get("expected-instance")
        if not ident:
            return 400, [("Not-Executed", "1")], b""
        if expected and expected != self.identifier:
            return 421, [("Instance-Id", self.identifier)], b""
        if self.running + self.waiting >= self.slots + self.queue:
            return 503, [("Not-Executed", "1"), self.load()], b""
        self.waiting += 1
        async with self.room:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.run(ident, request)
            finally:
                self.running -= 1

    async def run(self, ident, request):
        self.record.say(f"run       {ident} {request.method} at {self.identifier}")
        self.runs.append((ident, request.method, request.target, request.body))
        await asyncio.sleep(self.work_s)
        return 200, [("Request-Attempt-Id", ident), ("Response-Signature", f"s.{ident}"),
                     self.load()], f"answer to {ident} by {self.identifier}".encode()

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                if request.path == "/health":
                    status, headers, body = 200, [("Instance-Id", self.identifier),
                                                  self.load()], b""
                else:
                    status, headers, body = await self.answer(request)
                writer.write(answer_bytes(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# --- nodes and the whole ---

class Node:
    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.name = f"sidecar-hall-{number}"
        self.zone = "hall"
        self.ip = f"127.{fleet.net}.1.{number + 1}"
        self.process = None
        self.starts = 0
        self.expected_end = False
        self.ends = []  # exit codes of the ends that nobody ordered
        self.log = os.path.join(fleet.folder, f"node-{number}.log")

    def at(self, what):
        return f"{self.ip}:{self.fleet.ports[what]}"

    def settings(self, first_start):
        """The fields of DEPLOY.md, with the names of deploy/wire.toml."""
        ports = self.fleet.ports
        fields = {
            "node_name": self.name, "role": "node", "machine_class": "sidecar",
            "serves": ["sidecar"], "ip_address": self.ip, "hall": self.zone,
            "region": "north", "bootstrap": first_start, "data_directory": None,
            "application_address": self.at("app"), "service": self.fleet.service_of(self.number),
            "listen_addresses": {key: self.at(key)
                                 for key in ("inbound", "outbound", "ready", "control")},
            "internal_port_range": [ports["internal"], ports["internal"] + 15],
            "seed_nodes": [], "zones": {self.zone: "north"},
            "platform": {"address": self.fleet.store_address, "form": "objects"},
            "contracts": self.fleet.contracts,
            "bounds": {"retry_budget_ratio": 0.2, "retry_budget_extra": 56,
                       "budget_window": 10, "floor_share": 0.7, "configuration_apply": 2000,
                       "grace": 6},
        }
        with open(os.path.join(ROOT, "deploy", "node.json"), encoding="utf-8") as file:
            text = render(file.read(), [fields])
        # The page names port 9600 on every machine; here it may be taken.
        return text.replace(":9600", f":{ports['metrics']}")

    async def start(self, first_start):
        path = os.path.join(self.fleet.folder, f"node-{self.number}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(first_start))
        words = self.fleet.run.split(" ")
        words = [os.path.join(ROOT, words[0])] + [path if w.endswith("boot.json") else w
                                                  for w in words[1:]]
        if not os.access(words[0], os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        log = open(self.log, "a", encoding="utf-8")
        self.starts += 1
        self.expected_end = False
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.fleet.record.say(f"start     {self.name} (start {self.starts})")
        asyncio.ensure_future(self.wait(self.process))

    async def wait(self, process):
        code = await process.wait()
        self.fleet.record.say(f"end       {self.name} exit code {code}"
                              + (" (ordered)" if self.expected_end else " BY ITSELF"))
        if not self.expected_end:
            self.ends.append(code)

    def send(self, number):
        self.fleet.record.say(f"signal    {self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        self.expected_end = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def is_up(self):
        return self.process is not None and self.process.returncode is None


class Fleet:
    contracts = ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"]

    def __init__(self, record, nodes, worker=Worker, services=None):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = 64 + os.getpid() % 160
        self.worker_class = worker
        self.services = services or ["pay"] * nodes
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.run = tomllib.load(file)["roles"]["node"]["run"]
        names = ["inbound", "outbound", "ready", "control", "app", "metrics", "store"]
        self.ports = self.free_ports(names)
        self.store_address = f"127.{self.net}.0.1:{self.ports['store']}"
        self.store = Store(self.record)
        self.nodes = [Node(self, number) for number in range(nodes)]
        self.workers = []
        self.version = 4
        self.routes = [
            {"name": "r-pay", "host": HOST, "prefix": "/pay/", "kind": "unsafe",
             "timeout_ms": 2500, "objective_ms": 800, "priority": 0, "service": "pay",
             "attempts": 2},
            {"name": "r-read", "host": HOST, "prefix": "/read/", "kind": "safe",
             "timeout_ms": 2000, "objective_ms": 800, "priority": 1, "service": "pay",
             "attempts": 2}]
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout": 3000, "idle_timeout": 15000}
        self.count = 0

    def service_of(self, number):
        return self.services[number]

    def free_ports(self, names):
        """A block of 32 ports that are free on the first addresses of this fleet."""
        for base in range(21000 + os.getpid() % 400 * 20, 32000, 64):
            try:
                for port in range(base, base + 32):
                    with socket.socket() as probe:
                        probe.bind((f"127.{self.net}.1.1", port))
                    with socket.socket() as probe:
                        probe.bind((f"127.{self.net}.0.1", port))
            except OSError:
                continue
            ports = {name: base + at for at, name in enumerate(names)}
            ports["internal"] = base + 16
            return ports
        raise CannotRun("no free ports")

    async def write_config(self):
        self.version += 3
        config = {"version": self.version, "routes": self.routes,
                  "services": [{"name": name, "health_check_path": "/health",
                                "connection_limit": 330, "protocol": "h1",
                                "transport_security": False}
                               for name in sorted(set(self.services))],
                  "limits": self.limits, "base_version": self.version - 3}
        await self.store.put("config", "main", config)
        self.record.say(f"config    version {self.version} acknowledged")

    async def start(self, first_start=True, work_s=0.1):
        await self.store.start(self.store_address)
        await self.write_config()
        for node in self.nodes:
            await node.start(first_start)
        for node in self.nodes:
            worker = self.worker_class(self.record, f"i-{node.number}0c1",
                                       self.service_of(node.number), node.at("app"),
                                       node.at("control"), node.zone, work_s)
            await worker.start()
            self.workers.append(worker)

    async def is_ready(self, node):
        status, _, _ = await http(node.at("ready"), "GET", "/ready",
                                  [("Host", node.at("ready"))], timeout=1.0)
        return status == 200

    async def request(self, node, path, ident=None, method="GET", body=None, wait_ms=2000,
                      extra=()):
        """A client's request at a node's outbound address."""
        self.count += 1
        ident = ident or f"{os.getpid():05x}{self.count:08x}"
        self.record.say(f"sent      {ident} {method} {path} to {node.name}")
        headers = [("Host", HOST), ("Request-Attempt-Id", ident),
                   ("Deadline-Milliseconds", str(wait_ms))] + list(extra)
        status, fields, answer = await http(node.at("outbound"), method, path, headers, body,
                                            timeout=wait_ms / 1000 + 0.5)
        self.record.say(f"answered  {ident} {status or 'nothing'} signature "
                        f"{fields.get('response-signature', 'none')} {len(answer)} bytes")
        return status, fields, answer

    async def await_service(self, seconds=15.0):
        """Waits until each node is ready and serves a request."""
        end = time.monotonic() + seconds
        for node in self.nodes:
            while True:
                if await self.is_ready(node):
                    status, _, _ = await self.request(node, "/read/first")
                    if status == 200:
                        break
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} never served")
                await asyncio.sleep(0.2)

    async def close(self):
        for node in self.nodes:
            await node.kill()
        await asyncio.sleep(0.05)

    def logs(self):
        text = ""
        for node in self.nodes:
            if os.path.exists(node.log):
                with open(node.log, encoding="utf-8", errors="replace") as file:
                    text += file.read()
        return text


def play(record, nodes, case, **more):
    """Runs `case (fleet)`, a coroutine that returns the list of breaches, writes `record`,
    and exits: 1 for a broken rule, 0 if it held, 2 if the case could not run."""
    async def whole():
        fleet = Fleet(record, nodes, **more)
        fleet.record.say(f"TROUBLE={'1' if TROUBLE else '0'}")
        try:
            breaches = await case(fleet)
        finally:
            await fleet.close()
            if os.environ.get("KEEP"):
                print(f"kept {fleet.folder}", file=sys.stderr)
            else:
                shutil.rmtree(fleet.folder, ignore_errors=True)
        for breach in breaches:
            fleet.record.say(f"BROKEN    {breach}")
            print(breach)
        fleet.record.say(f"result    {'broken' if breaches else 'held'}")
        return 1 if breaches else 0

    try:
        code = asyncio.run(asyncio.wait_for(whole(), 115))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
