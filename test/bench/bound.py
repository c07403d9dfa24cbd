"""Upper bound of the requests that any policy can answer in time, given a trace.

docs/POLICIES.md derives it. The bound holds for each pool separately: requests that
must be processed within an interval cannot need more slot time than the pool has in it.
"""

GRID_MS = 50


def stage_work_ms(request, pool):
    """Returns the minimum slot time of a request in a pool, in ms."""
    flags = pool["flags"]
    if pool["program"] == "engine":
        batch = 1 + flags["batch_slowdown"] * (flags["slots"] - 1)
        return request["max_tokens"] * flags["token_us"] * batch / 1000
    size = (
        request["input_bytes"] + request.get("prefix_bytes", 0) if pool["first"] else 0
    )
    return (flags["fixed_us"] + flags["per_byte_us"] * size) / 1000


def min_time_ms(request, pool):
    """Returns the minimum duration of a stage on an idle target, in ms."""
    if pool["program"] == "engine":
        return request["max_tokens"] * pool["flags"]["token_us"] / 1000
    return stage_work_ms(request, pool)


def capacity_ms(pool, name, faults, begin, end):
    """Returns the slot time of a pool in an interval in ms, less that lost to faults."""
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
    """Returns how many jobs exceed a capacity when the smallest are done first."""
    used = 0
    for count, work in enumerate(sorted(jobs)):
        used += work
        if used > capacity:
            return len(jobs) - count
    return 0


def pool_excess(spans, capacity_between):
    """Returns the minimum number of requests that miss their deadline due to a pool.

    Maximises the sum of the excess over disjoint intervals.
    """
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
    """Returns the maximum number of requests that can be answered in time."""
    order = list(pools)
    min_missed = 0
    for position, name in enumerate(order):
        spans = []
        for request in requests:
            before = sum(min_time_ms(request, pools[p]) for p in order[:position])
            after = sum(min_time_ms(request, pools[p]) for p in order[position + 1 :])
            at = request["at_ms"] + before
            due = request["at_ms"] + request["deadline_ms"] - after
            spans.append((at, due, stage_work_ms(request, pools[name])))
        min_missed = max(
            min_missed,
            pool_excess(
                spans,
                lambda a, b, name=name: capacity_ms(pools[name], name, faults, a, b),
            ),
        )
    return len(requests) - min_missed
