"""Stand-ins for a small site, on loopback: state service, cloud, workers, load balancer and users, written after
PROTOCOL-shaleshunt.md, and the start and end of the three controllers with the commands of the deploy file.

Standard library only. A case imports this module, sets up a Site, and plays its users and disruptions. Where the page
is silent the stand-ins behave like a sound server, client or platform.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not run: nothing can be said about the rule."""


def free_ports(count):
    """Free ports below the range that the system gives to outgoing connections, so that none is taken while its
    process is down."""
    found = []
    for port in random.sample(range(15000, 31000), 2000):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Record:
    """What was sent, answered and run: one JSON line each, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, what, **fields):
        self.file.write(json.dumps({"t": round(self.now(), 3), "what": what, **fields}) + "\n")


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads one HTTP message: first line, headers (lower case), body. None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").split(None, 2), headers, body


class Server:
    """Serves handler(method, path, query, body) -> (status, object). None instead: the connection is reset."""

    def __init__(self, handler):
        self.handler = handler
        self.open = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), headers, body = message
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                answer = await self.handler(method, path, query, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content = answer
                data = json.dumps(content, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Connection:
    """A client's connection: one request at a time, kept open until either side closes it."""

    def __init__(self, port):
        self.port = port
        self.writer = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, object, headers). Raises OSError or TimeoutError; the connection is then closed."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
            self.close()
            if isinstance(error, asyncio.TimeoutError):
                raise TimeoutError from None
            raise ConnectionError(str(error)) from None

    async def exchange(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        self.writer.write(f"{method} {path} HTTP/1.1\r\nhost: {HOST}:{self.port}\r\ncontent-type: application/json\r\n"
                          f"content-length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("closed")
        (_, status, *_), headers, content = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(status), json.loads(content) if content else {}, headers

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


# ---------------------------------------------------------------- state service

class Bucket:
    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class State:
    """The state service. `delay_s()` gives the time that an answer takes."""

    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.keys, self.leases, self.changes = {}, {}, []
        self.revision = self.last_lease = 0
        self.changed = asyncio.Event()
        self.delay_s = lambda: random.uniform(0.002, 0.006)
        self.refused = set()
        self.on_transaction = None

    async def start(self, ports):
        """One port for each controller, so that a single one can be refused."""
        for number, port in enumerate(ports):
            await Server(lambda *request, number=number: self.handle(number, *request)).start(port)
        asyncio.create_task(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [each for each, (until, _) in self.leases.items() if time.monotonic() > until]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, entry in self.keys.items() if entry[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.drop(key)
            self.wake()

    def drop(self, key):
        if self.keys.pop(key, None) is not None:
            self.changes.append((self.revision, key, {"drop": key, "stamp": self.revision}))

    def wake(self):
        del self.changes[:-10000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, number, method, path, query, body):
        if number in self.refused:
            return 503, {"error": "trouble"}
        answer = await self.execute(number, method, path, query, body)
        if path != "/watch":
            await asyncio.sleep(self.delay_s())
        return answer

    async def execute(self, number, method, path, query, body):
        if not self.requests.take(1):
            return 429, {"error": "too many"}
        if path == "/kv":
            return 200, self.scan(query["prefix"], query.get("after", ""), int(query.get("most", 1000)))
        if path.startswith("/kv/"):
            entry = self.keys.get(path[4:])
            return (200, self.pair(path[4:], entry)) if entry else (404, {"ledger": self.revision})
        if path == "/txn":
            return self.transact(number, json.loads(body), len(body))
        if path == "/holds":
            life_s = json.loads(body)["lifeMs"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + life_s, life_s)
            return 200, {"pass": self.last_lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                life_s = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + life_s, life_s)
            return 200, {}
        if path == "/watch":
            return await self.watch(number, query["prefix"], int(query["after"]), int(query.get("holdMs", 0)) / 1000)
        return 400, {"error": "malformed"}

    def pair(self, key, entry):
        value, stamp, lease = entry
        return {"path": key, "v": value, "stamp": stamp, **({"pass": lease} if lease else {})}

    def scan(self, prefix, after, most):
        pairs, size = [], 0
        for key in sorted(key for key in self.keys if key.startswith(prefix) and key > after):
            pair = self.pair(key, self.keys[key])
            size += len(json.dumps(pair))
            if len(pairs) >= min(most, 1000) or size > 512 * 1024:
                return {"pairs": pairs, "truncated": True, "ledger": self.revision}
            pairs.append(pair)
        return {"pairs": pairs, "truncated": False, "ledger": self.revision}

    def transact(self, number, transaction, size):
        conditions, writes = transaction.get("if", []), transaction.get("writes", [])
        too_large = any(len(json.dumps(each.get("v"), separators=(",", ":"), ensure_ascii=False).encode())
                        > self.value_bytes for each in writes if "set" in each)
        if len(writes) > self.txn_ops or len(conditions) > 4 * self.txn_ops or size > 65536 or too_large:
            return 400, {"error": "too large"}
        if writes and not self.writes.take(len(writes)):
            return 429, {"error": "too many"}
        if any(each.get("pass") and each["pass"] not in self.leases for each in writes):
            return 400, {"error": "no such lease"}
        stamps = {each["path"]: each["stamp"] for each in conditions}
        failed = [key for key, stamp in stamps.items() if (self.keys[key][1] if key in self.keys else 0) != stamp]
        if self.on_transaction:
            self.on_transaction(number, transaction, failed)
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if writes:
            self.revision += 1
            for each in writes:
                if "set" in each:
                    key = each["set"]
                    self.keys[key] = (each["v"], self.revision, each.get("pass"))
                    self.changes.append((self.revision, key, {"set": key, "v": each["v"], "stamp": self.revision}))
                else:
                    self.drop(each["drop"])
            self.wake()
        return 200, {"ledger": self.revision}

    async def watch(self, number, prefix, after, hold_s):
        until = time.monotonic() + min(hold_s, 60)
        while True:
            if self.changes and len(self.changes) >= 10000 and self.changes[0][0] > after + 1:
                return 410, {"error": "too old"}
            news = [change for revision, key, change in self.changes if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if (news or left <= 0) and number not in self.refused:
                return 200, {"ledger": self.revision, "news": news}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), max(left, 0.05) if number not in self.refused else 0.05)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud

class Cloud:
    """The cloud: owned machines only, and no capacity to rent unless `capacity` is set."""

    def __init__(self, frames, machines):
        self.frames, self.machines = frames, machines
        self.rate = Bucket(16)

    async def start(self, port):
        await Server(self.handle).start(port)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.05)
        if not self.rate.take(1):
            return 429, {"error": "too many"}
        if path == "/catalog":
            return 200, {"frames": self.frames}
        if path == "/machines" and method == "POST":
            return 503, {"error": "no capacity"}
        if path == "/machines":
            after, most = query.get("after", ""), min(int(query.get("most", 500)), 500)
            found = [each for each in sorted(self.machines, key=lambda each: each.name) if each.name > after]
            looms = [{"ref": each.name, "endpoint": each.endpoint, "frame": each.frame, "hall": each.hall,
                      "borrowed": False, "status": "running", "ageS": 600.0} for each in found[:most]]
            return 200, {"looms": looms, "truncated": len(found) > most}
        if path == "/machines/return":
            for each in self.machines:
                if each.name in json.loads(body)["looms"]:
                    each.site.record.write("machine returned", loom=each.name)
            return 200, {}
        return 400, {"error": "malformed"}


# ---------------------------------------------------------------- workers

class Task:
    """One attempt at a task, on the machine until it is forgotten."""

    def __init__(self, piece, attempt):
        self.piece, self.attempt, self.status, self.cause, self.run = piece, attempt, "fetching", None, None
        self.job = piece.rsplit("/", 1)[0]

    def report(self):
        shown = {"piece": self.piece, "try": self.attempt, "status": self.status}
        return {**shown, "cause": self.cause} if self.status == "exited" else shown


class Worker:
    """One machine and its worker. `hear` and `speak` false: it gets no answers or commands, or sends no reports."""

    def __init__(self, site, name, hall, port):
        self.site, self.name, self.hall, self.port = site, name, hall, port
        self.frame, self.endpoint = site.frame["name"], f"{HOST}:{port}"
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks, self.images, self.done = {}, set(), set()
        self.answered_sent = time.monotonic()
        self.change = asyncio.Event()
        self.connections = {}
        self.speak = self.hear = True

    async def start(self):
        await Server(self.orders).start(self.port)
        asyncio.create_task(self.report_loop())
        asyncio.create_task(self.lease_loop())

    def report(self):
        self.tick += 1
        return {"loom": self.name, "endpoint": self.endpoint, "frame": self.frame, "hall": self.hall,
                "borrowed": False, "shift": self.shift, "tick": self.tick, "baton": self.baton, "warnS": None,
                "pieces": [task.report() for task in self.tasks.values()]}

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.answered_sent > self.site.lease_s:
                for task in self.tasks.values():
                    self.end(task, "lease ran out")
                self.tasks.clear()
                self.shift += 1
                self.answered_sent = time.monotonic()
                self.site.record.write("lease ran out", loom=self.name, shift=self.shift)
                self.change.set()

    async def report_loop(self):
        names = list(self.site.fronts)
        at = random.randrange(len(names))
        while True:
            delay = 0.5
            if self.speak:
                node = names[at]
                shift, sent = self.shift, time.monotonic()
                connection = self.connections.setdefault(node, Connection(self.site.fronts[node]))
                self.change.clear()
                try:
                    status, answer, _ = await connection.request("POST", "/checkin", self.report(), 4.0)
                    if not self.hear:
                        await asyncio.sleep(max(0, 4.0 - (time.monotonic() - sent)))
                        raise TimeoutError
                except (OSError, TimeoutError):
                    status, answer = None, {}
                if status == 200:
                    if shift == self.shift and answer.get("baton", -1) >= self.baton:
                        self.baton, self.answered_sent = answer["baton"], sent
                        self.execute(answer.get("orders", []))
                    delay = self.site.report_s * random.uniform(0.75, 1.25)
                elif status == 421 and answer.get("foreman") in self.site.fronts and answer["foreman"] != node:
                    connection.close()
                    at = names.index(answer["foreman"])
                    delay = random.uniform(0, 0.5)
                    await asyncio.sleep(delay)
                    continue
                else:
                    at = (at + 1) % len(names)
                    await asyncio.sleep(1.0)
                    continue
            await asyncio.sleep(0.5)
            try:
                await asyncio.wait_for(self.change.wait(), max(delay - 0.5, 0.01))
            except asyncio.TimeoutError:
                pass

    async def orders(self, method, path, query, body):
        if not self.hear:
            await asyncio.sleep(30)
            return None
        if path == "/status":
            return 200, self.report()
        request = json.loads(body)
        if "baton" not in request or "shift" not in request:
            return 400, {"error": "baton or shift is missing"}
        if request["baton"] < self.baton or request["shift"] != self.shift:
            return 409, self.report()
        self.baton = request["baton"]
        self.execute(request.get("orders", []))
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            self.site.record.write("order", loom=self.name, **order)
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self.run(Task(*key))
            elif order["verb"] == "halt" and task and task.status != "exited":
                self.end(task, "stopped")
            elif order["verb"] == "forget" and task and task.status == "exited":
                del self.tasks[key]

    def run(self, task):
        job = self.site.submitted.get(task.job)
        here = [each for each in self.tasks.values() if each.status != "exited"]
        self.tasks[(task.piece, task.attempt)] = task
        used = [self.site.submitted[each.job] for each in here]
        if job is None:
            task.status, task.cause = "exited", "no_such"
        elif any(each.piece == task.piece for each in here):
            task.status, task.cause = "exited", "in_use"
        elif (sum(each["cores"] for each in used) + job["cores"] > self.site.frame["cores"]
              or sum(each["ramGb"] for each in used) + job["ramGb"] > self.site.frame["ramGb"]):
            task.status, task.cause = "exited", "no_room"
        else:
            task.run = asyncio.create_task(self.work(task, job))
        self.change.set()

    async def work(self, task, job):
        if job["bundle"] not in self.images:
            await asyncio.sleep(job["imageGb"] / self.site.frame["fetchGbPerS"])
            self.images.add(job["bundle"])
        task.status = "running"
        self.site.started(self, task)
        self.change.set()
        if job["shape"] == "daemon":
            await asyncio.Event().wait()  # a replica runs until its job is cancelled
        if task.piece not in self.done:
            await asyncio.sleep(self.site.run_s[task.job])
        self.done.add(task.piece)
        task.run = None
        self.end(task, "done")

    def end(self, task, cause):
        if task.run:
            task.run.cancel()
        if task.status in ("running", "flushing"):
            self.site.ended(self, task, cause)
        if task.status != "exited":
            task.status, task.cause = "exited", cause
            self.change.set()


# ---------------------------------------------------------------- controllers

class Controller:
    """One controller: a process started with the commands of the deploy file."""

    def __init__(self, site, name, settings):
        self.site, self.name, self.settings, self.process = site, name, settings, None

    def start(self):
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "a")
        command = shlex.split(self.site.deploy["run"]) + [self.settings]
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
                                        env=environment, start_new_session=True)
        log.close()
        self.site.record.write("controller started", node=self.name)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.site.record.write("controller killed", node=self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.site.record.write("controller signalled", node=self.name, signal=signal.Signals(number).name)


class Site:
    """A site: three controllers, its zones, machines, teams, and the stand-ins around them."""

    report_s, lease_s, cancel_s = 3.0, 26.0, 51.0
    rps, write_rps, value_kb, txn_ops = 150.0, 30.0, 16.0, 24
    zones = ["beichang-jifang", "nanchang-jifang", "zhubei-beiyuan"]
    frame = {"name": "zhiji", "cores": 16.0, "cards": 0.0, "ramGb": 128.0, "localGb": 80.0, "fetchGbPerS": 1.0,
             "price": 1.06, "marketPrice": 0.4, "bootS": 50.0,
             "halls": ["beichang-jifang", "nanchang-jifang", "zhubei-beiyuan"]}
    teams = [("renshi-1", 64.0, 512.0), ("renshi-2", 64.0, 512.0)]
    next_limits = None
    machines_per_zone = 4

    def __init__(self, folder_of_case):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        if not os.path.exists(os.path.join(ROOT, shlex.split(self.deploy["run"])[0])):
            raise CannotRun("the program is not built")
        self.folder = tempfile.mkdtemp(prefix="shaleshunt-review-")
        self.submitted, self.run_s, self.on_machine, self.starts = {}, {}, {}, []
        self.violations = []
        self.controllers, self.fronts, self.nodes_up = {}, {}, {}

    async def start(self):
        count = 3 * self.machines_per_zone
        ports = free_ports(3 * 3 + 1 + count)
        fronts, backs, states, cloud = ports[0:3], ports[3:6], ports[6:9], ports[9]
        names = ["loom-0", "loom-1", "loom-2"]
        self.state = State(self.rps, self.write_rps, self.value_kb, self.txn_ops)
        await self.state.start(states)
        self.fronts = dict(zip(names, fronts))
        self.workers = [Worker(self, f"vm-{number + 1:06}", self.zones[number % 3], ports[10 + number])
                        for number in range(count)]
        self.cloud = Cloud([self.frame], self.workers)
        await self.cloud.start(cloud)
        for number, name in enumerate(names):
            path = os.path.join(self.folder, f"{name}.toml")
            with open(path, "w") as file:
                file.write(self.settings(number, names, fronts, backs, states, cloud))
            self.controllers[name] = Controller(self, name, path)
        for controller in self.controllers.values():
            controller.start()
        for worker in self.workers:
            await worker.start()
        self.nodes_up = {name: False for name in names}
        for name in names:
            asyncio.create_task(self.probe(name))

    def settings(self, number, names, fronts, backs, states, cloud):
        lines = [f'label = "{names[number]}"', f'location = "{self.zones[number]}"',
                 f'front = "{HOST}:{fronts[number]}"', f'back = "{HOST}:{backs[number]}"']
        for other in range(3):
            if other != number:
                lines += ["[[seeds]]", f'label = "{names[other]}"', f'location = "{self.zones[other]}"',
                          f'address = "{HOST}:{self.back_for(number, other, backs)}"']
        lines += ["[endpoints]", f'cloud = "{HOST}:{cloud}"', f'state = "{HOST}:{states[number]}"', "[params]",
                  "initial_size = 3", f"zones = {json.dumps(self.zones)}", "skew_ms = 5.0"]
        for name, cpus, cpus_max in self.teams:
            lines += ["[[params.teams]]", f'name = "{name}"', f"cpus = {cpus}", f"cpus_max = {cpus_max}",
                      "gpus = 0.0", "gpus_max = 0.0"]
        lines += ["[params.workers]", f"report_s = {self.report_s}", f"lease_s = {self.lease_s}",
                  "gang_wait_s = 35.0", "gang_peer_s = 6.0", f"cancel_s = {self.cancel_s}",
                  "[params.state]", f"rps = {self.rps}", f"write_rps = {self.write_rps}",
                  f"value_kb = {self.value_kb}", f"txn_ops = {self.txn_ops}"]
        if self.next_limits:
            lines += ["[params.state.next]"] + [f"{key} = {value}" for key, value in self.next_limits.items()]
        lines += ["[params.cloud]", "rps = 8.0", "list_lag_s = 6.0", "[params.resources]", "core_share = 0.16",
                  "mem_mb = 104.0", "fd_limit = 2000"]
        return "\n".join(lines) + "\n"

    def back_for(self, number, other, backs):
        return backs[other]

    async def probe(self, name):
        """The load balancer's probe: two failures in a row make a node unhealthy, two successes healthy."""
        connection, failures, successes, ever = Connection(self.fronts[name]), 0, 0, False
        while True:
            try:
                status, _, _ = await connection.request("GET", "/up", None, 1.0)
            except (OSError, TimeoutError):
                status = None
            if status == 200:
                failures, successes = 0, successes + 1
                if successes >= 2 or not ever:
                    self.nodes_up[name], ever = True, True
            else:
                failures, successes = failures + 1, 0
                if failures >= 2:
                    self.nodes_up[name] = False
            await asyncio.sleep(1.0)

    # -------- tasks, as the platform sees them

    def started(self, worker, task):
        self.record.write("task starts", piece=task.piece, attempt=task.attempt, loom=worker.name)
        self.starts.append((self.record.now(), task.piece, worker.name))
        if task.piece in self.on_machine:
            other = self.on_machine[task.piece]
            self.violations.append(f"ran_twice: {task.piece} starts on {worker.name} while it is on {other}")
        self.on_machine[task.piece] = worker.name

    def ended(self, worker, task, cause):
        self.record.write("task ends", piece=task.piece, attempt=task.attempt, loom=worker.name, cause=cause)
        if self.on_machine.get(task.piece) == worker.name:
            del self.on_machine[task.piece]

    # -------- users

    def pick_node(self, tried):
        up = [name for name, healthy in self.nodes_up.items() if healthy and name not in tried]
        return random.choice(up) if up else None

    async def ask(self, method, path, body=None, timeout=5.0, node=None):
        """One request of a user on a new connection through the load balancer, or at one node. (status, answer)."""
        tried = []
        while True:
            name = node or self.pick_node(tried)
            if name is None:
                return None, {}, None
            connection = Connection(self.fronts[name])
            try:
                status, answer, headers = await connection.request(method, path, body, timeout)
                connection.close()
                return status, answer, headers
            except TimeoutError:
                return None, {}, None
            except OSError:
                tried.append(name)
                if node or len(tried) >= 3:
                    return None, {}, None

    async def until_answered(self, what, ref, method, path, body, good, stop=None):
        """Repeats a request as a user does, for up to 60 s. Returns the last status and answer."""
        began, first = time.monotonic(), True
        while True:
            status, answer, headers = await self.ask(method, path, body)
            self.record.write(what, ref=ref, status=status, answer=answer)
            if status in good or (stop and status in stop):
                return status, answer
            wait = max(1.0, min(30.0, float((headers or {}).get("retry-after", 0))))
            if time.monotonic() - began + wait > 60:
                return status, answer
            await asyncio.sleep(wait)

    def job(self, ref, run_s, **fields):
        submission = {"ref": ref, "jobline": "zhoubiao-jie", "crew": "renshi-1", "shape": "array",
                      "urgency": "normal", "pieces": 1, "cores": 1.0, "cards": 0.0, "ramGb": 2.0, "bundle": "img-01",
                      "imageGb": 0.5, "frames": None, "hall": None, "oneZone": False, "scatter": False,
                      "borrowed": False, "expectS": run_s, "markEveryS": 0.0, "markTakesS": 0.0, "dueS": None}
        submission.update(fields)
        self.submitted[ref], self.run_s[ref] = submission, run_s
        return submission

    async def submit(self, submission):
        ref = submission["ref"]
        return await self.until_answered("submission", ref, "POST", "/submissions", submission, (200, 201), (400, 422))

    async def withdraw(self, ref):
        return await self.until_answered("withdrawal", ref, "POST", f"/submissions/{ref}/withdraw", {}, (200,))

    async def poll(self, ref, node=None):
        status, answer, _ = await self.ask("GET", f"/submissions/{ref}", None, 2.0, node)
        self.record.write("poll", ref=ref, node=node, status=status, answer=answer)
        return status, answer

    async def wait_until(self, condition, limit_s, what):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(what)
            await asyncio.sleep(0.05)

    def leader(self):
        """The node named in the controllers' own leader record; it only tells the test whom to disturb."""
        entry = self.state.keys.get("l/lead")
        return entry[0]["node"] if entry else None

    def stop(self):
        for controller in self.controllers.values():
            controller.kill()
        if os.environ.get("KEEP"):
            print("folder:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, site_class):
    """Runs case(site, trouble) -> list of broken rules, and ends the process with the case's exit code."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site, broken, code = None, [], 2

        def end(code):
            if site:
                site.stop()
            sys.stdout.flush()
            os._exit(code)

        watchdog = threading.Timer(118.5, end, [2])
        watchdog.daemon = True
        watchdog.start()
        loop, current = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, current.cancel)
        # Only a case that came to its end says something about the rule: 1 or 0. Everything else is 2.
        try:
            site = site_class(folder)
            await site.start()
            broken = await asyncio.wait_for(case(site, trouble), 117)
            died = [each.name for each in site.controllers.values() if each.process.poll() is not None]
            if died:
                site.record.write("note", text=f"controllers that ended by themselves: {died}")
            site.record.write("result", broken=broken)
            code = 1 if broken else 0
        except BaseException as error:
            print("could not run:", repr(error))
        for line in broken:
            print("broken:", line)
        if code < 2:
            print("the rule was broken" if broken else "the rule held")
        end(code)

    asyncio.run(run())
