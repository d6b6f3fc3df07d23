"""Sidecars that know of each other, with planners and replication, as docs/operators/ turns them on. The times
are those of deploy/fleet.cfg and deploy/planner.cfg, unless a case says otherwise."""
import asyncio
import json
import os
import subprocess
import time

from stand_ins import ROOT, CannotRun, Sidecar, children, free_port, run_line

PLANNER = """planner = {{ name = "{name}"; listen = "{address}"; folder = "{folder}";
  planners = ( {all} );
  leases = {{ span = 6.0; drift = 0.001; claim = 1.0; absent = 12.0; }};
  log = {{ heartbeat = 0.1; election_least = 0.5; election_most = 1.0; keep = 1000; }}; }};
"""

MEMBER = """fleet = {{ member = "{name}"; place = "{place}"; listen = "{address}"; seeds = [{seeds}]; folder = "{folder}";
  membership = {{ period = 1.0; answer_wait = 0.3; regain_every = 5.0; remember = 86400; }};
  audit = {{ witnesses = 3; grace = 5.0; out_after = 10.0; blind_after = 10.0; most_out = 0.25; epochs = 256; }};
  planners = {{ addresses = [{planners}]; answer_wait = 0.5; ask_again = 2.0; renew_most = 2.0; roll_call = 5.0;
    warming = 0.5; }};
  copies = {{ copies = {copies}; least = {least}; otherwise = "throttle"; within = 0.5; come_back = 1.0; keep = 120;
    keep_epochs = 86400; slots = 64; absent = 30; rest = 10; lag = 1.0; review = 0.5; moves = 16;
    repair_rate = 2000000; compare = 60; scrub = 3600; }};
  limits = {{ links = 64; frame = 1048576; }}; }};
"""


class Process:
    def __init__(self, record, name, line, folder, environment=None):
        self.record, self.name, self.line, self.folder = record, name, line, folder
        self.environment = environment or {}
        self.process = None

    def start(self):
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", self.line], cwd=ROOT, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL, env=dict(os.environ, **self.environment))
        children.append(self.process)
        self.record.line(f"{self.name} started: {self.line}")
        return self

    def send_signal(self, number):
        self.record.line(f"signal {number!r} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    def __init__(self, record, folder, members, planners=3, copies=2, least=2):
        self.record, self.folder = record, folder
        names = [f"p{i + 1}" for i in range(planners)]
        self.planner_addresses = {name: f"127.0.0.1:{free_port()}" for name in names}
        self.member_addresses = {f"n{i + 1}": f"127.0.0.1:{free_port()}" for i in range(members)}
        everyone = ", ".join(f'{{ name = "{n}"; address = "{a}"; }}' for n, a in self.planner_addresses.items())
        self.planners = []
        for i, name in enumerate(names):
            path = os.path.join(folder, f"{name}.cfg")
            with open(path, "w") as file:
                file.write(PLANNER.format(name=name, address=self.planner_addresses[name],
                                          folder=os.path.join(folder, name + ".disk"), all=everyone))
            line = f"exec build/tideline planner --file {path}"
            self.planners.append(Process(record, name, line + (" --found" if i == 0 else ""), folder))
        self.member_files = {}
        quoted = lambda addresses: ", ".join(f'"{a}"' for a in addresses)
        for i, (name, address) in enumerate(self.member_addresses.items()):
            path = os.path.join(folder, f"{name}.cfg")
            with open(path, "w") as file:
                file.write(MEMBER.format(name=name, place=f"rack-{i + 1}", address=address, copies=copies,
                                         least=least, seeds=quoted(list(self.member_addresses.values())[:3]),
                                         folder=os.path.join(folder, name + ".disk"),
                                         planners=quoted(self.planner_addresses.values())))
            self.member_files[name] = path
        self.sidecars = {}

    def begin(self, discovery, platform, news, known, profile, sockets=1024, but=()):
        for planner in self.planners:
            planner.start()
        for name in self.member_files:
            self.sidecars[name] = Sidecar(self.record, discovery, platform, news, known, profile, sockets, name,
                                          run_line(), self.folder)
            if name not in but:
                self.start(name)

    def start(self, name):
        os.environ["TIDELINE_FLEET"] = self.member_files[name]
        self.sidecars[name].start()
        del os.environ["TIDELINE_FLEET"]

    def ask(self, *arguments):
        done = subprocess.run([os.path.join(ROOT, "build", "tideline"), *arguments], cwd=ROOT, capture_output=True,
                              text=True, timeout=10)
        return done.returncode, done.stdout + done.stderr

    async def complete(self, within=40):
        """Waits until `tideline replication` shows all shards as complete."""
        until = time.monotonic() + within
        address = next(iter(self.member_addresses.values()))
        text = ""
        while time.monotonic() < until:
            status, text = await asyncio.to_thread(self.ask, "replication", "--address", address)
            if status == 0:
                self.record.line("replication: all shards complete")
                return text
            await asyncio.sleep(0.5)
        raise CannotRun("replication never became complete: " + text[-800:])

    def end(self):
        for each in [*self.sidecars.values(), *self.planners]:
            each.end()
