package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc. Linux fixes it at 100 ticks per second.
const clockTick = 10 * time.Millisecond

// usage holds the resource usage of a process since its start.
type usage struct {
	cpu        time.Duration
	rss        int64 // bytes, current
	peakRSS    int64 // bytes, maximum so far
	read       int64 // bytes returned by read calls, including sockets
	written    int64
	readCalls  int64
	writeCalls int64 // number of write calls; about one per message
}

func readUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The command name in parentheses may contain spaces; the later fields can't.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.cpu = time.Duration(user+system) * clockTick
	status, err := readFields(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	io, err := readFields(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.rss, u.peakRSS = status["VmRSS"]<<10, status["VmHWM"]<<10
	u.read, u.written = io["rchar"], io["wchar"]
	u.readCalls, u.writeCalls = io["syscr"], io["syscw"]
	return u, nil
}

// readFields reads the integer values of a file with lines "name: value".
func readFields(path string) (map[string]int64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := make(map[string]int64)
	for line := range strings.Lines(string(raw)) {
		name, rest, _ := strings.Cut(line, ":")
		if f := strings.Fields(rest); len(f) > 0 {
			if v, err := strconv.ParseInt(f[0], 10, 64); err == nil {
				out[name] = v
			}
		}
	}
	return out, nil
}
