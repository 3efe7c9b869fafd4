#!/usr/bin/env python3
"""Measures CPU time and memory of processes, and the calls to the stand-in platform.

usage.py sample PLATFORM_URL PID...
usage.py report PLATFORM_URL SAMPLE_FILE LABEL PID...
"""

import json
import os
import sys
import time
import urllib.request

TICK = os.sysconf("SC_CLK_TCK")


def sample(platform, pids):
    with urllib.request.urlopen(platform + "/admin/counters") as r:
        counters = json.load(r)
    ticks = {}
    for pid in pids:
        fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
        ticks[pid] = int(fields[11]) + int(fields[12])
    return {"at": time.time(), "counters": counters, "ticks": ticks}


def rss_mb(pid):
    for line in open(f"/proc/{pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0


def report(platform, path, label, pids):
    before, after = json.load(open(path)), sample(platform, pids)
    seconds = after["at"] - before["at"]
    core = [(after["ticks"][p] - before["ticks"][p]) / TICK / seconds * 100 for p in pids]
    rss = [rss_mb(p) for p in pids]
    a, b = after["counters"], before["counters"]
    print(f"{label} ({seconds:.1f} s, {len(pids)} entry processes):")
    print(f"  processor: mean {sum(core) / len(core):.1f}%, most {max(core):.1f}% of a core; RSS: mean {sum(rss) / len(rss):.0f}, most {max(rss):.0f} MB")
    print(
        f"  store: {(a['writes'] - b['writes']) / seconds:.1f} writes/s, {(a['reads'] - b['reads']) / seconds:.1f} reads/s, "
        f"{a['pending_watches']} pending watches, {a['throttled'] - b['throttled']} throttled"
    )


if sys.argv[1] == "sample":
    json.dump(sample(sys.argv[2], sys.argv[3:]), sys.stdout)
else:
    report(sys.argv[2], sys.argv[3], sys.argv[4], sys.argv[5:])
