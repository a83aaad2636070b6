"""Stand-ins for what surrounds `runloom platform`: servers, discovery agents, proxies, collectors and the channel.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on 127.0.0.1 with ports that the system assigns. All times are
seconds of the monotonic clock since the start of the run. Every request, answer and list change is written to the record.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# PROTOCOL.md, "The rules on sockets": limits for drains are 300 ms longer and start 1 s after the first answer.
SLACK_S = 0.3
FIRST_ANSWER_S = 1.0
# PROTOCOL.md, "Figures": whatever discovery has to tell counts as told no later than 6 s afterwards.
AGENT_HEARTBEAT_S = 2.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def note(self, kind, **fields):
        if self.file.closed:
            return
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")

    def say(self, text):
        self.file.write(f"{self.now():9.3f} # {text}\n")
        print(f"{self.now():8.2f} {text}", flush=True)


def frame(message):
    body = json.dumps(message, separators=(",", ":")).encode()
    return struct.pack("<I", len(body)) + body


async def read_frame(reader):
    (length,) = struct.unpack("<I", await reader.readexactly(4))
    return json.loads(await reader.readexactly(length))


def reset(writer):
    """Closes a connection as the death of a process does."""
    if writer is not None:
        sock = writer.get_extra_info("socket")
        if sock is not None:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
        writer.close()


class Server:
    """A server: takes requests while it serves, turns new ones away while it drains, and refuses connections once gone."""

    def __init__(self, world, name, zone, size=1.0):
        self.world, self.name, self.zone, self.size = world, name, zone, size
        self.phase, self.up_since_ms, self.held = "SERVING", 0, 0
        self.listener, self.address = None, None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def stop(self):
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = head.split(" ", 2)[1]
            if path in ("/alive", "/metrics/load"):
                status = "200 OK" if self.phase == "SERVING" else "503 Service Unavailable"
                body = json.dumps({"queue": max(0, self.held - 4), "latency_ms": 60.0, "util": 0.4, "inflight": self.held})
                body = body if path == "/metrics/load" else ""
                self.reply(writer, status, body)
            elif self.phase != "SERVING":
                self.world.record.note("turned-away", server=self.name, request=path[6:])
                self.reply(writer, "503 Service Unavailable\r\nNot-Started: 1", "")
            else:
                self.held += 1
                self.world.record.note("run", server=self.name, request=path[6:])
                await asyncio.sleep(self.world.rng.uniform(0.04, 0.09))
                self.held -= 1
                self.reply(writer, "200 OK", "")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def reply(writer, status, body):
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write((head + body).encode())

    def member(self, phase=None):
        return {"id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "two-core", "cell": 0,
                "phase": phase or self.phase, "size": self.size, "up_since_ms": self.up_since_ms}


class Agent:
    """The discovery agent on one planner's machine: the list as told to that planner."""

    def __init__(self, world, planner_name):
        self.world, self.planner_name = world, planner_name
        self.revision, self.members, self.log = 0, {}, []
        self.watches = set()
        # Server -> when this planner was told that it drains or is gone, and in which phase.
        self.told, self.told_phases = {}, {}
        self.listener, self.address = None, None

    async def start(self, members):
        self.revision = 41
        self.members = {member["id"]: member for member in members}
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def held(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def change(self, members):
        """Tells the planner of changed entries; returns once they are written to its watches."""
        self.revision += 1
        for member in members:
            if member["phase"] == "DELETED":
                self.members.pop(member["id"], None)
            else:
                self.members[member["id"]] = member
        self.log.append((self.revision, members))
        line = {"revision": self.revision, "complete": False, "members": members}
        for watch in list(self.watches):
            await self.write(watch, line)

    async def write(self, writer, line):
        text = (json.dumps(line) if line else "") + "\n"
        try:
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
            await writer.drain()
        except OSError:
            return
        for member in line["members"] if line else []:
            self.note_told(member)

    def note_told(self, member):
        if member["phase"] == "SERVING":
            self.told.pop(member["id"], None)
            return
        self.told.setdefault(member["id"], self.world.record.now())
        self.told_phases.setdefault(member["id"], set()).add(member["phase"])
        self.world.record.note("told", planner=self.planner_name, server=member["id"], phase=member["phase"])

    def since(self, revision):
        oldest = self.log[0][0] - 1 if self.log else self.revision
        if revision == 0 or not oldest <= revision <= self.revision:
            return self.held()
        changed = {}
        for at, members in self.log:
            if at > revision:
                changed.update({member["id"]: member for member in members})
        return {"revision": self.revision, "complete": False, "members": list(changed.values())}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = head.split(" ", 2)[1]
            if "follow=1" not in path:
                body = json.dumps(self.held())
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                return
            revision = int(path.split("since=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self.write(writer, self.since(revision))
            self.world.record.note("watch", planner=self.planner_name, since=revision)
            self.watches.add(writer)
            while not reader.at_eof():
                try:
                    await asyncio.wait_for(reader.read(100), AGENT_HEARTBEAT_S)
                except asyncio.TimeoutError:
                    await self.write(writer, None)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Channel:
    """The channel of one planner process: messages leave it in sequence, then take their transit time."""

    def __init__(self, world):
        self.world, self.free_at, self.waiting, self.most = world, 0.0, collections.deque(), 0

    def enter(self, lines):
        now, info = self.world.record.now(), self.world.settings["familyInfo"]
        while self.waiting and self.waiting[0][0] <= now:
            self.waiting.popleft()
        self.free_at = max(now, self.free_at) + lines / info["channelRate"]
        self.waiting.append((self.free_at, lines))
        self.most = max(self.most, sum(count for _, count in self.waiting))
        return self.free_at + info["transitS"]


class Planner:
    """One planner: the process that the deploy file's `run` starts, and the agent on its machine."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone, self.name = world, index, zone, f"n{index + 1}"
        self.agent = Agent(world, self.name)
        self.process, self.first_answer, self.is_stopping = None, None, False
        self.channel, self.collectors, self.reports = Channel(world), {}, collections.OrderedDict()
        self.folder = world.folder / self.name
        self.folder.mkdir()
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % probe.getsockname()[1]
        probe.close()

    @property
    def is_up(self):
        return self.process is not None and self.first_answer is not None and not self.is_stopping

    async def start(self):
        settings = dict(self.world.settings, selfIndex=self.index, myZone=self.zone)
        config = {"name": self.name, "listen": self.address, "discovery": self.agent.address,
                  "seed": "%016x" % self.world.rng.getrandbits(64), "limits": self.world.limits,
                  "known": self.known, "settings": settings}
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        scratch = self.folder / "tmp"
        shutil.rmtree(scratch, ignore_errors=True)
        scratch.mkdir()
        env = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN=self.address, EDGE_DISCOVERY=self.agent.address,
                   EDGE_CONFIG=str(path), TMPDIR=str(scratch), NO_COLOR="1")
        log = open(self.folder / "log", "ab")
        self.channel, self.reports = Channel(self.world), collections.OrderedDict()
        self.first_answer, self.is_stopping = None, False
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.world.run_command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.world.record.note("started", planner=self.name, pid=self.process.pid)
        for _ in range(200):
            if await self.answers_ping():
                self.first_answer = self.world.record.now()
                self.world.record.note("ready", planner=self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def answers_ping(self):
        try:
            reader, writer = await asyncio.open_connection(*self.world.split(self.address))
            writer.write(frame({"t": "PING"}))
            answer = await asyncio.wait_for(read_frame(reader), 1.0)
            writer.close()
            return answer.get("t") == "PONG"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def stop(self, number):
        """Sends a signal that ends the process, SIGKILL 0.7 s later at the latest, and waits for its end."""
        process = self.process
        if process is None:
            return
        self.is_stopping = True
        self.world.record.note("signal", planner=self.name, signal=signal.Signals(number).name)
        self.known = self.agent.held()
        if number == signal.SIGTERM:
            # PROTOCOL.md: once SIGTERM arrives, proxies go elsewhere.
            others = [planner for planner in self.world.planners if planner.is_up]
            for proxy in self.world.proxies:
                if proxy.home is self and others:
                    proxy.home = self.world.rng.choice(others)
        try:
            process.send_signal(number)
            await asyncio.wait_for(process.wait(), 0.7)
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()
        except ProcessLookupError:
            pass
        self.process = None
        self.world.record.note("ended", planner=self.name, code=process.returncode)

    # Reports: sums of at most `hearsPerS` lines a second, the oldest first, `heardLateS` late.

    def count(self, key, **amounts):
        line = self.reports.setdefault(key, {"since": self.world.record.now()})
        for name, amount in amounts.items():
            line[name] = line.get(name, 0) + amount

    async def report(self):
        info = self.world.settings["familyInfo"]
        while True:
            await asyncio.sleep(0.1)
            if not self.is_up:
                continue
            for _ in range(max(1, int(info["hearsPerS"] / 10))):
                if not self.reports:
                    break
                key = next(iter(self.reports))
                now = self.world.record.now()
                if now - self.reports[key]["since"] < info["periodS"]:
                    break
                line = self.reports.pop(key)
                self.world.later(self.world.heard_late_s, self.send_report, self.process, key, line, now)

    def send_report(self, process, key, line, now):
        if process is not self.process:
            return
        over = round((now - line["since"]) * 1000, 3)
        if key[0] == "LOAD":
            _, zone, server = key
            good = line["count"] - line["fail"]
            mean = 1000 * line["latency"] / good if good else 0.0
            message = {"t": "LOAD", "site": zone, "target": server, "count": line["count"], "fail": line["fail"],
                       "mean": round(mean, 3), "over": over}
            if good:
                message["util"] = {"queue": 1, "latency_ms": 60.0, "util": 0.4}
            writer = self.collectors.get(zone)
        else:
            _, proxy, lane = key
            message = {"t": "RATE", "id": proxy, "lane": lane, "count": line["count"], "fail": line.get("fail", 0),
                       "over": over}
            writer = self.world.proxies[proxy].writer_to(self)
        if writer is not None:
            writer.write(frame(message))

    async def keep_collector(self, zone):
        while True:
            if self.is_up:
                try:
                    reader, writer = await asyncio.open_connection(*self.world.split(self.address))
                    writer.write(frame({"t": "SOURCE", "site": zone}))
                    self.collectors[zone] = writer
                    while await reader.read(1000):
                        pass
                except OSError:
                    pass
                if self.collectors.pop(zone, None) is not None:
                    writer.close()
            await asyncio.sleep(0.2)


class Proxy:
    """A proxy: its tables outlast its streams, and it sends requests as they say."""

    def __init__(self, world, number, zone, home, rate):
        self.world, self.number, self.zone, self.home, self.rate = world, number, zone, home, rate
        self.planner, self.writer, self.joined_at, self.was_given_table = None, None, None, False
        self.planner_process = None
        self.outstanding, self.failures, self.avoided_until = collections.Counter(), collections.Counter(), {}
        self.dropped = set()
        self.again = world.settings["familyInfo"]["retryDefault"]
        listed = [server for server in world.servers.values() if server.phase == "SERVING"]
        local = [server for server in listed if server.zone == zone]
        pool = local if len(local) >= 3 else listed
        standing = world.rng.sample(pool, min(world.settings["familyInfo"]["defaultSize"], len(pool)))
        self.tables = {lane: {server.name: 1.0 for server in standing} for lane in world.lanes}

    def writer_to(self, planner):
        return self.writer if self.planner is planner else None

    # The stream.

    async def keep_stream(self):
        await asyncio.sleep(self.world.rng.uniform(*self.world.first_dial_s))
        while True:
            planner = self.choose_planner()
            if planner is not None:
                await self.run_stream(planner)
            await asyncio.sleep(self.world.rng.uniform(*self.world.redial_s))

    def choose_planner(self):
        """The planner that it was joined to last, or its own at first; another one if that is down."""
        if not self.home.is_up:
            others = [planner for planner in self.world.planners if planner.is_up]
            if not others:
                return None
            self.home = self.world.rng.choice(others)
        return self.home

    async def run_stream(self, planner):
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*self.world.split(planner.address))
            writer.write(frame({"t": "SUBSCRIBE", "id": self.number, "site": self.zone, "rps": self.rate,
                                "new": not self.was_given_table}))
            self.planner, self.writer, self.joined_at = planner, writer, self.world.record.now()
            self.planner_process = planner.process
            self.world.record.note("joined", proxy=self.number, planner=planner.name, new=not self.was_given_table)
            parts = []
            while True:
                message = await read_frame(reader)
                if message.get("t") != "CONFIG":
                    continue
                parts.append(message)
                if not message.get("part"):
                    self.receive(parts, writer, planner)
                    parts = []
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                reset(writer)
            if self.planner is not None:
                self.world.record.note("left", proxy=self.number, planner=planner.name)
            self.planner, self.writer, self.joined_at = None, None, None

    def receive(self, parts, writer, planner):
        """A complete message enters the channel, and is applied after it left the channel and arrived."""
        lanes = self.world.lanes
        lines = self.world.settings["familyInfo"]["overhead"]
        for part in parts:
            lines += len(part.get("rows", [])) + len(part.get("drop", [])) + len(part.get("undrop", []))
            lines += 1 if part.get("replace") else 0
            lines += len(part.get("for", lanes)) if "gate" in part else 0
            lines += 1 if "stamp" in part else 0
        sent = self.world.record.now()
        apply_at = planner.channel.enter(lines)
        self.world.later(apply_at - sent, self.apply, parts, writer, sent)

    def apply(self, parts, writer, sent):
        if self.writer is not writer:
            return
        for part in parts:
            for lane in part.get("for", self.world.lanes):
                table = self.tables[lane]
                if part.get("replace"):
                    table.clear()
                    self.was_given_table = True
                for server, weight in part.get("rows", []):
                    if weight > 0:
                        table[server] = weight
                    else:
                        if server in table:
                            self.world.record.note("removed", proxy=self.number, server=server, lane=lane)
                        table.pop(server, None)
            self.dropped.update(part.get("drop", []))
            self.dropped.difference_update(part.get("undrop", []))
            self.again = part.get("again", self.again)
            if "stamp" in part:
                elapsed = 1000 * (self.world.record.now() - sent)
                writer.write(frame({"t": "ACK", "id": self.number, "seq": part["stamp"], "ms": round(elapsed, 1)}))

    # Requests.

    async def send_requests(self):
        while not self.world.is_ending:
            await asyncio.sleep(self.world.rng.expovariate(self.rate))
            if self.world.is_ending:
                return
            self.world.open_requests += 1
            self.world.spawn(self.request())

    def pick(self, lane, excluded):
        now = self.world.record.now()
        table = {server: weight for server, weight in self.tables[lane].items()
                 if server not in self.dropped and server != excluded and self.avoided_until.get(server, 0) <= now}
        if not table:
            return None
        draws = self.world.rng.choices(list(table), list(table.values()), k=2)
        return min(draws, key=lambda server: self.outstanding[server])

    async def request(self):
        world = self.world
        world.requests += 1
        number, lane = world.requests, world.rng.choices(world.lanes, world.lane_shares)[0]
        planner = self.planner
        world.record.note("request", id=number, proxy=self.number, lane=lane)
        excluded, outcome = None, "no-line"
        for attempt in range(2):
            server = self.pick(lane, excluded)
            if server is None:
                break
            world.check_drain(self, server, number)
            outcome = await self.attempt(number, server)
            if outcome not in ("refused", "turned-away") or self.again == 0:
                break
            excluded = server
        world.open_requests -= 1
        world.outcomes[outcome] += 1
        world.record.note("answer", id=number, outcome=outcome)
        if planner is not None and planner is self.planner:
            planner.count(("RATE", self.number, lane), count=1, fail=0 if outcome == "ok" else 1)

    async def attempt(self, number, server):
        started = self.world.record.now()
        self.world.record.note("try", id=number, proxy=self.number, server=server)
        self.outstanding[server] += 1
        outcome = "failed"
        try:
            outcome = await asyncio.wait_for(self.exchange(number, server), 2.5)
        except asyncio.TimeoutError:
            outcome = "timeout"
        self.outstanding[server] -= 1
        is_good = outcome == "ok"
        self.failures[server] = 0 if is_good else self.failures[server] + 1
        if self.failures[server] >= 3:
            self.failures[server] = 0
            self.avoided_until[server] = self.world.record.now() + self.world.rng.uniform(3.3, 6.8)
        if self.planner is not None:
            self.planner.count(("LOAD", self.zone, server), count=1, fail=0 if is_good else 1,
                               latency=self.world.record.now() - started if is_good else 0.0)
        return outcome

    async def exchange(self, number, server):
        try:
            reader, writer = await asyncio.open_connection(*self.world.split(self.world.servers[server].address))
        except OSError:
            return "refused"
        try:
            writer.write(f"GET /work/{number} HTTP/1.1\r\nHost: {server}\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            if b"Not-Started" in head:
                return "turned-away"
            return "ok" if b" 200 " in head.split(b"\r\n", 1)[0] else "failed"
        except (OSError, asyncio.IncompleteReadError):
            return "failed"
        finally:
            writer.close()


class World:
    """All stand-ins of one run, and the check of the rule on drains."""

    def __init__(self, case_folder, settings, limits, seed):
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="runloom-review-"))
        self.settings, self.limits, self.rng = settings, limits, random.Random(seed)
        self.lanes = [lane["name"] for lane in settings["classes"]]
        self.lane_shares = [lane.get("share", 1.0) for lane in settings["classes"]]
        self.servers, self.planners, self.proxies = {}, [], []
        self.outcomes, self.requests, self.tasks = collections.Counter(), 0, set()
        # Sends to a draining or removed server after the limit: (time, proxy, server, planner, seconds late).
        self.late_sends, self.sends_to_drained = [], 0
        self.is_ending, self.open_requests = False, 0
        self.first_dial_s, self.redial_s, self.heard_late_s = (0.05, 0.5), (0.58, 2.2), 1.0
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.run_command = deploy["run"]
        if not (ROOT / "target" / "release" / "runloom").exists():
            raise CannotRun("target/release/runloom is missing: run the deploy file's build first")

    @staticmethod
    def split(address):
        host, port = address.rsplit(":", 1)
        return host, int(port)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def later(self, seconds, function, *arguments):
        asyncio.get_running_loop().call_later(max(0.0, seconds), function, *arguments)

    async def until(self, seconds):
        await asyncio.sleep(max(0.0, seconds - self.record.now()))

    async def add_servers(self, count, zones):
        for index in range(count):
            server = Server(self, f"s-{index + 1:02d}", zones[index % len(zones)])
            await server.start()
            self.servers[server.name] = server

    async def tell(self, members):
        """Discovery tells every planner of changed entries."""
        for planner in self.planners:
            await planner.agent.change(members)

    async def drain(self, server):
        server.phase = "DRAINING"
        await self.tell([server.member()])

    async def remove(self, server):
        """The server has finished its work and ends; discovery removes it."""
        server.phase = "DELETED"
        server.stop()
        await self.tell([server.member()])

    async def replace(self, server, drain_s):
        """A deploy step: a successor starts, the server drains, and ends `drain_s` later."""
        successor = Server(self, f"s-{len(self.servers) + 1:02d}", server.zone, server.size)
        await successor.start()
        successor.up_since_ms = int(time.time() * 1000)
        self.servers[successor.name] = successor
        await self.tell([successor.member()])
        await self.drain(server)
        await asyncio.sleep(drain_s)
        await self.remove(server)

    async def start_planners(self, zones):
        members = [server.member() for server in self.servers.values()]
        for index, zone in enumerate(zones):
            planner = Planner(self, index, zone)
            await planner.agent.start(members)
            planner.known = planner.agent.held()
            self.planners.append(planner)
        for planner in self.planners:
            await planner.start()
        for planner in self.planners:
            self.spawn(planner.report())
            for zone in self.settings["zones"]:
                self.spawn(planner.keep_collector(zone))

    def start_proxies(self, homes, rate):
        """Starts one proxy for each element of `homes`: its zone and its planner."""
        for number, (zone, home) in enumerate(homes):
            self.proxies.append(Proxy(self, number, zone, home, rate))
        for proxy in self.proxies:
            self.spawn(proxy.keep_stream())
            self.spawn(proxy.send_requests())

    def check_drain(self, proxy, server, number):
        """PROTOCOL.md: a joined proxy shall not send later than the grace and 300 ms after its planner was told, after it
        joined, and after 1 s from the planner's first answer, whichever is last."""
        planner = proxy.planner
        if planner is None or planner.process is not proxy.planner_process:
            return
        told = planner.agent.told.get(server)
        if told is None:
            return
        if self.settings["rules"].get("droppedStayOpen") and "DRAINING" not in planner.agent.told_phases[server]:
            return
        now = self.record.now()
        since = max(told, proxy.joined_at, planner.first_answer + FIRST_ANSWER_S)
        limit = since + self.settings["rules"]["drainGraceS"] + SLACK_S
        self.sends_to_drained += 1
        if now > limit:
            late = now - limit
            self.late_sends.append((now, proxy.number, server, planner.name, late))
            self.record.note("LATE", id=number, proxy=proxy.number, server=server, planner=planner.name,
                             told=f"{told:.3f}", joined=f"{proxy.joined_at:.3f}", late_s=f"{late:.3f}")

    def holders(self, server):
        return [proxy for proxy in self.proxies if any(server in table for table in proxy.tables.values())]

    async def finish_requests(self):
        """Sends no more requests, and waits for the answers to those under way."""
        self.is_ending = True
        for _ in range(60):
            if self.open_requests == 0:
                return
            await asyncio.sleep(0.1)

    async def close(self):
        for planner in self.planners:
            if planner.process is not None:
                await planner.stop(signal.SIGTERM)
        for server in self.servers.values():
            server.stop()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for planner in self.planners:
            log = planner.folder / "log"
            if log.exists():
                self.record.file.write(f"--- log of {planner.name}\n{log.read_text(errors='replace')}")
        self.record.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def summarize(world):
    """Prints what came of the run; the exit code by the rule on drains."""
    most = {planner.name: planner.channel.most for planner in world.planners}
    world.record.say(f"requests {world.requests}, outcomes {dict(world.outcomes)}, most lines in a channel {most}")
    world.record.say(f"tries at draining or removed servers by joined proxies: {world.sends_to_drained} within or past the "
                     f"limit, {len(world.late_sends)} past it")
    if world.late_sends:
        latest = max(world.late_sends, key=lambda send: send[4])
        proxies = {send[1] for send in world.late_sends}
        world.record.say(f"RULE BROKEN: {len(world.late_sends)} tries by {len(proxies)} proxies, up to {latest[4]:.2f} s "
                         f"past the limit (proxy {latest[1]}, server {latest[2]}, planner {latest[3]})")
        return 1
    world.record.say("rule held")
    return 0


def main(case_folder, scenario, settings, limits, seed):
    """Runs a scenario and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    async def run():
        world = World(case_folder, settings, limits, seed)
        loop, own = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, own.cancel)
        try:
            await asyncio.wait_for(scenario(world), 105)
            await world.finish_requests()
            for planner in world.planners:
                if planner.process is not None and planner.process.returncode is not None:
                    raise CannotRun(f"{planner.name} ended by itself")
            return summarize(world)
        finally:
            await world.close()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # Whatever stops the stand-ins says nothing about the rule.
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
