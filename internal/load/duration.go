package load

import "time"

// Duration is a time.Duration that is written as a string such as "2s".
type Duration time.Duration

// UnmarshalText parses the string.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText returns the string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration as in "2s".
func (d Duration) String() string { return time.Duration(d).String() }

// D returns the time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
