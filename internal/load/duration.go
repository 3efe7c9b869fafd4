package load

import "time"

// Duration is a time.Duration that is encoded as a string such as "2s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats the duration as in "2s".
func (d Duration) String() string { return time.Duration(d).String() }

// D converts to time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
