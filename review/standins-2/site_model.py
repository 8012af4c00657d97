"""A small deployment on loopback for the cases of review 2.

The instances are real processes of the deploy file's program. The platform's store, the workers and
the clients are stand-ins in this process; they follow the pages of the platform. Only the standard
library is used.
"""

import asyncio
import base64
import json
import math
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "recoveryS": 12, "holdMaxMs": 6000, "stopMs": 400, "gangWaitMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farFactor": 3,
    "checkpointIntervalS": 0.5, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5,
    "maintenanceS": 2, "requireFencing": False, "leaseMs": 3000, "thawMs": 300, "paceMs": 100,
    "harmMs": 4000, "reclaimMs": 2900,
}
MEMORY_MB = 260
MAX_FDS = 4100
VALUE_BYTES = 1048576
WRITES_PER_S = 400
READS_PER_S = 2000
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
ITEMS_PER_PAGE = 500
BYTES_PER_PAGE = 1_000_000
ENDS_PER_PAGE = 500


class Record:
    """Writes what was sent, answered and run to record.txt, one line an event."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.counts = {}
        self.counted_from = 0

    def now(self):
        return time.monotonic() - self.start

    def count(self, who, what):
        """Counts an event; the counts are written once a second."""
        if self.now() >= self.counted_from + 1:
            self.write_counts()
        self.counts[who, what] = self.counts.get((who, what), 0) + 1

    def write_counts(self):
        counts, self.counts = self.counts, {}
        self.counted_from = self.now()
        for (who, what), number in sorted(counts.items()):
            self.write(who, what, times=number)

    def write(self, who, what, **fields):
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {who:12} {what} {text}\n")
        self.file.flush()


class HttpServer:
    """Serves HTTP/1.1 with keep-alive; the handler returns (status, body) or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.tasks = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.accept, host, port, limit=1 << 24)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        opened_at = time.monotonic()
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body, opened_at)
                if answer is None:
                    break
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def drop_connections(self):
        for task in list(self.tasks):
            task.cancel()

    def close(self):
        if self.server:
            self.server.close()
        self.drop_connections()


async def read_message(reader):
    """Reads one request or response; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Store:
    """The platform's metadata store. An instance can be partitioned from it with `cuts`."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}  # key -> dict(value, revision, created, lease)
        self.history = []  # events in the order of their revisions
        self.leases = {}  # id -> (end, ttl)
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.calls = []
        self.http = {}
        self.cuts = {}  # instance -> (begin, end) of its partition from the store
        self.refused = 0

    async def open_for(self, instance, host):
        """Opens an address of its own for the instance, which tells its calls apart."""

        async def handle(method, target, headers, body, opened_at):
            return await self.handle(instance, method, target, body, opened_at)

        server = HttpServer(handle)
        self.http[instance] = server
        return await server.listen(host, 0)

    def close(self):
        for server in self.http.values():
            server.close()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, puts, deletes):
        self.revision += 1
        for put in puts:
            old = self.items.get(put["key"])
            item = {"key": put["key"], "value": put["value"], "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "lease": put.get("lease", 0)}
            self.items[put["key"]] = item
            self.history.append(dict(item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """A write of an operator or a worker."""
        self.apply([{"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}],
                   [])

    def remove(self, key):
        if key in self.items:
            self.apply([], [key])

    def read(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    def is_over_rate(self, price, writes):
        now = time.monotonic()
        self.calls = [call for call in self.calls if call[0] > now - 1]
        used = sum(call[1] for call in self.calls if call[2] == writes)
        if used >= (WRITES_PER_S if writes else READS_PER_S):
            return True
        self.calls.append((now, price, writes))
        return False

    async def handle(self, instance, method, target, body, opened_at):
        self.expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        begin, end = self.cuts.get(instance, (0, 0))
        if begin <= time.monotonic() < end:
            if opened_at >= begin:
                return None  # No connection is opened through a partition.
            # Bytes on an open connection are held up by the partition and arrive at its end.
            await asyncio.sleep(end - time.monotonic())
            self.expire()
            answer = self.execute(url.path, query, body) if url.path != "/kv-watch" else None
            self.record.write("store", "call held up by the partition executed", instance=instance,
                              path=url.path, status=answer[0] if answer else None)
            return answer
        writes = url.path in ("/kv-txn", "/kv-lease") or method == "DELETE"
        if self.is_over_rate(0.1 if url.path.startswith("/kv-keep/") else 1, writes):
            self.refused += 1
            return 429, {}
        await asyncio.sleep(STORE_ANSWER_S)
        if url.path == "/kv-watch":
            return await self.watch(query)
        return self.execute(url.path, query, body)

    async def watch(self, query):
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        after = int(query["after"])
        while True:
            self.expire()
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def execute(self, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {"storeRevision": self.revision}
            return 200, dict(item, storeRevision=self.revision)
        if path == "/kv-range":
            return self.list(query)
        if path == "/kv-txn":
            return self.commit(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def list(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query["prefix"]) and key > query.get("after", ""))
        page, size = [], 0
        for key in keys:
            page.append(self.items[key])
            size += len(self.items[key]["value"])
            if len(page) >= ITEMS_PER_PAGE or size >= BYTES_PER_PAGE:
                break
        return 200, {"items": page, "truncated": len(page) < len(keys),
                     "storeRevision": self.revision}

    def commit(self, call):
        checks, puts = call.get("expectedRev", []), call.get("puts", [])
        deletes = call.get("deletes", [])
        is_too_large = any(len(put["value"]) * 3 // 4 > VALUE_BYTES + 2 for put in puts)
        if len(checks) + len(puts) + len(deletes) > 32 or is_too_large:
            self.refused += 1
            return 400, {"reason": "the value has more than valueBytes"}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        current = {check["key"]: self.items.get(check["key"]) for check in checks}
        if any((current[check["key"]]["revision"] if current[check["key"]] else 0)
               != check["revision"] for check in checks):
            return 412, {"items": [item for item in current.values() if item],
                         "storeRevision": self.revision}
        self.apply(puts, deletes)
        return 200, {"revision": self.revision}


class Worker:
    """A worker of the platform; "spec" holds {"ms": run time} of its tasks, 0 for tasks that last."""

    def __init__(self, site, name, rack):
        self.site = site
        self.record = site.record
        self.id = name
        self.rack = rack
        self.capacity = {"cpu": 32000, "memMb": 65536, "gpu": 8}
        self.born = int(time.time() * 1000)
        self.start = time.monotonic() - 5
        self.fence = 0
        self.lease = 0
        self.running = {}  # task -> dict(run, need, end)
        self.last_run = {}  # task -> highest run that was stopped or has ended
        self.ended = []
        self.ends = 0
        self.seq = 0
        self.event = asyncio.Event()
        self.beating = None
        self.server = HttpServer(self.handle)
        self.address = ""

    def clock(self):
        return int((time.monotonic() - self.start) * 1000)

    async def open(self, host):
        port = await self.server.listen(host, 0)
        self.address = f"{host}:{port}"
        self.beat()
        self.beating = asyncio.get_running_loop().create_task(self.beats())

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    async def be_lost(self):
        """The worker crashes and does not come back; its entry goes after three heartbeats."""
        self.beating.cancel()
        self.server.close()
        self.running.clear()
        self.site.workers.remove(self)
        self.record.write(self.id, "lost for good")
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.site.store.remove("servers/" + self.id)

    def beat(self):
        self.seq += 1
        self.site.store.put("servers/" + self.id, {
            "backend": self.site.service, "address": self.address, "zone": self.site.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": self.capacity, "labels": ["a", self.rack], "clockMs": self.clock(),
            "seq": self.seq, "born": self.born})

    def note(self, what, task, run, **fields):
        """Records an event of a run; those of jobs with very many tasks are only counted."""
        job = task.split(".", 1)[0]
        if job in self.site.counted_jobs:
            self.record.count(self.id, " ".join([what, "of job", job, *fields.values()]))
        else:
            self.record.write(self.id, what, task=task, run=run, **fields)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_run[task] = max(self.last_run.get(task, 0), run["run"])
        self.ends += 1
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.note("run ended", task, run["run"], how=how)
        run["span"][3] = self.record.now()
        if how == "done":
            self.site.done.add(task)
        self.event.set()
        self.event = asyncio.Event()

    def step(self):
        """Brings the runs up to the present time."""
        now = self.clock()
        for task, run in list(self.running.items()):
            if self.lease <= now and self.lease <= run["end"]:
                self.end(task, "lapsed")
            elif run["end"] <= now:
                self.end(task, "done")

    def has_room(self, need):
        return all(need[name] + sum(run["need"][name] for run in self.running.values())
                   <= self.capacity[name] for name in need)

    def take_lease(self, call):
        if call.get("deadlineMs"):
            longest = self.clock() + BOUNDS["holdMaxMs"]
            self.lease = max(self.lease, min(call["deadlineMs"], longest))

    async def handle(self, method, target, headers, body, _):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body or b"{}")
        self.step()
        if call.get("fencingToken", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = call.get("fencingToken", 0)
        if target == "/run-start":
            return self.start_run(call)
        if target == "/run-stop":
            return self.stop_run(call)
        if target == "/hold":
            return await self.hold(call)
        return 200, {"clockMs": self.clock()}

    def start_run(self, call):
        task, number = call["task"], call["run"]
        now = self.clock()
        reason = None
        if task in self.running and self.running[task]["run"] == number:
            return 200, {"clockMs": now}
        if number <= self.last_run.get(task, 0) or task in self.running:
            reason = "old"
        elif call["deadlineMs"] <= now:
            reason = "late"
        elif not self.has_room(self.site.need_of(task)):
            reason = "room"
        if reason != "late":
            self.take_lease(call)
        if reason:
            return 409, {"clockMs": now, "reason": reason}
        ms = json.loads(call["spec"])["ms"] or math.inf
        span = [task, number, self.record.now(), None]
        self.site.spans.append(span)
        self.running[task] = {"run": number, "need": self.site.need_of(task), "begin": now,
                              "end": now + ms, "span": span}
        self.note("run started", task, number)
        self.site.starts.append((self.record.now(), self.id, task, number))
        return 200, {"clockMs": now}

    def stop_run(self, call):
        task, number = call["task"], call["run"]
        if task in self.running and self.running[task]["run"] == number:
            self.end(task, "stopped")
        else:
            self.last_run[task] = max(self.last_run.get(task, 0), number)
        return 200, {"clockMs": self.clock()}

    async def hold(self, call):
        self.take_lease(call)
        acked = call.get("ackedUpto", 0)
        if acked > 0 and self.ended and self.ended[0][0] <= acked:
            self.ended = [end for end in self.ended if end[0] > acked]
        end = time.monotonic() + call.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < end:
            ends = [run["end"] for run in self.running.values()] + [self.lease]
            wait = min(end - time.monotonic(), (min(ends) - self.clock()) / 1000 + 0.002)
            try:
                await asyncio.wait_for(self.event.wait(), max(0.002, wait))
            except asyncio.TimeoutError:
                pass
            self.step()
        now = self.clock()
        rows = [[task, run["run"], "", percent_of(run, now), 0]
                for task, run in self.running.items()]
        return 200, {"clockMs": now, "born": self.born, "running": rows,
                     "ended": self.ended[:ENDS_PER_PAGE]}


def percent_of(run, now):
    """The percentage that a worker lists; a task that lasts is at work at once."""
    if math.isinf(run["end"]):
        return 100
    return int(99 * (now - run["begin"]) / max(1, run["end"] - run["begin"]))


class Instance:
    """A process of the deploy file's program; the platform restarts it when it ends."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"edge-{number}"
        self.host = f"127.{site.net}.1.{number}"
        self.process = None
        self.deaths = []  # (time, cause)
        self.peak_mb = 0

    async def prepare(self):
        store_port = await self.site.store.open_for(self.name, self.host)
        front, ready = free_port(self.host), free_port(self.host)
        while ready == front:
            ready = free_port(self.host)
        self.front = (self.host, front)
        self.settings = os.path.join(self.site.folder, self.name + ".toml")
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f'''node = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{self.host}"
zone = "{self.site.zone}"
region = "r"
internalPorts = [7000,7015]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "call"
[zones]
{self.site.zone} = "r"
[listen]
front = "{self.host}:{front}"
ready = "{self.host}:{ready}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {MEMORY_MB}
maxFds = {MAX_FDS}
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{self.host}:{store_port}"
form = "kv"
writesPerS = {WRITES_PER_S}
readsPerS = {READS_PER_S}
historyS = 20
valueBytes = {VALUE_BYTES}
ttlMinMs = 1000
''')

    def start(self):
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                       "HIBISCUSARCH_SETTINGS": self.settings}
        self.process = subprocess.Popen(
            self.site.command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)))
        log.close()
        self.site.record.write(self.name, "process started", pid=self.process.pid)

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
            return int(found.group(1)) / 1024 if found else 0
        except OSError:
            return 0

    async def supervise(self):
        """Kills the process when it exceeds memoryMb, and restarts it when it has ended."""
        while True:
            await asyncio.sleep(0.02)
            memory = self.memory_mb()
            self.peak_mb = max(self.peak_mb, memory)
            cause = None
            if memory > MEMORY_MB:
                cause = f"memory of {memory:.0f} MB over the limit of {MEMORY_MB} MB"
                self.process.kill()
                self.process.wait()
            elif self.process.poll() is not None:
                cause = f"ended with {self.process.returncode}"
            if cause is None:
                continue
            self.deaths.append((self.site.record.now(), cause))
            self.site.record.write(self.name, "process ended", cause=cause)
            await asyncio.sleep(0.5)
            self.start()


class Site:
    """Instances, store, workers and an operator that has written one configuration."""

    def __init__(self, folder, instances=3, workers=4, gpu=8):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.net = random.randrange(2, 250)
        self.zone = "z1"
        self.service = "svc"
        self.store = Store(self.record)
        self.jobs = {}  # id -> submitted body
        self.counted_jobs = set()  # ids of jobs whose runs are only counted in the record
        self.starts = []  # (time, worker, task, run)
        self.done = set()  # tasks with a run that has ended "done"
        self.spans = []  # [task, run, begin, end] of all runs; end is None while they are at work
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run = "([^"]*)"', file.read(), re.M).group(1).split()
        self.instances = [Instance(self, number) for number in range(1, instances + 1)]
        self.workers = [Worker(self, f"i-{number:010x}", f"r1-{number % 4}")
                        for number in range(1, workers + 1)]
        for worker in self.workers:
            worker.capacity["gpu"] = gpu
        self.supervisors = []

    def need_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        value = self.jobs[job]["steps"][int(step)]
        return {name: value.get(name, 0) for name in ("cpu", "memMb", "gpu")}

    def configuration(self, version=1):
        route = {"host": "jobs.example", "kind": "non_idempotent", "timeoutMs": 3000,
                 "backend": self.service, "maxAttempts": 2, "stretch": 3.0, "noAuth": False}
        return {"version": version, "routes": [
            dict(route, name="r-urgent", prefix="/urgent/", priority=0, targetLatencyMs=250),
            dict(route, name="r-batch", prefix="/batch/", priority=1, targetLatencyMs=1000)],
            "services": [{"name": self.service, "healthPath": "/health", "maxConns": 64,
                          "protocol": "h1", "tls": False, "admissionCheck": True,
                          "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "t1", "apiKeys": ["key-of-t1"], "priority": 1,
                         "guaranteed": {"gpu": 8}},
                        {"name": "t2", "apiKeys": ["key-of-t2"], "priority": 1,
                         "guaranteed": {"gpu": 8}}]}

    async def open(self):
        self.store.put("op/config", self.configuration())
        for worker in self.workers:
            await worker.open(f"127.{self.net}.2.1")
        for instance in self.instances:
            await instance.prepare()
            instance.start()
        loop = asyncio.get_running_loop()
        self.supervisors = [loop.create_task(instance.supervise()) for instance in self.instances]
        await asyncio.sleep(3)
        if any(instance.deaths for instance in self.instances):
            raise RuntimeError("an instance does not start; are its ports free?")

    def close(self):
        for task in self.supervisors:
            task.cancel()
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGKILL)
                instance.process.wait()
        for worker in self.workers:
            worker.server.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, number, method, path, body=None, key="key-of-t1", deadline_ms=3000):
        """One call of a client at an instance; returns (status, body), status 0: no response."""
        host, port = self.instances[number].front
        text = json.dumps(body).encode() if body is not None else b""
        sent = self.record.now()
        status, answer = 0, {}
        try:
            status, answer = await asyncio.wait_for(
                self.exchange(host, port, method, path, text, key, deadline_ms),
                deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        self.record.write("client", f"{method} {path}", at=f"edge-{number + 1}",
                          sentAt=round(sent, 3), status=status, answer=answer)
        return status, answer

    async def exchange(self, host, port, method, path, text, key, deadline_ms):
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n"
                    f"Authorization: Bearer {key}\r\nDeadline-Ms: {deadline_ms}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n")
            writer.write(head.encode() + text)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, {}
            first, _, body = message
            return int(first.split(" ")[1]), json.loads(body or b"{}")
        finally:
            writer.close()

    def done_tasks(self, job_id):
        """Names of the job's tasks that have ended "done" on a worker."""
        return {task for task in self.done if task.startswith(job_id + ".")}

    def running_tasks(self, job_id):
        return [task for worker in self.workers for task in worker.running
                if task.startswith(job_id + ".")]

    def longest_overlap(self, job_id):
        """Longest time in seconds for which two runs of one task of the job were at work."""
        longest = 0
        spans = [(task, run, begin, end if end is not None else self.record.now())
                 for task, run, begin, end in self.spans if task.startswith(job_id + ".")]
        for number, (task, _, begin, end) in enumerate(spans):
            for other, _, other_begin, other_end in spans[number + 1:]:
                if task == other:
                    longest = max(longest, min(end, other_end) - max(begin, other_begin))
        return longest

    def share_in_use(self):
        """The largest share of one kind of resource that runs take of all workers."""
        shares = []
        for name in ("cpu", "memMb", "gpu"):
            room = sum(worker.capacity[name] for worker in self.workers)
            used = sum(run["need"][name] for worker in self.workers
                       for run in worker.running.values())
            shares.append(used / room if room else 0)
        return max(shares)

    def places_free(self, need):
        """Number of tasks with this need that the workers' free room takes."""
        places = 0
        for worker in self.workers:
            fits = [(worker.capacity[name] - sum(run["need"][name]
                                                 for run in worker.running.values())) // need[name]
                    for name in need if need[name] > 0]
            places += min(fits) if fits else 0
        return places

    async def stands_still(self, job_id):
        """Whether for 3 s the job has nothing running while a task's turn has come, there is
        capacity for it twice over, and under half of the service's capacity is in use."""
        step = self.jobs[job_id]["steps"][0]
        need = {name: step.get(name, 0) for name in ("cpu", "memMb", "gpu")}
        for _ in range(60):
            for worker in self.workers:
                worker.step()
            if len(self.done_tasks(job_id)) >= sum(each["count"]
                                                   for each in self.jobs[job_id]["steps"]):
                return False
            if self.running_tasks(job_id) or self.places_free(need) < 2:
                return False
            if self.share_in_use() >= 0.5:
                return False
            await asyncio.sleep(0.05)
        return True

    async def state_of(self, path, job_id):
        """The job's state as an instance shows it; None without an answer."""
        for number in range(len(self.instances)):
            status, answer = await self.call(number, "GET", path + job_id)
            if status == 200:
                return answer.get("state")
            if status == 410:
                return "unknown"
        return None

    async def submit(self, path, job_id, body, **options):
        """Hands a job in as a client does: again at another instance until it has an answer."""
        self.jobs[job_id] = body
        number = options.pop("number", 0)
        for attempt in range(5):
            status, _ = await self.call((number + attempt) % len(self.instances), "POST",
                                        path + job_id, body, **options)
            if status in (200, 201, 202, 400, 404, 429):
                return status
            await asyncio.sleep(1 if status == 503 else 0.3)
        return status


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def new_id():
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case, **sizes):
    """Runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def play():
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        site = Site(folder, **sizes)
        try:
            await site.open()
            broken = await asyncio.wait_for(case(site), 110)
            site.record.write_counts()
            site.record.write("judge", "broken" if broken else "held", reasons=broken)
            for reason in broken:
                print("broken:", reason)
            return 1 if broken else 0
        finally:
            site.close()

    if not os.path.exists(os.path.join(ROOT, "target", "Node", "hibiscus-node")):
        print("target/Node/hibiscus-node is missing: build the deploy file first")
        sys.exit(2)
    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # It was not played to its end.
        print("could not run:", repr(error))
        code = 2
    sys.exit(code)
