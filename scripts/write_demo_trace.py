#!/usr/bin/env python3
"""Writes the trace that scripts/demo.sh sends: requests of one user's pipelines.

Usage: scripts/write_demo_trace.py patrimonia|archive [REQUESTS [SEED]]
"""

import json
import random
import sys

# pipeline, organisations, idempotent, bytes of input, tokens, deadline
USERS = {
    "patrimonia": [
        ("depreciation-reconcile", ["caxias-accounting", "joinville-accounting"],
         False, (20000, 60000), (32, 96), 10000),
        ("tag-transfer", ["caxias-plant", "joinville-plant"],
         False, (500, 4000), (0, 0), 5000),
        ("impairment-note", ["caxias-accounting", "group-audit"],
         True, (8000, 40000), (64, 160), 10000),
    ],
    "archive": [
        ("clear-mix", ["upload-desk-team", "rights-office"],
         False, (10000, 40000), (32, 96), 10000),
        ("liner-summary", ["librarians", "rights-office"],
         True, (10000, 30000), (64, 160), 10000),
        ("tag-genres", ["public-listeners", "weekend-events"],
         False, (1000, 6000), (0, 0), 5000),
    ],
}
UNREPEATABLE_STAGES = ["post-entry", "post-transfer", "publish", "write-tags"]
MEAN_GAP_MS = 40
PREFIXES_EACH = 8
PREFIX_BYTES = 4000


def make_request(user, number, at_ms, draw):
    name, organisations, idempotent, input_bytes, tokens, deadline_ms = draw.choice(USERS[user])
    return {
        "at_ms": at_ms,
        "deadline_ms": deadline_ms,
        "id": f"demo-{user}-{number}",
        "idempotent": idempotent,
        "input_bytes": draw.randint(*input_bytes),
        "max_tokens": draw.randint(*tokens),
        "organisation": draw.choice(organisations),
        "pipeline": name,
        "prefix": f"{name}-{draw.randrange(PREFIXES_EACH)}",
        "prefix_bytes": PREFIX_BYTES,
        "stream": idempotent and draw.random() < 0.5,
    }


def main():
    user = sys.argv[1]
    requests = int(sys.argv[2]) if len(sys.argv) > 2 else 300
    draw = random.Random(int(sys.argv[3]) if len(sys.argv) > 3 else 1)
    header = {"expect": {}, "faults": [], "flooding": "", "seed": 1,
              "trace": f"demo_{user}", "unrepeatable_stages": UNREPEATABLE_STAGES}
    print(json.dumps(header, sort_keys=True))
    at_ms = 0
    for number in range(requests):
        at_ms += int(draw.expovariate(1 / MEAN_GAP_MS))
        print(json.dumps(make_request(user, number, at_ms, draw), sort_keys=True))


main()
