// Package settings reads the settings file of agateyard-entry and reports all errors
// in it with their positions.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Entry holds the settings of one entry process.
type Entry struct {
	Name        string // process name, for logs and the event timeline
	Zone        string // availability zone
	HTTPAddress string // ip:port for callers and operators
	RPCAddress  string // ip:port at which other entry processes reach this one
	// RPCListenAddress is the ip:port to listen on for other entry processes. It
	// differs from RPCAddress if connections pass through a proxy or NAT.
	RPCListenAddress string
	PlatformURL      string // base URL of the key-value service and the VM list
	Log              Log
	Timeline         Timeline
	Limits           Limits
	Stop             Stop
	Retention        Retention
}

// Log configures the log output.
type Log struct {
	Level  logrus.Level
	Format string // LogText or LogJSON
}

// The log formats.
const (
	LogText = "text"
	LogJSON = "json"
)

// Timeline configures the event timeline of the process.
type Timeline struct {
	Events int // maximum number of events kept
}

// Limits holds the limits of requests and queues.
type Limits struct {
	MaxBodyBytes     int64 // of one submission; a template may set a lower limit
	MaxHeaderBytes   int   // of one HTTP request
	QueueEntries     int   // maximum number of submissions in progress at this process, and of queued requests per template in its shards
	QueueBytes       int64 // maximum total size of the bodies, for each of the two
	JournalBodyBytes int   // maximum body size of an asynchronous request
}

// Stop configures the graceful shutdown.
type Stop struct {
	DrainDelay time.Duration // between reporting not ready and leaving the view
	Timeout    time.Duration // for the whole shutdown
}

// Retention configures how long records are kept.
type Retention struct {
	Record time.Duration // at-most-once record of a request
}

// Defaults returns the default values of the optional settings.
func Defaults() Entry {
	return Entry{
		Log:      Log{Level: logrus.InfoLevel, Format: LogText},
		Timeline: Timeline{Events: 65536},
		Limits: Limits{
			MaxBodyBytes:     4 << 20,
			MaxHeaderBytes:   16 << 10,
			QueueEntries:     100_000,
			QueueBytes:       256 << 20,
			JournalBodyBytes: 64 << 10,
		},
		Stop:      Stop{DrainDelay: 5 * time.Second, Timeout: 60 * time.Second},
		Retention: Retention{Record: 15 * time.Minute},
	}
}

// entryFile is the TOML representation. Pointers distinguish an absent key from a zero
// value.
type entryFile struct {
	Name        string  `toml:"name"`
	Zone        string  `toml:"zone"`
	HTTPAddress string  `toml:"http_address"`
	RPCAddress  string  `toml:"rpc_address"`
	RPCListen   *string `toml:"rpc_listen_address"`
	PlatformURL string  `toml:"platform_url"`
	Log         struct {
		Level  *string `toml:"level"`
		Format *string `toml:"format"`
	} `toml:"log"`
	Timeline struct {
		Events *int64 `toml:"events"`
	} `toml:"timeline"`
	Limits struct {
		MaxBodyBytes     *int64 `toml:"max_body_bytes"`
		MaxHeaderBytes   *int64 `toml:"max_header_bytes"`
		QueueEntries     *int64 `toml:"queue_entries"`
		QueueBytes       *int64 `toml:"queue_bytes"`
		JournalBodyBytes *int64 `toml:"journal_body_bytes"`
	} `toml:"limits"`
	Stop struct {
		DrainDelay *string `toml:"drain_delay"`
		Timeout    *string `toml:"timeout"`
	} `toml:"stop"`
	Retention struct {
		Record *string `toml:"record"`
	} `toml:"retention"`
}

// Load reads the settings file. For an invalid file it returns an error of type
// Findings that contains all errors; the returned settings must not be used then.
func Load(path string) (Entry, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, oops.In("settings").Wrapf(err, "read settings")
	}
	return Parse(path, src)
}

// Parse is like Load for a text in memory. The file name is used in findings.
func Parse(file string, src []byte) (Entry, error) {
	var raw entryFile
	c := &checker{Document: Decode(file, src, &raw)}
	e := Defaults()
	c.addresses(&e, &raw)
	c.log(&e.Log, &raw)
	c.limits(&e, &raw)
	c.durations(&e, &raw)
	return e, c.Err()
}

// checker copies values from the file to the settings and reports invalid ones.
type checker struct{ *Document }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether the name has 1 to 63 bytes of a-z, 0-9 and inner hyphens.
func ValidName(name string) bool { return namePattern.MatchString(name) }

func (c *checker) addresses(e *Entry, raw *entryFile) {
	e.Name = c.name("name", raw.Name)
	e.Zone = c.name("zone", raw.Zone)
	e.HTTPAddress = c.address("http_address", raw.HTTPAddress)
	e.RPCAddress = c.address("rpc_address", raw.RPCAddress)
	if e.HTTPAddress != "" && e.HTTPAddress == e.RPCAddress {
		c.Report("rpc_address", "must differ from http_address")
	}
	e.RPCListenAddress = e.RPCAddress
	if raw.RPCListen != nil {
		e.RPCListenAddress = c.address("rpc_listen_address", *raw.RPCListen)
		if e.HTTPAddress != "" && e.HTTPAddress == e.RPCListenAddress {
			c.Report("rpc_listen_address", "must differ from http_address")
		}
	}
	e.PlatformURL = c.url("platform_url", raw.PlatformURL)
}

// required reports an absent key, unless a syntax error may have hidden it.
func (c *checker) required(key string) bool {
	if c.Has(key) {
		return true
	}
	if c.Complete() {
		c.Report(key, "is required")
	}
	return false
}

func (c *checker) name(key, value string) string {
	if c.required(key) && !ValidName(value) {
		c.Report(key, "must be 1 to 63 characters of a-z, 0-9 and inner hyphens")
	}
	return value
}

func (c *checker) address(key, value string) string {
	if !c.required(key) {
		return value
	}
	at, err := netip.ParseAddrPort(value)
	if err != nil || at.Port() == 0 {
		c.Report(key, "must be ip:port, such as 10.0.0.1:8080")
		return value
	}
	return value
}

func (c *checker) url(key, value string) string {
	if !c.required(key) {
		return value
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.Report(key, "must be a URL with http or https and a host")
	}
	return value
}

func (c *checker) log(l *Log, raw *entryFile) {
	if v := raw.Log.Level; v != nil {
		level, err := logrus.ParseLevel(*v)
		if err != nil {
			c.Report("log.level", "must be one of debug, info, warning and error")
		}
		l.Level = level
	}
	if v := raw.Log.Format; v != nil {
		if *v != LogText && *v != LogJSON {
			c.Report("log.format", `must be "text" or "json"`)
		}
		l.Format = *v
	}
}

func (c *checker) limits(e *Entry, raw *entryFile) {
	setInt(c, "timeline.events", raw.Timeline.Events, 1, 1<<20, &e.Timeline.Events)
	l := &e.Limits
	setInt(c, "limits.max_body_bytes", raw.Limits.MaxBodyBytes, 1, 64<<20, &l.MaxBodyBytes)
	setInt(c, "limits.max_header_bytes", raw.Limits.MaxHeaderBytes, 1<<10, 1<<20, &l.MaxHeaderBytes)
	setInt(c, "limits.queue_entries", raw.Limits.QueueEntries, 1, 10_000_000, &l.QueueEntries)
	setInt(c, "limits.queue_bytes", raw.Limits.QueueBytes, 1<<10, 64<<30, &l.QueueBytes)
	// A journal segment is stored as one value, which the store limits to 1 MB.
	setInt(c, "limits.journal_body_bytes", raw.Limits.JournalBodyBytes, 1, 256<<10, &l.JournalBodyBytes)
}

// setInt sets the target if the file has a value in the range, and reports a value that
// is out of range.
func setInt[T int | int64](c *checker, key string, value *int64, low, high int64, target *T) {
	if value == nil {
		return
	}
	if *value < low || *value > high {
		c.Report(key, "must be %d to %d", low, high)
		return
	}
	*target = T(*value)
}

func (c *checker) durations(e *Entry, raw *entryFile) {
	c.duration("stop.drain_delay", raw.Stop.DrainDelay, 0, 10*time.Minute, &e.Stop.DrainDelay)
	c.duration("stop.timeout", raw.Stop.Timeout, time.Second, time.Hour, &e.Stop.Timeout)
	if e.Stop.Timeout <= e.Stop.DrainDelay {
		c.Report("stop.timeout", "must be longer than stop.drain_delay (%v)", e.Stop.DrainDelay)
	}
	c.duration("retention.record", raw.Retention.Record, time.Minute, 24*time.Hour, &e.Retention.Record)
}

func (c *checker) duration(key string, value *string, low, high time.Duration, target *time.Duration) {
	if value == nil {
		return
	}
	if d, ok := c.Duration(key, *value, low, high); ok {
		*target = d
	}
}

// Duration parses a duration such as "1m30s" and reports one that is malformed
// or out of the range.
func (d *Document) Duration(key, value string, low, high time.Duration) (time.Duration, bool) {
	t, err := time.ParseDuration(value)
	if err != nil {
		d.Report(key, `must be a duration such as "2s" or "1m30s"`)
		return 0, false
	}
	if t < low || t > high {
		d.Report(key, "must be %v to %v", low, high)
		return 0, false
	}
	return t, true
}
