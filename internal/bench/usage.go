package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc, which Linux fixes at 100 a second.
const clockTick = 10 * time.Millisecond

// usage is what a process has used so far.
type usage struct {
	cpu       time.Duration
	rss       int64 // bytes, present
	peak      int64 // bytes, highest
	read      int64 // bytes by read calls, sockets included
	written   int64
	readCalls int64
	writes    int64 // write calls; about one for each message
}

func readUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The command name in parentheses may hold spaces; the fields after it do not.
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
	u.rss, u.peak = status["VmRSS"]<<10, status["VmHWM"]<<10
	u.read, u.written = io["rchar"], io["wchar"]
	u.readCalls, u.writes = io["syscr"], io["syscw"]
	return u, nil
}

// readFields reads the integers of a file with lines "name: value".
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
