"""Starts the processes of a policy benchmark: gateways, engines and plain services."""

import json
import os
import subprocess
import tempfile
import threading
import time
import urllib.request

FROZEN_REPORT_LAG_MS = 3600000
START_TIMEOUT_S = 20


class Process:
    """A child process that prints "listening ADDRESS:PORT" once it is ready."""

    def __init__(self, arguments, log):
        self.child = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=log, text=True
        )
        self.address = None

    def wait_until_listening(self):
        line = self.child.stdout.readline()
        if "listening" not in line:
            raise RuntimeError("a process did not start: %r" % line)
        self.address = [word for word in line.split() if ":" in word][0]

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def stop(self):
        self.kill()
        self.child.stdout.close()


class Fleet:
    """The targets of one cluster of clusters.json and the gateways in front of them."""

    def __init__(self, binaries, cluster, frozen_reports=False):
        self.binaries = binaries
        self.cluster = cluster
        self.log = tempfile.TemporaryFile()
        self.targets = {}
        self.gateways = []
        self.frozen_reports = frozen_reports
        self.work_directory = tempfile.TemporaryDirectory()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        for name, pool in self.cluster["pools"].items():
            self.targets[name] = [
                Process(self.target_arguments(pool), self.log)
                for _ in range(pool["targets"])
            ]
        for process in self.all_targets():
            process.wait_until_listening()
        path = os.path.join(self.work_directory.name, "configuration.json")
        with open(path, "w") as file:
            json.dump(self.document(), file)
        domains = self.cluster["failure_domains"]
        for number in range(self.cluster["gateways"]):
            arguments = [
                os.path.join(self.binaries, "medlar-gateway"),
                "--listen=127.0.0.1:0",
                "--host_id=gateway-%d" % number,
                "--failure_domain=%s" % domains[number % len(domains)],
                "--config_file=" + path,
                "--gateways=%d" % self.cluster["gateways"],
                "--seed=%d" % (number + 1),
            ]
            self.gateways.append(Process(arguments, self.log))
        for process in self.gateways:
            process.wait_until_listening()
        self.wait_until_ready()

    def stop(self):
        for process in self.gateways + self.all_targets():
            process.stop()
        self.work_directory.cleanup()
        self.log.close()

    def target_arguments(self, pool):
        lag = FROZEN_REPORT_LAG_MS if self.frozen_reports else pool["report_lag_ms"]
        arguments = [os.path.join(self.binaries, pool["program"])]
        arguments += ["--listen=127.0.0.1:0", "--report_lag_ms=%d" % lag]
        return arguments + ["--%s=%s" % item for item in pool["flags"].items()]

    def document(self):
        domains = self.cluster["failure_domains"]
        pools = []
        for name, pool in self.cluster["pools"].items():
            targets = []
            for number, process in enumerate(self.targets[name]):
                address, port = process.address.rsplit(":", 1)
                targets.append(
                    {
                        "name": "%s-%d" % (name, number),
                        "address": address,
                        "port": int(port),
                        "failure_domain": domains[number % len(domains)],
                    }
                )
            pools.append(
                {
                    "name": name,
                    "targets": targets,
                    "reports_load": pool["reports_load"],
                    "model": pool.get("model", ""),
                }
            )
        return {
            "pools": pools,
            "pipelines": self.cluster["pipelines"],
            "organisations": self.cluster["organisations"],
        }

    def all_targets(self):
        return [process for pool in self.targets.values() for process in pool]

    def wait_until_ready(self):
        until = time.monotonic() + START_TIMEOUT_S
        for process in self.gateways:
            while not self.is_ready(process):
                if time.monotonic() > until:
                    raise RuntimeError("a gateway did not become ready in time")
                time.sleep(0.02)

    @staticmethod
    def is_ready(process):
        try:
            url = "http://%s/readyz" % process.address
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def set_switches(self, process, switches):
        request = urllib.request.Request(
            "http://%s/test/switches" % process.address,
            json.dumps(switches).encode(),
            {"Content-Type": "application/json"},
        )
        urllib.request.urlopen(request, timeout=5).close()

    def faulted_targets(self, fault):
        pool = self.targets.get(fault["pool"], [])
        return [pool[index] for index in fault["places"] if index < len(pool)]

    def begin_fault(self, fault):
        kind = fault["kind"]
        if kind == "kill_gateway":
            for index in fault["places"]:
                self.gateways[index].kill()
        for process in self.faulted_targets(fault):
            if kind == "straggle":
                self.set_switches(process, {"straggle": fault["factor"]})
            elif kind == "fail":
                self.set_switches(process, {"fail": 500})

    def end_fault(self, fault):
        for process in self.faulted_targets(fault):
            self.set_switches(process, {})

    def schedule_faults(self, faults):
        """Starts timers that begin and end the faults of a trace, relative to now."""
        timers = []
        for fault in faults:
            timers.append(
                threading.Timer(fault["at_ms"] / 1000, self.begin_fault, [fault])
            )
            if fault["until_ms"] > 0:
                timers.append(
                    threading.Timer(fault["until_ms"] / 1000, self.end_fault, [fault])
                )
        for timer in timers:
            timer.daemon = True
            timer.start()
        return timers
