"""The most requests that any policy could answer in time, knowing the whole trace.

docs/POLICIES.md works it out. The bound holds for each pool by itself: requests whose
work must fall into a span of time cannot need more than the pool's slots give there.
"""

GRID_MS = 50


def stage_work_ms(request, pool):
    """Least slot time that one request needs in a pool."""
    flags = pool["flags"]
    if pool["program"] == "engine":
        batch = 1 + flags["batch_slowdown"] * (flags["slots"] - 1)
        return request["max_tokens"] * flags["token_us"] * batch / 1000
    size = (
        request["input_bytes"] + request.get("prefix_bytes", 0) if pool["first"] else 0
    )
    return (flags["fixed_us"] + flags["per_byte_us"] * size) / 1000


def least_time_ms(request, pool):
    """Least time that a stage takes when nothing else runs."""
    if pool["program"] == "engine":
        return request["max_tokens"] * pool["flags"]["token_us"] / 1000
    return stage_work_ms(request, pool)


def capacity_ms(pool, name, faults, begin, end):
    """Slot time that a pool has between two times, faults taken off."""
    slots = pool["flags"]["slots"]
    total = slots * pool["targets"] * (end - begin)
    for fault in faults:
        if fault["pool"] != name:
            continue
        overlap = min(end, fault["until_ms"]) - max(begin, fault["at_ms"])
        if overlap <= 0:
            continue
        lost = 1 if fault["kind"] == "fail" else 1 - 1 / fault["factor"]
        total -= overlap * slots * lost * len(fault["places"])
    return total


def excess(jobs, capacity):
    """How many of the jobs cannot all be done in a capacity, the smallest done first."""
    used = 0
    for count, work in enumerate(sorted(jobs)):
        used += work
        if used > capacity:
            return len(jobs) - count
    return 0


def pool_excess(spans, capacity_between):
    """Least number of requests that one pool must leave, over disjoint spans."""
    last = max(due for _, due, _ in spans)
    points = int(last // GRID_MS) + 2
    best = [0] * (points + 1)
    for end in range(1, points + 1):
        best[end] = best[end - 1]
        for begin in range(end):
            first, until = begin * GRID_MS, end * GRID_MS
            jobs = [work for at, due, work in spans if at >= first and due <= until]
            capacity = capacity_between(first, until)
            if sum(jobs) <= capacity:
                continue
            best[end] = max(best[end], best[begin] + excess(jobs, capacity))
    return best[points]


def bound(requests, pools, faults):
    """Most requests that can be answered in time."""
    order = list(pools)
    must_leave = 0
    for place, name in enumerate(order):
        spans = []
        for request in requests:
            before = sum(least_time_ms(request, pools[p]) for p in order[:place])
            after = sum(least_time_ms(request, pools[p]) for p in order[place + 1 :])
            at = request["at_ms"] + before
            due = request["at_ms"] + request["deadline_ms"] - after
            spans.append((at, due, stage_work_ms(request, pools[name])))
        must_leave = max(
            must_leave,
            pool_excess(
                spans,
                lambda a, b, name=name: capacity_ms(pools[name], name, faults, a, b),
            ),
        )
    return len(requests) - must_leave
