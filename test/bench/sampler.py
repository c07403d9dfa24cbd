"""Samples the load reports of engines during a benchmark."""

import json
import threading
import time
import urllib.request

SAMPLE_INTERVAL_S = 0.05


class Sampler:
    """Collects (seconds since start, load reports of all targets) in a thread.

    The time of a sample is that of the first target's report.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self.samples = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.sample, daemon=True)

    def __enter__(self):
        self.began = time.monotonic()
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        self.thread.join()

    def sample(self):
        while not self.ended.wait(SAMPLE_INTERVAL_S):
            loads = [self.load(address) for address in self.addresses]
            at = time.monotonic() - self.began - loads[0]["age_ms"] / 1000
            self.samples.append((at, loads))

    @staticmethod
    def load(address):
        with urllib.request.urlopen("http://%s/v1/load" % address, timeout=2) as answer:
            return json.load(answer)
