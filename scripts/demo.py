#!/usr/bin/env python3
"""Runs one scenario with real processes on the loopback address and counts how each request ended.

Starts the platform's stand-in, four workers and three entry instances in two data centres,
configures customers and presets, and sends a mixed load with an overload phase. Meanwhile it
switches the preset while the store is down, drains one entry instance and kills another. Prints a
table by customer and class at the end. The exit status is 0 only if each request got its final
answer, no answer was wrong, and no non-idempotent job was started twice.
"""

import argparse
import collections
import http.client
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HOST = "127.0.0.1"
FINAL = {"done", "failed", "not-run", "cancelled", "outcome-unknown"}
REQUEST_LIMIT_S = 60.0  # A request without a final answer within this time counts as lost.


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def call(port, method, path, body=None, key=None, timeout=65.0):
    """Makes one HTTP call. Returns (status, parsed body), or (None, None) without an answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = "Bearer " + key
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None, headers)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text.strip().startswith(b"{") else text
    except (OSError, http.client.HTTPException, ValueError):
        return None, None
    finally:
        connection.close()


class Site:
    """The processes of one scenario."""

    def __init__(self, scenario, build, folder):
        self.scenario = scenario
        self.build = build
        self.folder = folder
        self.processes = {}
        self.instances = {}
        self.workers = {}
        self.operator_key, self.stored_operator_key = self.make_key("operator", "operator")
        self.keys = {}
        self.platform_port = None

    def make_key(self, name, role):
        """Returns a new key in the form that its holder sends and in its stored form."""
        made = subprocess.run(
            [self.build / "Hibiscusctl/hibiscusctl", "--json", "key", name, "--role", role],
            check=True, capture_output=True, text=True)
        key = json.loads(made.stdout)
        return key["key"], key["stored"]

    def spawn(self, name, arguments, prints_port=False):
        log = open(self.folder / (name + ".log"), "ab")
        output = subprocess.PIPE if prints_port else log
        process = subprocess.Popen(arguments, stdout=output, stderr=log)
        self.processes[name] = process
        return int(process.stdout.readline()) if prints_port else None

    def start(self):
        self.platform_port = self.spawn(
            "platform", [self.build / "StandIns/hibiscus-platform-standin"], True)
        (self.folder / "cluster.key").write_text(secrets.token_hex(32))
        centres = self.scenario["dataCenters"]
        for index in range(4):
            self.start_worker("worker-%d" % index, centres[index // 2], index // 2)
        for index in range(3):
            self.start_instance("entry-%d" % index, centres[index // 2])
        self.publish_list()

    def start_worker(self, name, centre, rack):
        port = self.spawn(name, [
            self.build / "StandIns/hibiscus-worker-standin", "--name", name, "--slots", "8",
            "--run-log", self.folder / "runs.jsonl"], True)
        self.workers[name] = {
            "name": name, "dataCenter": centre, "rack": rack, "slots": 8, "accelerators": 8,
            "memoryMiB": 60000, "connections": 60, "host": HOST, "port": port, "leaving": False}

    def start_instance(self, name, centre):
        known = self.instances.get(name)
        ports = known or {part: free_port() for part in
                          ("callers", "urgent", "operators", "health", "peers")}
        ports["dataCenter"] = centre
        self.instances[name] = ports
        settings = {
            "instance": name, "dataCenter": centre,
            "callers": {"host": HOST, "port": ports["callers"], "threads": 64},
            "urgentCallers": {"host": HOST, "port": ports["urgent"], "threads": 32},
            "operators": {"host": HOST, "port": ports["operators"]},
            "health": {"host": HOST, "port": ports["health"]},
            "peers": {"host": HOST, "port": ports["peers"],
                      "clusterKeyFile": str(self.folder / "cluster.key")},
            "store": {"host": HOST, "port": self.platform_port},
            "liveList": {"host": HOST, "port": self.platform_port, "intervalMs": 500},
            "operatorKeys": [self.stored_operator_key],
            "ledger": {"shards": 4, "commitSpacingMs": 45},
            "leases": {"ownerMs": 3000, "taskMs": 30000, "renewMs": 1000},
        }
        path = self.folder / (name + ".json")
        path.write_text(json.dumps(settings, indent=4))
        self.spawn(name, [self.build / "Hibiscusd/hibiscusd", "--settings", path])

    def publish_list(self):
        instances = [{"name": name, "dataCenter": ports["dataCenter"], "host": HOST,
                      "port": ports["peers"], "leaving": False}
                     for name, ports in self.instances.items()]
        body = {"instances": instances, "workers": list(self.workers.values())}
        status, _ = call(self.platform_port, "POST", "/v1/live", body)
        assert status in (200, 204), status

    def live_instances(self):
        return [name for name in self.instances
                if self.processes[name].poll() is None]

    def change_configuration(self, change, via=None, limit_s=40.0):
        """Makes one operator change. Retries under the same change id until it is decided."""
        body = dict(change, changeId=secrets.token_hex(8))
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            name = via or random.choice(self.live_instances())
            status, answer = call(self.instances[name]["operators"], "POST", "/v1/changes", body,
                                  self.operator_key)
            if status == 200:
                return answer["revision"]
            if status == 400:
                raise SystemExit("the change was refused: %s" % answer)
            time.sleep(0.3)
        raise SystemExit("no entry instance answered the change: %s" % list(change))

    def configure(self):
        for customer in self.scenario["customers"]:
            name = customer["name"]
            self.keys[name], stored = self.make_key(name + "-key", "caller")
            self.change_configuration({"putCustomer": dict(customer, keys=[stored])})
        for preset in self.scenario["presets"]:
            self.change_configuration({"putPreset": preset})
        return self.change_configuration({"switchPreset": self.scenario["firstPreset"]})

    def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            ready = [call(ports["health"], "GET", "/ready", timeout=2)[0] == 200
                     for ports in self.instances.values()]
            if all(ready):
                return
            time.sleep(0.1)
        raise SystemExit("the entry instances did not become ready")

    def set_faults(self, **switches):
        return call(self.platform_port, "POST", "/v1/faults", switches)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()


class Load:
    """Callers of all streams. Each caller repeats its calls until a request has a final answer."""

    def __init__(self, site):
        self.site = site
        self.stopping = threading.Event()
        self.overload = threading.Event()
        self.lock = threading.Lock()
        self.threads = []
        self.counts = collections.defaultdict(lambda: collections.Counter())
        self.times = collections.defaultdict(list)
        self.non_idempotent = set()
        self.lost = []
        self.counter = 0

    def start(self):
        streams = [(stream, None) for stream in self.site.scenario["streams"]]
        streams.append((self.site.scenario["flood"], self.overload))
        for stream, enabled in streams:
            for _ in range(stream["callers"]):
                thread = threading.Thread(target=self.caller, args=(stream, enabled), daemon=True)
                thread.start()
                self.threads.append(thread)

    def finish(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(REQUEST_LIMIT_S + 10)

    def caller(self, stream, enabled):
        while not self.stopping.is_set():
            if enabled and not enabled.is_set():
                time.sleep(0.05)
                continue
            self.run_request(stream)
            time.sleep(stream["pauseMs"] / 1000 * random.uniform(0.5, 1.5))

    def run_request(self, stream):
        with self.lock:
            self.counter += 1
            request_id = "r%d" % self.counter
        body = {"requestId": request_id, "kind": stream["kind"], "urgency": stream["urgency"],
                "idempotent": stream["idempotent"], "wait": stream["wait"],
                "accelerators": stream.get("accelerators", 0),
                "adjacency": stream.get("adjacency", "any"),
                "declaredRunTimeMs": stream["runMs"],
                "payload": json.dumps({"runMs": stream["runMs"], "ticket": request_id})}
        started = time.monotonic()
        answer = self.await_final_answer(stream, body, started)
        elapsed = time.monotonic() - started
        group = (stream["customer"], stream["urgency"])
        with self.lock:
            if not stream["idempotent"]:
                self.non_idempotent.add(stream["customer"] + "/" + request_id)
            self.counts[group]["sent"] += 1
            if answer is None:
                self.counts[group]["lost"] += 1
                self.lost.append(stream["customer"] + "/" + request_id)
                return
            self.counts[group][answer["status"]] += 1
            if answer["status"] == "done":
                self.times[group].append(elapsed)
                if request_id not in answer["result"]:
                    self.counts[group]["wrong"] += 1

    def await_final_answer(self, stream, body, started):
        """Returns the final answer, or None if there was none within the limit."""
        body = dict(body)
        key = self.site.keys[stream["customer"]]
        listener = "urgent" if stream["urgency"] == "urgent" else "callers"
        submitted = False
        while time.monotonic() - started < REQUEST_LIMIT_S:
            # Like the platform's load balancer, send each call to any live instance.
            port = self.site.instances[random.choice(self.site.live_instances())][listener]
            if not submitted or stream["wait"]:
                status, answer = call(port, "POST", "/v1/jobs", body, key)
            else:
                path = "/v1/jobs/%s?waitMs=5000" % body["requestId"]
                status, answer = call(port, "GET", path, None, key)
            # The request may have been accepted although there was no answer, so all further calls
            # are marked as retries.
            body["retry"] = True
            if status is None or not isinstance(answer, dict) or "status" not in answer:
                time.sleep(0.1)
                continue
            if answer["status"] == "not-run" and submitted and "taken in" in answer["reason"]:
                time.sleep(0.2)
                continue
            if answer["status"] in FINAL:
                return answer
            if answer["status"] in ("accepted", "running"):
                submitted = True
            else:
                time.sleep(0.1)
        return None

    def table(self):
        columns = ["sent", "done", "not-run", "cancelled", "failed", "outcome-unknown", "lost",
                   "wrong"]
        lines = ["%-12s %-11s" % ("customer", "class") + "".join("%9s" % c[:8] for c in columns)
                 + "%9s%9s" % ("p50 ms", "p99 ms")]
        for group in sorted(self.counts):
            times = sorted(self.times[group])
            quantile = lambda share: times[min(int(len(times) * share), len(times) - 1)] * 1000
            figures = "".join("%9d" % self.counts[group][column] for column in columns)
            shown = "%9.0f%9.0f" % (quantile(0.5), quantile(0.99)) if times else "%9s%9s" % ("-", "-")
            lines.append("%-12s %-11s" % group + figures + shown)
        return "\n".join(lines)


def duplicate_runs(site, non_idempotent):
    """Returns the non-idempotent jobs that were started more than once by the workers' run logs."""
    starts = collections.Counter()
    for line in (site.folder / "runs.jsonl").read_text().splitlines():
        run = json.loads(line)
        if run["event"] == "started":
            starts[run["job"]] += 1
    return sorted(job for job in non_idempotent if starts[job] > 1)


def inject_faults(site, load, quick):
    """Injects the faults of the demo one after the other while the load runs."""
    scenario = site.scenario
    time.sleep(3)
    print("  the overload phase starts", flush=True)
    load.overload.set()
    time.sleep(4)
    if quick:
        site.change_configuration({"switchPreset": scenario["secondPreset"]})
        time.sleep(3)
        load.overload.clear()
        return
    print("  the store is down for 20 s; an operator switches the preset meanwhile", flush=True)
    site.set_faults(down=True)
    switched = []
    switch = threading.Thread(target=lambda: switched.append(
        site.change_configuration({"switchPreset": scenario["secondPreset"]}, via="entry-1")))
    switch.start()
    time.sleep(20)
    site.set_faults(down=False)
    switch.join()
    print("  preset %s is recorded as revision %d" % (scenario["secondPreset"], switched[0]),
          flush=True)
    load.overload.clear()
    time.sleep(2)
    print("  entry-0 drains", flush=True)
    site.processes["entry-0"].send_signal(signal.SIGTERM)
    code = site.processes["entry-0"].wait(60)
    print("  entry-0 ended with status %d" % code, flush=True)
    site.start_instance("entry-0", scenario["dataCenters"][0])
    time.sleep(5)
    print("  entry-2 is killed", flush=True)
    site.processes["entry-2"].kill()
    time.sleep(8)
    site.start_instance("entry-2", scenario["dataCenters"][1])
    time.sleep(4)


def run(arguments):
    scenario = json.loads((pathlib.Path(arguments.scenario) / "scenario.json").read_text())
    folder = pathlib.Path(arguments.keep or tempfile.mkdtemp(prefix="hibiscus-demo-"))
    folder.mkdir(parents=True, exist_ok=True)
    site = Site(scenario, pathlib.Path(arguments.build).resolve(), folder)
    print("scenario %s, logs in %s" % (scenario["name"], folder), flush=True)
    try:
        site.start()
        time.sleep(2.5)
        revision = site.configure()
        print("  configured, revision %d" % revision, flush=True)
        site.wait_ready()
        time.sleep(1)
        load = Load(site)
        load.start()
        inject_faults(site, load, arguments.quick)
        load.finish()
        duplicates = duplicate_runs(site, load.non_idempotent)
        print(load.table())
        print("duplicate runs %d, lost %d" % (len(duplicates), len(load.lost)), duplicates[:5],
              load.lost[:5], flush=True)
        wrong = sum(row["wrong"] for row in load.counts.values())
        return 0 if not duplicates and not load.lost and not wrong else 1
    finally:
        site.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--scenario", required=True, help="folder with a scenario.json")
    parser.add_argument("--build", default="build", help="build folder")
    parser.add_argument("--keep", help="folder for logs and settings")
    parser.add_argument("--quick", action="store_true", help="no faults, a few seconds only")
    random.seed(1)
    sys.exit(run(parser.parse_args()))


if __name__ == "__main__":
    main()
