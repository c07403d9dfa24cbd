"""Compares the policies with the baseline on the same traces."""

import argparse
import copy
import json
import os
import subprocess
import sys
import tempfile

from bound import bound
from fleet import Fleet

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))

TUNING_TRACES = [
    "normal_day",
    "month_end_burst",
    "weekend_rush",
    "flooding",
    "straggling_stage",
    "failing_stage",
    "gateway_killed",
    "reports_frozen",
]
HELD_OUT_TRACES = ["gateway_killed_burst", "reports_frozen_burst"]

POLICIES = {
    "policy": {},
    "baseline": {"routing": "round_robin", "admission": "none", "retries": "blind"},
}


def load_cluster(pipeline, settings):
    with open(os.path.join(HERE, "clusters.json")) as file:
        cluster = copy.deepcopy(json.load(file)[pipeline])
    for each in cluster["pipelines"]:
        each.update(settings)
    return cluster


def read_trace(path):
    with open(path) as file:
        lines = [json.loads(line) for line in file]
    return lines[0], lines[1:]


def write_trace(binaries, kind, seed, path):
    with open(path, "w") as file:
        subprocess.run(
            [
                os.path.join(binaries, "medlar-replay"),
                "--write_trace=" + kind,
                "--seed=%d" % seed,
            ],
            stdout=file,
            check=True,
        )


def replay(binaries, fleet, path, faults):
    """Replays one trace; returns the report and the closing line of medlar-replay."""
    addresses = ",".join(process.address for process in fleet.gateways)
    executions = ",".join(process.address for process in fleet.all_targets())
    arguments = [
        os.path.join(binaries, "medlar-replay"),
        "--trace=" + path,
        "--gateways=" + addresses,
        "--executions=" + executions,
        "--idempotent_only",
        "--output=json",
    ]
    child = subprocess.Popen(
        arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    child.stderr.readline()
    timers = fleet.schedule_faults(faults)
    output, errors = child.communicate()
    for timer in timers:
        timer.cancel()
    if child.returncode == 2:
        raise RuntimeError(errors)
    lines = output.strip().split("\n")
    return json.loads(lines[0]), lines[-1]


def run_once(binaries, kind, seed, policy, settings):
    with tempfile.TemporaryDirectory() as directory:
        path = os.path.join(directory, "trace.jsonl")
        write_trace(binaries, kind, seed, path)
        header, requests = read_trace(path)
        cluster = load_cluster(requests[0]["pipeline"], settings)
        frozen = any(f["kind"] == "freeze_reports" for f in header["faults"])
        with Fleet(binaries, cluster, frozen) as fleet:
            report, closing = replay(binaries, fleet, path, header["faults"])
        max_in_time = bound(requests, cluster["pools"], header["faults"])
    return summarise(kind, seed, policy, header, requests, report, closing, max_in_time)


def summarise(kind, seed, policy, header, requests, report, closing, max_in_time):
    organisations = report["organisations"]
    others = [
        counts for name, counts in organisations.items() if name != header["flooding"]
    ]
    generate = next(
        (s for s in report["stages"].values() if s["tokens"] > 0),
        {"wasted_share": 0, "cached_tokens": 0, "calls": 0},
    )
    prefix_tokens = requests[0].get("prefix_bytes", 0) // 4
    total_prefix_tokens = max(1, generate["calls"] * prefix_tokens)
    calls = sum(s["calls"] for s in report["stages"].values())
    retries = sum(s["retries"] for s in report["stages"].values())
    in_time = max(1, report["all"]["in_time"])
    return {
        "trace": kind,
        "seed": seed,
        "policy": policy,
        "sent": report["all"]["sent"],
        "in_time": report["all"]["in_time"],
        "bound": max_in_time,
        "goodput": report["all"]["in_time"] / max(1, max_in_time),
        "attainment": report["all"]["attainment"],
        "refused": report["all"]["refused"],
        "late": report["all"]["answered"] - report["all"]["in_time"],
        "failed": report["all"]["failed"],
        "lost": report["all"]["lost"],
        "doubled": report["doubled"],
        "wrong": report["all"]["wrong"],
        "others": sum(c["in_time"] for c in others) / sum(c["sent"] for c in others),
        "worst": min(c["attainment"] for c in organisations.values()),
        "best": max(c["attainment"] for c in organisations.values()),
        "wasted": generate["wasted_share"],
        "retry_load": retries / max(1, calls - retries),
        "prefix_hits": generate["cached_tokens"] / total_prefix_tokens,
        "cost": {n: s["busy_ms"] / in_time for n, s in report["stages"].items()},
        "p95_ms": report["answer_time"]["p95_ms"],
        "first_token_p95_ms": report["first_token"]["p95_ms"],
        "reasons": report["reasons"],
        "closing": closing,
    }


HEADINGS = (
    "trace                 seed policy    sent  in time  bound goodput attain "
    "others worst/best  wasted retries prefix  p95 ms  cost by stage, ms an answer"
)


def print_row(row):
    cost = " ".join("%s %.0f" % item for item in sorted(row["cost"].items()))
    print(
        "%-21s %4d %-9s %4d %8d %6d %6.1f%% %5.1f%% %5.1f%% %5.2f/%4.2f %6.1f%% %6.1f%% "
        "%5.1f%% %7.0f  %s"
        % (
            row["trace"],
            row["seed"],
            row["policy"],
            row["sent"],
            row["in_time"],
            row["bound"],
            100 * row["goodput"],
            100 * row["attainment"],
            100 * row["others"],
            row["worst"],
            row["best"],
            100 * row["wasted"],
            100 * row["retry_load"],
            100 * row["prefix_hits"],
            row["p95_ms"],
            cost,
        ),
        flush=True,
    )


def mean(rows, name):
    return sum(row[name] for row in rows) / len(rows)


def select(rows, policy, *traces):
    return [r for r in rows if r["policy"] == policy and r["trace"] in traces]


def print_target(text, value, met):
    print("%-6s %s: %s" % ("met" if met else "NOT", text, value))


def print_targets(rows):
    ours = [r for r in rows if r["policy"] == "policy"]
    base = [r for r in rows if r["policy"] == "baseline"]
    print()
    for trace in dict.fromkeys(r["trace"] for r in ours):
        own = select(rows, "policy", trace)
        plain = select(rows, "baseline", trace)
        if plain:
            ratio = mean(own, "in_time") / max(1, mean(plain, "in_time"))
            print("%-21s goodput over the baseline: %.2f" % (trace, ratio))
    overload = [r for r in ours if r["attainment"] < 1 and r["bound"] < r["sent"]]
    if overload:
        min_goodput = min(r["goodput"] for r in overload)
        print_target(
            "goodput at least 95% of the bound under overload",
            "mean %.1f%%, least %.1f%%"
            % (100 * mean(overload, "goodput"), 100 * min_goodput),
            min_goodput >= 0.95,
        )
    calm = select(rows, "policy", "normal_day")
    flood = select(rows, "policy", "flooding")
    if calm and flood:
        lost = 100 * (mean(calm, "others") - mean(flood, "others"))
        print_target(
            "a flooding organisation costs the others at most 2 points",
            "%.1f points" % lost,
            lost <= 2,
        )
    max_wasted = max(r["wasted"] for r in ours)
    print_target(
        "wasted generation work under 3%",
        "most %.1f%%" % (100 * max_wasted),
        max_wasted < 0.03,
    )
    max_retry_load = max(r["retry_load"] for r in ours)
    print_target(
        "retries add at most 10% load",
        "most %.1f%%" % (100 * max_retry_load),
        max_retry_load <= 0.1,
    )
    if base:
        own_hits, base_hits = mean(ours, "prefix_hits"), mean(base, "prefix_hits")
        print_target(
            "the prefix hit rate is at least double that of round robin",
            "%.1f%% against %.1f%%" % (100 * own_hits, 100 * base_hits),
            own_hits >= 2 * base_hits,
        )
    violations = sum(r["lost"] + r["doubled"] + r["wrong"] for r in rows)
    print_target("nothing lost, doubled or wrong", "%d" % violations, violations == 0)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default=os.path.join(ROOT, "build"))
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--traces", default="")
    parser.add_argument("--policies", default="policy,baseline")
    parser.add_argument("--held_out", action="store_true", help="with the held out traces")
    parser.add_argument("--set", default="{}", help="pipeline settings as JSON")
    parser.add_argument("--json", action="store_true", help="rows as JSON lines")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    traces = arguments.traces.split(",") if arguments.traces else list(TUNING_TRACES)
    if arguments.held_out:
        traces += HELD_OUT_TRACES
    rows = []
    print(HEADINGS)
    for trace in traces:
        for seed in (int(each) for each in arguments.seeds.split(",")):
            for policy in arguments.policies.split(","):
                settings = dict(POLICIES[policy])
                settings.update(json.loads(arguments.set))
                row = run_once(arguments.binaries, trace, seed, policy, settings)
                rows.append(row)
                print_row(row)
                if arguments.json:
                    print(json.dumps(row), flush=True)
    print_targets(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
