"""Stand-ins of the platform's store, of workers and of clients, on loopback, after PROTOCOL.md.

The store is atomic and linearizable and keeps what it acknowledged. Workers keep leases, fencing
tokens, run numbers and ends as the page says. Faults are switched on by the case that uses them.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "samphiretrail")

HOLD_MAX_MS = 6000
STOP_GRACE_MS = 200
GANG_WAIT_MS = 3000
CHECKPOINT_S = 0.5
ROW_BYTES = 65536
HEARTBEAT_MS = 1500


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """The times of what was sent, answered and run, since the start of the case."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self.file.write(line + "\n")


# -- HTTP --------------------------------------------------------------------------------------

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 413: "Too Large", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class NoAnswer(Exception):
    """The connection is closed without an answer."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP server on a loopback port. `handler(method, path, query, headers, body)` returns a
    status and a value, or raises `NoAnswer`."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                value = json.loads(body) if body else {}
                status, answer = await self.handler(method, url.path, query, headers, value)
                data = json.dumps(answer).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                              f"Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, NoAnswer, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Stops listening, so that new connections are refused, and resets the open ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


# -- The platform's store ------------------------------------------------------------------------

class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        # Called with the body of a transaction; may return "late S" to carry it out S seconds
        # later without an answer.
        self.fault = None
        self.server = Server(self.respond)
        self.refused_rows = 0

    async def start(self):
        await self.server.start()
        return self

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a worker does."""
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, part, key)] = (text, self.version)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _page(self, rows, more=False):
        now = int(time.monotonic() * 1000) & 0xffffffff
        return {"rows": rows, "hasMore": more, "ver": self.version, "nowMs": now}

    def _row(self, key):
        value, ver = self.rows.get(key, (None, 0))
        table, part, name = key
        return {"table": table, "part": part, "key": name, "value": value or "", "ver": ver,
                "deleted": value is None}

    def transact(self, body):
        key = lambda row: (row["table"], row.get("part", ""), row["key"])
        expected, puts = body.get("expectedRev", []), body.get("puts", [])
        removed = body.get("remove", [])
        parts = {row.get("part", "") for row in expected + puts + removed}
        if len(expected) + len(puts) + len(removed) > 100 or len(json.dumps(body)) > 1_000_000:
            return 400, {"reason": "size"}
        if len(parts) > 1 and not body.get("across"):
            return 400, {"reason": "parts"}
        if any(row["table"] in ("op", "servers") for row in puts + removed):
            return 403, {}
        for row in puts:
            if len(base64.b64decode(row["value"])) > ROW_BYTES:
                self.refused_rows += 1
                return 400, {"reason": "rowBytes", "key": row["key"]}
        for row in expected:
            value, ver = self.rows.get(key(row), (None, 0))
            if (ver if value is not None else 0) != row["ver"]:
                return 412, self._page([self._row(key(r)) for r in expected
                                        if self.rows.get(key(r), (None, 0))[0] is not None])
        self.version += 1
        for row in puts:
            self.rows[key(row)] = (row["value"], self.version)
        for row in removed:
            self.rows[key(row)] = (None, self.version)
        self._wake()
        return 200, self._page([])

    async def respond(self, method, path, query, headers, body):
        if path == "/rows-tx":
            fault = self.fault(body) if self.fault else None
            if fault is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(fault, self._transact_late, body)
                await asyncio.sleep(fault + 1)
                raise NoAnswer
            await asyncio.sleep(0.003)
            return self.transact(body)
        if path == "/rows-get":
            table, part = query["table"], query.get("part", "")
            low, high = query.get("from", ""), query.get("target", "")
            limit = min(int(query.get("limit", "500")), 500)
            keys = sorted(k for k, (value, _) in self.rows.items()
                          if k[0] == table and k[1] == part and k[2] >= low
                          and (not high or k[2] < high) and value is not None)
            return 200, self._page([self._row(k) for k in keys[:limit]], len(keys) > limit)
        if path == "/rows-feed":
            table, after = query["table"], int(query["after"])
            end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                found = [k for k, (_, ver) in self.rows.items() if k[0] == table and ver > after]
                left = end - time.monotonic()
                if found or left <= 0:
                    found.sort(key=lambda k: self.rows[k][1])
                    return 200, self._page([self._row(k) for k in found])
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    def _transact_late(self, body):
        status, _ = self.transact(body)
        keys = [row["key"] for row in body.get("puts", [])]
        self.record.write(f"store: carries out the unanswered write of {keys}: {status}")


# -- Workers -------------------------------------------------------------------------------------

class Run:
    def __init__(self, task, run, checkpoint, behaviour, now):
        self.task, self.run = task, run
        self.checkpoint = checkpoint
        self.behaviour = behaviour
        self.begun = now
        self.stopping = None


class Worker:
    """One life of a worker. Times are in seconds of the steady clock."""

    def __init__(self, world, name, capacity, labels, address_of=None):
        self.world, self.name = world, name
        self.capacity, self.labels = capacity, labels
        self.server = Server(self.respond)
        self.state = "ready"
        self.is_up = False
        self.registered = False
        self.seq = 0

    async def start(self, port=0):
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token = 0
        self.lease = 0.0
        self.running, self.ends, self.floor = {}, [], {}
        self.number = self.acked = 0
        self.is_up = True
        await self.server.start(port)
        self.register()
        return self

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def register(self):
        self.seq += 1
        self.registered = True
        self.world.store.put("servers", self.name, {
            "service": "s", "address": self.server.address, "zone": "z", "version": "v1",
            "slots": 8, "state": self.state, "coldLeftMs": 0, "capacity": self.capacity,
            "labels": self.labels, "clockMs": self.clock(), "seqNo": self.seq, "born": self.born})

    def unregister(self):
        self.registered = False
        self.world.store.put("servers", self.name, None)

    def crash(self):
        """Everything that runs here is lost, and the address refuses connections."""
        lost = sorted(f"{r.task} run {r.run}" for r in self.running.values())
        self.world.record.write(f"{self.name}: crashes; lost: {', '.join(lost) or 'nothing'}")
        self.is_up = False
        self.running = {}
        self.server.close()

    async def restart(self, name=None):
        """Begins the next life, under another id if there is one. The row of the former id goes
        after three heartbeat intervals of silence."""
        port, former = self.server.port, self.name
        if name:
            loop = asyncio.get_running_loop()
            loop.call_later(3 * HEARTBEAT_MS / 1000, self.world.store.put, "servers", former, None)
            self.name = name
        self.server = Server(self.respond)
        await self.start(port)
        self.world.record.write(f"{former}: has started again as {self.name}")

    def end(self, run, how):
        self.running.pop(run.task, None)
        self.number += 1
        self.floor[run.task] = max(self.floor.get(run.task, 0), run.run)
        self.ends.append([self.number, run.task, run.run, how, run.checkpoint,
                          self.world.record.now()])
        saved = f", saved {run.checkpoint}" if run.checkpoint else ""
        self.world.note(self.name, run.task, f"run {run.run} ends {how}{saved}", f"ends {how}")
        self.world.ended(self, run, how)

    def advance(self, now):
        if not self.is_up:
            return
        if self.running and now >= self.lease:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            if run.stopping is not None and now >= run.stopping:
                self.world.save(run, now, True)
                self.end(run, "stopped")
                continue
            self.world.save(run, now, False)
            how = run.behaviour(run, now)
            if how:
                self.end(run, how)

    def extend(self, now, deadline_ms):
        wanted = self.zero + deadline_ms / 1000
        self.lease = max(self.lease, min(wanted, now + HOLD_MAX_MS / 1000))

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    async def respond(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        expected = headers.get("expect-instance")
        if expected and expected != self.name:
            return 421, {"clockMs": self.clock()}
        token = body.get("fencingToken", 0)
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        now = time.monotonic()
        if path == "/hold":
            end = now + min(body.get("waitMs", 0), 2000) / 1000
            if "deadlineMs" in body:
                self.extend(now, body["deadlineMs"])
            upto = body.get("ackedUpto", 0)
            self.ends = [e for e in self.ends if e[0] > upto]
            self.acked = max(self.acked, upto)
            while not self.ends and time.monotonic() < end and self.is_up:
                await asyncio.sleep(0.01)
            if not self.is_up:
                raise NoAnswer
            running = [[r.task, r.run, r.checkpoint, self.world.percent(r), 0]
                       for r in self.running.values()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                         "ended": [end[:5] for end in self.ends[:500]]}
        task, run = body["task"], body["runId"]
        if path == "/run-start":
            return self.start_run(now, task, run, body)
        if path == "/run-stop":
            found = self.running.get(task)
            self.floor[task] = max(self.floor.get(task, 0), run)
            if found and found.run == run and found.stopping is None:
                found.stopping = now + STOP_GRACE_MS / 2000
            return 200, {"clockMs": self.clock()}
        if path == "/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def start_run(self, now, task, run, body):
        found = self.running.get(task)
        if found and found.run == run:
            self.extend(now, body["deadlineMs"])
            return 200, {"clockMs": self.clock()}
        if self.zero + body["deadlineMs"] / 1000 <= now:
            return self.refuse("late")
        self.extend(now, body["deadlineMs"])
        if found or run <= self.floor.get(task, 0):
            return self.refuse("old")
        saved = body.get("checkpoint", "")
        started = Run(task, run, saved, self.world.behaviour(task, run), now)
        self.running[task] = started
        origin = f" from {saved}" if saved else ""
        self.world.note(self.name, task, f"run {run} starts{origin}", "starts")
        self.world.started(self, started)
        return 200, {"clockMs": self.clock()}


def parts_of(task):
    job, occurrence, step, index = task.split(".")
    return job, int(occurrence), int(step), int(index)


# -- The deployment --------------------------------------------------------------------------------

class Process:
    """An entry, started with the command of the deploy file."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.child = None

    async def start(self):
        self.customer, self.ready, self.peer, self.metrics = free_ports(4)
        text = (f"[entry]\nname = {self.name}\nfailure_domain = z\nprocessor_share = 0.1\n"
                f"log = info\n[listen]\ncustomer = 127.0.0.1:{self.customer}\n"
                f"ready = 127.0.0.1:{self.ready}\npeer = 127.0.0.1:{self.peer}\n"
                f"metrics = 127.0.0.1:{self.metrics}\n[platform]\n"
                f"store = {self.world.store.server.address}\n[bounds]\nlease_ms = {HOLD_MAX_MS}\n"
                f"retention_s = 120\nharm_ms = 4000\nstop_s = 6\n")
        settings = os.path.join(self.world.folder, f"{self.name}.ini")
        with open(settings, "w") as file:
            file.write(text)
        self.log = os.path.join(self.world.folder, f"{self.name}.log")
        with open(self.log, "w") as log:
            self.child = await asyncio.create_subprocess_exec(
                BINARY, "serve", cwd=ROOT, stdout=log, stderr=log,
                env={"SAMPHIRETRAIL_BOOT": settings, "PATH": os.environ.get("PATH", "")})
        self.world.record.write(f"{self.name}: the entry is started")
        return self

    async def kill(self):
        if self.child and self.child.returncode is None:
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class World:
    """A small deployment. A case overrides the behaviour of tasks."""

    QUEUE = {"name": "r-1", "host": "a.example", "pathPrefix": "/q/", "kind": "unsafe",
             "timeoutMs": 3000, "service": "s", "priority": 0, "maxAttempts": 4, "stretch": 1.5,
             "targetLatencyMs": 250}

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.store = Store(record)
        self.workers, self.entries = [], []
        self.starts = []
        self.breaks = []
        self.counts = {}

    # What tasks do; a case replaces these.
    def behaviour(self, task, run):
        return lambda this, now: "done" if now - this.begun >= 1.0 else None

    def save(self, run, now, at_stop):
        pass

    def percent(self, run):
        return 0

    def started(self, worker, run):
        self.starts.append((self.record.now(), worker.name, run.task, run.run, run.checkpoint))

    def ended(self, worker, run, how):
        pass

    # Jobs of which the record holds the number of starts and ends in each second only.
    wide = ()

    def note(self, worker, task, text, kind):
        if task.startswith(self.wide) and self.wide:
            key = (worker, task.split(".")[0], kind)
            self.counts[key] = self.counts.get(key, 0) + 1
        else:
            self.record.write(f"{worker}: {task} {text}")

    def flush_counts(self):
        for (worker, job, kind), count in sorted(self.counts.items()):
            self.record.write(f"{worker}: {count} tasks of {job}: {kind}")
        self.counts.clear()

    async def begin(self, entries, workers, capacity, labels=("a", "r1")):
        await self.store.start()
        self.store.put("op", "config", {"version": 1, "routes": [self.QUEUE],
                                        "services": [{"name": "s", "enforcesCapacity": False}],
                                        "limits": {}})
        for index in range(workers):
            await self.add_worker(f"i-{index}", capacity, list(labels))
        self.entries = [Process(self, f"entry-{index}") for index in range(entries)]
        for entry in self.entries:
            await entry.start()
        self.ticking = asyncio.create_task(self._tick())
        await self.wait("all entries are ready", 20, self._all_ready)

    async def add_worker(self, name, capacity, labels):
        worker = Worker(self, name, capacity, labels)
        self.workers.append(worker)
        return await worker.start()

    async def _all_ready(self):
        for entry in self.entries:
            if (await call(entry.ready, "GET", "/readiness"))[0] != 200:
                return False
        return True

    async def _tick(self):
        beat = flushed = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for worker in self.workers:
                worker.advance(now)
            if now - flushed >= 1.0:
                flushed = now
                self.flush_counts()
            if now - beat >= HEARTBEAT_MS / 1000:
                beat = now
                for worker in self.workers:
                    if worker.is_up and worker.registered:
                        worker.register()

    async def wait(self, what, limit, condition):
        end = time.monotonic() + limit
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            if time.monotonic() >= end:
                raise CannotRun(f"not within {limit} s: {what}")
            await asyncio.sleep(0.01)

    async def request(self, entry, method, job, body=None, limit=3.0):
        begun = self.record.now()
        status, answer = await call(entry.customer, method, f"/q/{job}", body, limit)
        self.record.write(f"client: {method} {job} at {entry.name}, sent at {begun:.3f} s: "
                          f"{status or 'no answer'} {json.dumps(answer) if answer else ''}")
        return status, answer

    async def end(self):
        if hasattr(self, "ticking"):
            self.ticking.cancel()
        for entry in self.entries:
            await entry.kill()
        for worker in self.workers:
            worker.server.close()
        self.store.server.close()


async def call(port, method, path, body=None, limit=3.0):
    """Sends a request over a connection of its own; status 0 means that there is no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    text = (f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: {int(limit * 1000)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            f"Connection: close\r\n\r\n").encode() + data

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(text)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


def main(folder, world_type, case):
    """Runs a case: `case(world, has_trouble)` adds what it finds to `world.breaks`."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(BINARY, os.X_OK):
        print("the program is not built: run the build of the deploy file", file=sys.stderr)
        sys.exit(2)
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="review-")

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        world = world_type(temporary, record)
        try:
            await asyncio.wait_for(case(world, has_trouble), 110)
        finally:
            await world.end()
        return world.breaks

    record.write("with the disruption" if has_trouble else "without the disruption")
    try:
        breaks = asyncio.run(run())
    except BaseException as error:  # Whatever went wrong, it does not show that the rule was broken.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = 2
    else:
        for text in breaks:
            record.write(f"BROKEN: {text}")
            print(f"broken: {text}")
        if not breaks:
            record.write("the rule held")
            print("the rule held")
        code = 1 if breaks else 0
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
