"""Test bed of the cases: hosts of the project as processes, and stand-ins of the store, of workers and of clients.

Standard library only. Everything listens on 127.0.0.1, at ports that the kernel chooses. The stand-ins live in one
asyncio loop; the hosts are started with the command of the deploy file and the rendered template of their settings.
"""

import asyncio
import base64
import collections
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


# HTTP/1.1, as far as the stand-ins need it.


async def read_head(reader):
    """Returns the first line and the headers (lower-case names) of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, to_end=False):
    """Returns the body, and whether it is complete."""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        if to_end:
            return await reader.read(), True
        return b"", True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b"", False


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves connections with `self.serve(first, headers, body, writer)`, which returns the bytes of the answer."""

    def __init__(self):
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0, limit=1 << 22)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body, whole = await read_body(reader, head[1])
                if not whole:
                    break
                answer = await self.serve(head[0], head[1], body, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store. `era` is None where no answer names one."""

    def __init__(self, record, era=None):
        super().__init__()
        self.record = record
        self.era = era
        self.revision = 1
        self.items = {}  # key: (value, revision, created, lease)
        self.history = []  # (key, value or None, revision, created, lease)
        self.leases = {}  # lease: (ttl, end)
        self.last_lease = 0
        self.copies = []  # (time, state)
        self.changed = asyncio.Event()
        self.down = False
        self.restores = 0
        self.shown = None

    async def start(self):
        await super().start()
        self.expiry = asyncio.create_task(self._expire())
        return self

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            for lease, (_, end) in list(self.leases.items()):
                if end <= time.monotonic():
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((key, value, self.revision, created, lease))
        self._notify()
        return self.revision

    def put_json(self, key, value):
        self.record(f"store: written {key} at revision {self.revision + 1}")
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((key, None, self.revision, 0, 0))
            self._notify()

    def expire_later(self, key):
        """Removes the entry of a worker that writes nothing any more."""
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.remove, key)

    def copy(self):
        """Keeps a copy of what the store holds, for `restore`."""
        return (self.revision, dict(self.items), list(self.history), dict(self.leases), self.last_lease)

    def go_down(self):
        self.down = True
        self._notify()
        self.close_connections()

    def restore(self, copy):
        """Comes back from a copy: later writes are lost, and their revisions are given out again."""
        self.revision, items, history, leases, self.last_lease = copy
        self.items, self.history = dict(items), list(history)
        self.leases = {lease: (ttl, time.monotonic() + ttl) for lease, (ttl, _) in leases.items()}
        self.era += 1
        self.restores += 1

    def come_back(self):
        self.down = False

    def _item(self, key, value, revision, created, lease):
        if self.shown and key.startswith("servers/"):
            entry = json.loads(value)
            entry["address"] = self.shown.get(entry["address"], entry["address"])
            value = json.dumps(entry).encode()
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "created": created, "lease": lease}

    def _answer(self, status, value):
        headers = [("Content-Type", "application/json")]
        if self.era is not None:
            headers.append(("Store-Era", str(self.era)))
        return encode(status, headers, json.dumps(value).encode())

    async def serve(self, first, headers, body, writer, shown=None):
        if self.down:
            return None
        await asyncio.sleep(0.004)
        method, target, _ = first.split(" ", 2)
        query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
        if target.startswith("/v1/kv-watch"):
            return await self._watch(query, shown)
        self.shown = shown
        try:
            return self._call(method, urlsplit(target), query, body)
        finally:
            self.shown = None

    def _call(self, method, url, query, body):
        if (method, url.path) == ("GET", "/v1/kv-range"):
            prefix = query.get("prefix", "")
            items = [self._item(k, *item) for k, item in sorted(self.items.items()) if k.startswith(prefix)]
            return self._answer(200, {"items": items, "hasMore": False, "at": self.revision})
        if (method, url.path) == ("POST", "/v1/kv-txn"):
            return self._txn(json.loads(body))
        if (method, url.path) == ("POST", "/v1/kv-lease"):
            ttl = json.loads(body)["ttlMs"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl)
            return self._answer(200, {"lease": self.last_lease, "ttlMs": int(ttl * 1000)})
        lease = url.path.rsplit("/", 1)[-1]
        lease = int(lease) if lease.isdigit() else 0
        if method == "POST" and url.path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return self._answer(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return self._answer(200, {"ttlMs": int(ttl * 1000)})
        if method == "DELETE" and url.path.startswith("/v1/kv-lease-end/"):
            self._end_lease(lease)
            return self._answer(200, {})
        return self._answer(404, {})

    async def _watch(self, query, shown):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        if after > self.revision:
            return self._answer(410, {})
        restores = self.restores
        while True:
            found = [h for h in self.history if h[2] > after and h[0].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.down or self.restores != restores:
                return None
        self.shown = shown
        events = [
            {"key": h[0], "revision": h[2], "deleted": True} if h[1] is None else self._item(*h) for h in found
        ]
        self.shown = None
        return self._answer(200, {"events": events, "at": self.revision})

    def _txn(self, txn):
        rows = txn.get("expectedRevision", [])
        known = lambda key: self.items[key][1] if key in self.items else 0
        if any(known(row["key"]) != row["revision"] for row in rows):
            items = [self._item(r["key"], *self.items[r["key"]]) for r in rows if r["key"] in self.items]
            return self._answer(412, {"items": items})
        puts = txn.get("setKeys", [])
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return self._answer(404, {})
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in txn.get("remove", []):
            self.remove(key)
        return self._answer(200, {"revision": self.revision})


class View(Server):
    """Another address of the store, at which entries name other addresses of workers: the way of one host to them."""

    def __init__(self, store, shown):
        super().__init__()
        self.store, self.shown = store, shown

    async def serve(self, first, headers, body, writer):
        return await self.store.serve(first, headers, body, writer, self.shown)


class Link:
    """A host's way to one worker: passes bytes on, until it is cut."""

    def __init__(self, target):
        self.target = target
        self.pairs = set()
        self.is_cut = False

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.addr = f"127.0.0.1:{self.port}"
        return self

    async def _connection(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        ip, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                sink.close()

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer), return_exceptions=True)
        self.pairs.discard(pair)

    def refuse_new(self):
        """Refuses each new connection; those that are open live on."""
        self.is_cut = True
        self.server.close()

    def cut(self):
        """Resets the open connections, and each new one."""
        self.is_cut = True
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    def heal(self):
        self.is_cut = False


class Worker(Server):
    """A worker of a plain service: it answers each request with its own body after `work_s`, and reports to the store.

    `arrivals` holds (time, id, host, path, status) of each request.
    """

    def __init__(self, record, store, name, service, zone="z", slots=64, work_s=0.02):
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.cut_from_store = False
        self.arrivals = []
        self.active = 0
        self.extra = {}
        self.version = "v1"
        self.peers = {}

    async def start(self):
        await super().start()
        self.write_entry()
        self.beat = asyncio.create_task(self._beat())
        return self

    def crash(self):
        """Ends like a killed process: its connections break, nothing listens, and nothing is written any more."""
        self.server.close()
        self.close_connections()
        self.beat.cancel()
        self.store.expire_later(f"servers/{self.name}")

    def entry(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.addr, "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born,
        }
        return entry | self.extra

    def write_entry(self):
        self.store.put_json(f"servers/{self.name}", self.entry())

    async def _beat(self):
        """Writes the entry anew where it is missing; the store removes it after three intervals of silence."""
        silent = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            key = f"servers/{self.name}"
            if self.cut_from_store:
                silent += 1
                if silent == 3:
                    self.record(f"store: {key} expires")
                    self.store.remove(key)
            elif not self.store.down:
                silent = 0
                if key not in self.store.items:
                    self.write_entry()

    async def serve(self, first, headers, body, writer):
        method, path, _ = first.split(" ", 2)
        common = [("X-Chiveway-Instance-Id", self.name), ("Keep-Alive", "timeout=15")]
        expected = headers.get("x-chiveway-expect-instance")
        if expected not in (None, self.name):
            return encode(421, common)
        if path == "/healthz":
            return encode(200, common)
        if "x-chiveway-attempt-id" not in headers:
            return encode(400, common + [("X-Chiveway-Not-Executed", "1")])
        return await self.run(method, path, headers, body, writer, common)

    async def run(self, method, path, headers, body, writer, common):
        ident = headers["x-chiveway-attempt-id"]
        host = headers.get("x-from-host", "?")
        named = common + [("X-Chiveway-Attempt-Id", ident)]
        refusal = self.refuses(ident)
        status = 200 if refusal is None else 503
        self.arrivals.append((now(), ident, host, path, status))
        self.record(f"{self.name}: request {ident} {path} of {host}: {status}")
        if refusal is not None:
            return encode(503, named + [("X-Chiveway-Not-Executed", "1")] + refusal)
        await asyncio.sleep(self.work_s)
        text = f"{self.name} {method} {path} {ident}".encode()
        return encode(200, named + [("X-Chiveway-Server-Stamp", f"{self.name}.{ident}")] + self.notices(), text)

    def refuses(self, _ident):
        """Returns the headers of a refusal, or None."""
        return None

    def notices(self):
        return []


class Engine(Worker):
    """A model worker. It crashes when it begins to write an answer on a prompt with the part `bad_part`."""

    bad_part = None
    read_s, begin_s, pause_s, pieces = 0.03, 0.1, 0.05, 4
    switch_s = 3.0
    on_crash = None

    def __init__(self, record, store, name, stage, **more):
        super().__init__(record, store, name, "model", **more)
        self.extra = {"stage": stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        self.orders, self.switching = 0, False
        self.crashed = False

    async def serve(self, first, headers, body, writer):
        if self.crashed:
            return None
        _, path, _ = first.split(" ", 2)
        common = [("X-Chiveway-Instance-Id", self.name), ("Keep-Alive", "timeout=15")]
        if headers.get("x-chiveway-expect-instance") in (None, self.name):
            if path == "/v1/report":
                report = {
                    "stage": self.extra["stage"], "models": self.extra["models"], "busy": self.switching,
                    "sequence": self.orders, "waiting": 0, "running": self.active, "kvUsed": 0, "kvTotal": 400000,
                    "kvHandles": 0, "born": self.born,
                }
                return encode(200, common, json.dumps(report).encode())
            if path == "/v1/order":
                order = json.loads(body)
                if order.get("stage") == self.extra["stage"]:
                    return encode(200, common)
                if self.switching or order.get("expectedRevision", self.orders) != self.orders:
                    return encode(409, common)
                self.record(f"{self.name}: order to {order.get('stage')} of {order.get('holder')}")
                self.orders += 1
                self.switching = True
                asyncio.get_running_loop().call_later(self.switch_s, self._switch, order["stage"])
                return encode(202, common)
            if path.startswith("/v1/kv-handle/"):
                return encode(200, common)
        return await super().serve(first, headers, body, writer)

    def _switch(self, stage):
        self.switching = False
        if not self.crashed:
            self.extra["stage"] = stage
            self.write_entry()

    async def run(self, method, path, headers, body, writer, common):
        ident = headers["x-chiveway-attempt-id"]
        host = headers.get("x-from-host", "?")
        named = common + [("X-Chiveway-Attempt-Id", ident)]
        prefill = headers.get("x-chiveway-serving-stage") == "prefill"
        parts = [part.split(":")[0] for part in headers.get("x-chiveway-prompt-prefix", "").split(",")]
        if self.switching:
            return encode(503, named + [("X-Chiveway-Not-Executed", "1")])
        if prefill != (self.extra["stage"] == "prefill"):
            return encode(421, named)
        is_bad = self.bad_part in parts
        self.arrivals.append((now(), ident, host, "prefill" if prefill else "run", is_bad))
        if is_bad:
            self.record(f"{self.name}: {'prefill' if prefill else 'run'} of {ident} with the bad part, of {host}")
        self.active += 1
        try:
            if prefill:
                await asyncio.sleep(self.read_s)
                answer = {"kvHandle": os.urandom(6).hex(), "tokenCount": 300, "version": 1}
                return encode(200, named + [("Content-Type", "application/json")], json.dumps(answer).encode())
            await asyncio.sleep(self.begin_s)
            if is_bad:
                if not self.crashed:
                    self.crashed = True
                    self.record(f"{self.name} crashes on {ident}")
                    self.crash()
                    self.on_crash(self)
                return None
            head = [f"{n}: {v}" for n, v in named + [
                ("X-Chiveway-Server-Stamp", f"{self.name}.{ident}"), ("X-Chiveway-Weight-Versions", "1"),
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]]
            writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head) + "\r\n\r\n").encode())
            for piece in range(1, self.pieces + 1):
                event = f"id: {piece}\ndata: {self.name} {ident}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if piece < self.pieces:
                    await asyncio.sleep(self.pause_s)
            return b"0\r\n\r\n"
        finally:
            self.active -= 1

# Hosts of the project.


def render(values):
    """Fills in deploy/host.ini: sections and placeholders as the platform's pages tell them."""
    with open(os.path.join(ROOT, "deploy", "host.ini"), encoding="utf-8") as file:
        text = file.read()

    def get(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    section = re.compile(r"\{\{#([\w.]+)\}\}((?:(?!\{\{#).)*?)\{\{/\1\}\}", re.S)
    while section.search(text):
        text = section.sub(lambda m: m[2] if get(m[1]) else "", text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str("" if get(m[1]) is None else get(m[1])), text)


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        run = re.search(r'^run = "(.*)"$', file.read(), re.M)[1].split()
    return [os.path.join(ROOT, run[0])] + run[1:]


BOUNDS = {
    "graceS": 8, "leaseMs": 3000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 58,
}


class Host:
    """A host of the project, as a process."""

    def __init__(self, folder, name, store_addr, zone="z", duties=None, memory=195):
        self.name, self.folder = name, folder
        values = {
            "nodeName": name, "region": "r", "zone": zone, "ip": "127.0.0.1", "internalPorts": ["0"],
            "listen": {"frontend": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
            "limits": {"memoryMb": memory}, "bounds": BOUNDS,
            "platform": {"address": store_addr, "ttlMinMs": 1000}, "cloud": duties,
        }
        # The kernel chooses the port of the metrics, too.
        text = render(values).replace("127.0.0.1:9464", "127.0.0.1:0")
        self.settings = os.path.join(folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    def start(self):
        self.log_path = os.path.join(self.folder, f"{self.name}-{time.monotonic_ns()}.log")
        log = open(self.log_path, "wb")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CHIVEWAY_NODE_FILE"] = self.settings
        self.process = subprocess.Popen(deploy_command(), cwd=ROOT, env=env, stdout=log, stderr=log)
        return self

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def listening(self):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            for line in self.log().splitlines():
                if '"callers"' in line:
                    line = json.loads(line)
                    self.callers, self.readiness = line["callers"], line["readiness"]
                    return self
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended: {self.log()[-500:]}")
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} doesn't listen")

    async def ready(self):
        await self.listening()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            answer = await request(self.readiness, "GET", "/v1/readyz", {})
            if answer.status == 200:
                return self
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


# Clients.

Answer = collections.namedtuple("Answer", "status headers body whole")


async def request(addr, method, path, headers, body=b"", timeout=10, host="site.example"):
    """Sends a request on a new connection; status 0 without an answer."""
    ip, port = addr.rsplit(":", 1)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=1 << 22), timeout)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines.append("Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), timeout)
        if head is None:
            return Answer(0, {}, b"", False)
        data, whole = await asyncio.wait_for(read_body(reader, head[1], True), timeout)
        return Answer(int(head[0].split(" ")[1]), head[1], data, whole)
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return Answer(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


def route(name, prefix, service, kind="non_idempotent", timeout_ms=2500, **more):
    return {
        "name": name, "hostname": "site.example", "prefix": prefix, "type": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": 2 if kind != "non_idempotent" else 1,
    } | more


def config(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}


# The frame of a script.


class Bed:
    """What a case starts; all of it ends with `close`."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.hosts = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def host(self, name, store_addr, **more):
        host = Host(self.folder, name, store_addr, **more).start()
        self.hosts.append(host)
        return host

    def close(self):
        for host in self.hosts:
            host.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_folder, case):
    """Runs `case(bed)`, which returns whether the rule was broken; exits with 1, 0, or 2 if the case could not run."""

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        bed = Bed(case_folder)
        bed.record.say(f"trouble: {'on' if bed.trouble else 'off'}")
        try:
            return await asyncio.wait_for(case(bed), 110)
        finally:
            bed.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run())
    except Exception as err:
        print(f"cannot run: {err!r}", flush=True)
        sys.exit(2)
    sys.exit(1 if broken else 0)
