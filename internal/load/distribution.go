package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Shape names a distribution of run times.
type Shape string

// Supported shapes.
const (
	ShapeFixed       Shape = "fixed"
	ShapeUniform     Shape = "uniform"     // between min and max
	ShapeExponential Shape = "exponential" // with the mean
	ShapeLogNormal   Shape = "log-normal"  // with the mean, and sigma of the logarithm
)

// Distribution describes the run times of a stream. Drawn values are clamped to
// min and max, if set.
type Distribution struct {
	Shape Shape    `toml:"shape"` // fixed when empty
	Mean  Duration `toml:"mean"`
	Min   Duration `toml:"min"`
	Max   Duration `toml:"max"`
	Sigma float64  `toml:"sigma"`
}

// Validate returns all errors, joined.
func (d Distribution) Validate() error {
	var errs []error
	switch d.Shape {
	case "", ShapeFixed, ShapeExponential, ShapeLogNormal:
		if d.Mean < 0 {
			errs = append(errs, errors.New("mean must not be negative"))
		}
	case ShapeUniform:
		if d.Max < d.Min {
			errs = append(errs, errors.New("max is below min"))
		}
	default:
		errs = append(errs, fmt.Errorf("unknown shape %q", d.Shape))
	}
	if d.Sigma < 0 {
		errs = append(errs, errors.New("sigma must not be negative"))
	}
	return errors.Join(errs...)
}

// Draw draws a run time.
func (d Distribution) Draw(rng *rand.Rand) time.Duration {
	v := d.draw(rng)
	if d.Min > 0 {
		v = max(v, d.Min.D())
	}
	if d.Max > 0 {
		v = min(v, d.Max.D())
	}
	return v
}

func (d Distribution) draw(rng *rand.Rand) time.Duration {
	mean := float64(d.Mean)
	switch d.Shape {
	case ShapeUniform:
		return d.Min.D() + time.Duration(rng.Float64()*float64(d.Max-d.Min))
	case ShapeExponential:
		return time.Duration(rng.ExpFloat64() * mean)
	case ShapeLogNormal:
		return time.Duration(mean * math.Exp(d.Sigma*rng.NormFloat64()-d.Sigma*d.Sigma/2))
	}
	return d.Mean.D()
}
