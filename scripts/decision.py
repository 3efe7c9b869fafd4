"""Reports the decision latency: the time between the events "queued" and "start" of a request."""
import json
import sys

# Requests in this first fraction of the recorded time are ignored: the first starts
# are slower, since connections are not open yet.
WARM_UP = 0.2


def decisions(events):
    """Returns (queue time, wait) in microseconds for each started request, and the number of requests without a start."""
    queued, waits = {}, []
    for event in events:
        key = (event["process"], event.get("request"))
        at = event["time"]["wall_us"]
        if event["name"] == "queued":
            queued[key] = at
        elif event["name"] == "start" and key in queued:
            since = queued.pop(key)
            waits.append((since, at - since))
    return waits, len(queued)


with open(sys.argv[1]) as file:
    waits, open_requests = decisions(json.load(file)["events"])
if not waits:
    sys.exit("no request with both events in the timeline")
first = min(at for at, _ in waits)
last = max(at for at, _ in waits)
kept = sorted(wait for at, wait in waits if at >= first + WARM_UP * (last - first))
quantiles = ", ".join(f"p{q} {kept[min(len(kept) - 1, len(kept) * q // 100)] / 1000:.2f} ms" for q in (50, 90, 99))
print(f"decision latency of {len(kept)} requests: {quantiles}, max {kept[-1] / 1000:.2f} ms")
print(f"queued without start in the timeline: {open_requests}")
