"""Stand-ins for the cases of the review: the platform's store, engines, clients, and hosts as real processes.

The hosts run the command of the deploy file, on loopback addresses and the real clock. Everything else lives in this process.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROW_BYTES = 65536  # `row_bytes` of the settings
TX_ENTRIES = 100
TX_BYTES = 1_000_000
TOKENS_PER_EVENT = 14
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"


class Record:
    """What was sent, answered and run; goes to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Head (first line, headers in lower case) and body with a length; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Store:
    """The platform's store as PROTOCOL.md tells it, with its limits on rows and transactions."""

    def __init__(self, record, ip):
        self.record = record
        self.ip = ip
        self.rows = {}  # (table, part, key) -> [value in base64, version, is removed]
        self.version = 0
        self.changed = asyncio.Condition()
        self.is_busy = False  # down: 503, nothing is done
        self.answer_s = 0.004
        self.refused = {}
        self.silent = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, table, key, document):
        async with self.changed:
            self.version += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self.rows[(table, "", key)] = [value, self.version, False]
            self.changed.notify_all()

    def keys(self, table):
        return {key[2] for key, row in self.rows.items() if key[0] == table and not row[2]}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, reply = (503, {}) if self.is_busy else await self.answer(path, query, body)
                if self.is_busy:
                    status, reply = (status, reply) if path == "/api/rows-tx" and status == 200 else (503, {})
                text = json.dumps(reply).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                writer.write(head.encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def answer(self, path, query, body):
        if path == "/api/rows-tx":
            await asyncio.sleep(self.answer_s)
            return await self.transact(body)
        if path == "/api/rows-get":
            await asyncio.sleep(self.answer_s)
            return self.get(query)
        if path == "/api/rows-feed":
            return await self.feed(query)
        return 404, {}

    def refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1
        if self.refused[reason] <= 3 or self.refused[reason] % 50 == 0:
            self.record(f"store: 400, {reason} (time {self.refused[reason]})")
        return 400, {"error": reason}

    async def transact(self, body):
        call = json.loads(body)
        conditions, puts, removals = (call.get(name, []) for name in ("expected_rev", "puts", "remove"))
        entries = len(conditions) + len(puts) + len(removals)
        if entries > TX_ENTRIES:
            return self.refuse(f"{TX_ENTRIES} entries at most, these are {entries}")
        if len(body) > TX_BYTES:
            return self.refuse("1 MB at most")
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            if size > ROW_BYTES:
                return self.refuse(f"value of at most row_bytes {ROW_BYTES}, this one has {size}, row {put['table']}/{put['key']}")
        address = lambda row: (row["table"], row["part"], row["key"])
        async with self.changed:  # one transaction after the other
            current = []
            holds = True
            for row in conditions:
                found = self.rows.get(address(row))
                there = found is not None and not found[2]
                holds = holds and row["ver"] == (found[1] if there else 0)
                if there:
                    current.append(self.row_json(address(row)))
            if not holds:
                return 412, {"rows": current, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}
            self.version += 1
            for put in puts:
                self.rows[address(put)] = [put["value"], self.version, False]
            for row in removals:
                self.rows[address(row)] = ["", self.version, True]
            self.changed.notify_all()
        return 200, {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    def row_json(self, key):
        value, version, removed = self.rows[key]
        row = {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}
        if removed:
            row["tombstone"] = True
        return row

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, last, limit = query.get("from", ""), query.get("to", ""), int(query.get("limit", 500))
        keys = sorted(key for key, row in self.rows.items()
                      if key[0] == table and key[1] == part and key[2] >= first and (not last or key[2] < last) and not row[2])
        return 200, {"rows": [self.row_json(key) for key in keys[:limit]], "has_more": len(keys) > limit,
                     "ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            keys = sorted((row[1], key) for key, row in self.rows.items() if key[0] == table and row[1] > after)
            left = deadline - time.monotonic()
            if keys or left <= 0 or self.is_busy:
                return 200, {"rows": [self.row_json(key) for _, key in keys], "ver": self.version,
                             "now_ms": int(time.monotonic() * 1000)}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


class Engine:
    """An engine: streams as many events as a turn's `Token-Usage` allows, answers the rest whole."""

    def __init__(self, record, ip, name, zone, service="agents"):
        self.record, self.ip, self.name, self.zone, self.service = record, ip, name, zone, service
        self.ran = []  # (request id, tenant, body)
        self.channels = set()
        self.crashes_on = None  # bytes in a body that crash the engine
        self.down_s = 2.0
        self.event_s = 0.003  # time that one event takes
        self.running = 0  # streams in progress
        self.on_crash = lambda engine, ident: None

    async def open(self, store):
        self.store = store
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 24)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"
        await self.register()

    async def register(self):
        await self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 64, "state": "ready",
            "cold_left_ms": 0, "seq": 1, "born": int(time.time() * 1000)})

    async def crash(self, ident):
        """All its channels are reset; it is back after some seconds, as a new lifetime with the same id."""
        self.on_crash(self, ident)
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        await asyncio.sleep(self.down_s)
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 24)
        await self.register()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                if self.crashes_on and self.crashes_on in body:
                    self.ran.append((headers.get("request-id", ""), headers.get("tenant", ""), body))
                    writer.transport.abort()
                    asyncio.ensure_future(self.crash(headers.get("request-id", "")))
                    return
                ident = headers.get("request-id", "")
                own = f"Instance-Id: {self.name}\r\nServer-Load: 1,0,64\r\n"
                if path == "/health":
                    writer.write(f"HTTP/1.1 200 OK\r\n{own}Content-Length: 0\r\n\r\n".encode())
                elif headers.get("expect-instance", self.name) != self.name:
                    writer.write(f"HTTP/1.1 421 X\r\nRequest-Id: {ident}\r\n{own}Content-Length: 0\r\n\r\n".encode())
                elif path.startswith("/chat/"):
                    await self.stream(writer, ident, headers, body, own)
                else:
                    self.ran.append((ident, headers.get("tenant", ""), body))
                    writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {ident}\r\nResponse-Signature: s\r\n{own}"
                                 f"Content-Length: 2\r\n\r\nok".encode())
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
        writer.close()

    async def stream(self, writer, ident, headers, body, own):
        self.ran.append((ident, headers.get("tenant", ""), body))
        self.running += 1
        try:
            await self.send_events(writer, ident, headers, own)
        finally:
            self.running -= 1

    async def send_events(self, writer, ident, headers, own):
        most = int(headers.get("token-usage", "0,70").split(",")[1])
        writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {ident}\r\nResponse-Signature: s\r\n{own}"
                     f"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(most // TOKENS_PER_EVENT):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {ident}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Way:
    """A proxy of one host: the ways of other hosts to it and its way to the store. While they are cut, nothing passes, silently."""

    def __init__(self, lab, host):
        self.lab, self.host = lab, host
        self.is_cut = False
        self.power = 0

    @property
    def listen_ip(self):
        return self.lab.ip(61 + self.host.number)

    async def open(self):
        lab, port = self.lab, self.lab.ports[3]
        loop = asyncio.get_event_loop()
        way = self

        class Datagrams(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, sender):
                if not way.is_cut and not any(host.way.is_cut for host in lab.hosts if host.way.listen_ip == sender[0]):
                    self.transport.sendto(data, (way.listen_ip, port))

        await loop.create_datagram_endpoint(Datagrams, local_addr=(self.host.ip, port))
        await asyncio.start_server(self.to(lambda: (self.listen_ip, port)), self.host.ip, port)
        server = await asyncio.start_server(self.to(lambda: (lab.store.ip, lab.store.port)), self.host.ip, 0)
        self.store_address = f"{self.host.ip}:{server.sockets[0].getsockname()[1]}"

    def lose_power(self):
        """Bytes that the cut holds up are lost with their sender's power."""
        self.power += 1

    def to(self, target):
        async def serve(reader, writer):
            if self.is_cut:  # a channel that is opened in a cut hangs, and never carries a byte
                while self.is_cut:
                    await asyncio.sleep(0.02)
                writer.transport.abort()
                return
            try:
                far_reader, far_writer = await asyncio.open_connection(*target())
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))
        return serve

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                power = self.power
                while self.is_cut:
                    await asyncio.sleep(0.02)
                if power != self.power:
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            writer.transport.abort()
        writer.close()


class Host:
    """A host: the program of the deploy file as a process."""

    def __init__(self, lab, number, zone):
        self.lab, self.number, self.zone = lab, number, zone
        self.ip = lab.ip(11 + number)
        self.way = Way(lab, self) if lab.has_ways else None
        self.process = None
        self.starts = 0

    @property
    def front(self):
        return self.ip, self.lab.ports[0]

    async def start(self):
        lab = self.lab
        at = lambda index: f"{self.ip}:{lab.ports[index]}"
        settings = {
            "node_name": f"front-{self.zone}-{self.number}", "role": "entry", "machine_class": "front", "serves": ["front", "control"],
            "ip": self.ip, "zone": self.zone, "region": "here", "zones": {host.zone: "here" for host in lab.hosts},
            "listen": {"front": at(0), "ready": at(1), "control": at(2)}, "port_range": [lab.ports[3], lab.ports[3] + 15],
            "seeds": [f"{host.ip}:{lab.ports[2]}" for host in lab.hosts[:3]], "bootstrap": self.starts == 0, "fault_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 280, "max_fds": 8200, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "tenants", "quota", "places",
                          "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "recovery_s": 12},
            "provider": {"address": self.way.store_address if self.way else f"{lab.store.ip}:{lab.store.port}", "form": "table", "writes_per_s": 800, "reads_per_s": 2000,
                         "tx_ms": 5.0, "part_writes_s": 200, "row_bytes": ROW_BYTES, "across": False, "history_s": 20}}
        path = lab.folder / f"host-{self.number}.json"
        path.write_text(json.dumps(settings))
        log = open(lab.folder / f"host-{self.number}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LABURNUMMILL_NODE_FILE"] = str(path)
        options = ["--peer-listen", f"{self.way.listen_ip}:{lab.ports[3]}"] if self.way else []
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/platform/laburnummill-entry"), *options, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.starts += 1
        lab.record(f"host {self.number} started, start {self.starts}")

    async def kill(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()
        self.lab.record(f"host {self.number} ended: {self.process.returncode if self.process else None}")

    async def ready(self, patience=10):
        deadline = time.monotonic() + patience
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.lab.ports[1]), 1)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False

    @property
    def events(self):
        return self.body.count(b"data: ")


class Lab:
    """Store, engines and hosts of one case."""

    def __init__(self, folder, zones, engines=2, app_engines=0, has_ways=False):
        self.has_ways = has_ways
        self.case = pathlib.Path(folder)
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.random = random.Random()
        self.net = f"127.{self.random.randrange(64, 200)}.{self.random.randrange(1, 250)}"
        self.ports = self.free_ports()
        self.store = Store(self.record, self.ip(1))
        self.engines = [Engine(self.record, self.ip(200 + n), f"i-{n}", zones[n % len(zones)]) for n in range(engines)]
        self.engines += [Engine(self.record, self.ip(150 + n), f"a-{n}", zones[n % len(zones)], "app") for n in range(app_engines)]
        self.hosts = []
        for number, zone in enumerate(zones):
            self.hosts.append(Host(self, number, zone))

    def ip(self, last):
        return f"{self.net}.{last}"

    def free_ports(self):
        first = self.random.randrange(20000, 28000)
        return [first, first + 1, first + 2, first + 10]

    async def open(self, limits=None):
        await self.store.open()
        await self.store.put("op", "config", {
            "version": 7,
            "routes": [{"name": "r-chat", "hostname": "h.example", "prefix": "/chat/", "kind": "stream", "timeout_ms": 3000,
                        "target_latency_ms": 200, "priority": 0, "service": "agents", "max_attempts": 2, "retain": True,
                        "retention_s": 60.0, "anonymous": False, "sticky": True, "resumable": False, "target_gap_ms": 150},
                       {"name": "r-app", "hostname": "h.example", "prefix": "/app/", "kind": "unsafe", "timeout_ms": 3000,
                        "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 1, "retain": False,
                        "anonymous": False, "sticky": False, "resumable": False},
                       {"name": "r-look", "hostname": "h.example", "prefix": "/look/", "kind": "safe", "timeout_ms": 1200,
                        "target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 2, "retain": False,
                        "anonymous": False, "sticky": False, "resumable": False}],
            "services": [{"name": "agents", "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": False, "cold_s": 0.0,
                          "cold_per_s": 0.0, "engine": {"slots": 64, "kv_capacity": 1725470, "tokens_per_event": TOKENS_PER_EVENT}},
                         {"name": "app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": False, "cold_s": 0.0,
                          "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 2000, "burst": 2000}]})
        for engine in self.engines:
            await engine.open(self.store)
        for host in self.hosts:
            if host.way:
                await host.way.open()
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            if not await host.ready():
                return False
        await asyncio.sleep(3)  # they know each other, and the cold start is over
        return True

    async def close(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def turn(self, host, program, budget=2240, most=70, previous=None, text=b"hello ", ident=None, patience=3.0, aim_ms=5000):
        """Sends a turn on a channel of its own; returns its id and the answer."""
        ident = ident or self.new_id()
        head = (f"POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {ident}\r\nModel: m\r\nProgram-Id: {program}\r\n"
                f"Session-Id: {program}\r\nProgram-Deadline-Ms: {aim_ms}\r\nToken-Budget: {budget}\r\nToken-Usage: 100,{most}\r\n"
                f"Prompt-Prefix: {ident}:100\r\nDeadline-Ms: {int(patience * 1000)}\r\nX-Api-Key: {KEY}\r\n"
                f"Content-Length: {len(text)}\r\n")
        if previous:
            head += f"Previous-Turn: {previous}\r\n"
        answer = Answer()
        try:
            await asyncio.wait_for(self.exchange(host, head.encode() + b"\r\n" + text, answer), patience + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return ident, answer

    async def call(self, host, path="/app/1", method="POST", text=b"pay", ident=None, patience=2.0):
        """Sends a plain request on a channel of its own; returns its id and the answer."""
        ident = ident or self.new_id()
        head = (f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {ident}\r\nDeadline-Ms: {int(patience * 1000)}\r\n"
                f"X-Api-Key: {KEY}\r\n" + (f"Content-Length: {len(text)}\r\n" if method != "GET" else "")) + "\r\n"
        answer = Answer()
        try:
            await asyncio.wait_for(self.exchange(host, head.encode() + (text if method != "GET" else b""), answer), patience + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return ident, answer

    async def exchange(self, host, request, answer):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front, limit=1 << 24), 1)
        try:
            writer.write(request)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            answer.status = int(head[0].split(" ")[1])
            for line in head[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    answer.headers[name.strip().lower()] = value.strip()
            if answer.headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        answer.is_whole = True
                        return
                    answer.body += chunk[:-2]
            else:
                answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
                answer.is_whole = True
        finally:
            writer.close()

    def runs(self, ident):
        return sum(1 for engine in self.engines for ran in engine.ran if ran[0] == ident)


def play(folder, case):
    """Runs a case; its result is the exit code: 0 held, 1 broken, 2 could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        lab_holder = []
        try:
            return await asyncio.wait_for(case(lab_holder, has_trouble), 110)
        except Exception as failure:  # the case could not run
            if lab_holder:
                lab_holder[0].record(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}")
            return 2
        finally:
            if lab_holder:
                await lab_holder[0].close()

    code = asyncio.run(run())
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code], flush=True)
    os._exit(code)  # channels that are still open need no orderly end
