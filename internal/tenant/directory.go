package tenant

import (
	"fmt"

	"github.com/agateyard/agateyard/internal/model"
)

// Entry is one tenant as listed in a configuration.
type Entry struct {
	Tenant
	Keys []Digest
}

// Directory maps API keys to the tenants of one configuration. It holds digests only, and looks keys up by digest, so that
// the time of a look-up reveals nothing about a key. A nil Directory has no tenants. It never changes.
type Directory struct {
	tenants  []Tenant
	names    map[Digest]string
	findings []Finding
}

// NewDirectory returns the directory of the listed tenants. Entries with findings are applied as far as they are
// unambiguous:
//   - An entry without a name is ignored, since jobs without a tenant are those of public routes.
//   - A key that two tenants list is unknown, and an empty key is ignored.
//   - Entries of the same name are one tenant with all their keys, the lowest weight and the lowest caps.
//   - A negative weight counts as 0 and a negative cap as none.
func NewDirectory(entries []Entry) *Directory {
	b := directoryBuilder{
		directory: &Directory{names: map[Digest]string{}}, index: map[string]int{}, places: map[Digest]string{}, ambiguous: map[Digest]bool{},
	}
	for i, e := range entries {
		b.add(fmt.Sprintf("tenants[%d]", i), e)
	}
	return b.directory
}

// Lookup returns the name of the tenant to which a key belongs.
func (d *Directory) Lookup(key Digest) (name string, known bool) {
	if d == nil {
		return "", false
	}
	name, known = d.names[key]
	return name, known
}

// Tenants returns the tenants, in the order of the configuration. The caller must not change them.
func (d *Directory) Tenants() []Tenant {
	if d == nil {
		return nil
	}
	return d.tenants
}

// Findings returns the problems of the configuration.
func (d *Directory) Findings() []Finding {
	if d == nil {
		return nil
	}
	return d.findings
}

type directoryBuilder struct {
	directory *Directory
	index     map[string]int    // of a tenant, by name
	places    map[Digest]string // where a key was listed first
	ambiguous map[Digest]bool
}

func (b *directoryBuilder) add(place string, e Entry) {
	b.normalize(place, &e.Tenant)
	if e.Name == "" {
		b.find(place+".name", "empty, the entry is ignored")
		b.addKeys(place, e) // so that a key which another tenant lists too is reported and unknown
		return
	}
	if i, repeated := b.index[e.Name]; repeated {
		b.find(place+".name", fmt.Sprintf("%q is listed twice, the lowest weight and caps apply", e.Name))
		b.directory.tenants[i] = lowest(b.directory.tenants[i], e.Tenant)
	} else {
		b.index[e.Name] = len(b.directory.tenants)
		b.directory.tenants = append(b.directory.tenants, e.Tenant)
	}
	b.addKeys(place, e)
}

func (b *directoryBuilder) addKeys(place string, e Entry) {
	for i, key := range e.Keys {
		keyPlace := fmt.Sprintf("%s.api-keys[%d]", place, i)
		if key == emptyKey {
			b.find(keyPlace, "empty, ignored")
			continue
		}
		first, listed := b.places[key]
		if listed && b.directory.names[key] == e.Name && !b.ambiguous[key] {
			continue // listed twice by the same tenant
		}
		if listed {
			b.find(keyPlace, fmt.Sprintf("key %s is also at %s, it is unknown", key, first))
			b.ambiguous[key] = true
			delete(b.directory.names, key)
			continue
		}
		b.places[key] = keyPlace
		if e.Name != "" {
			b.directory.names[key] = e.Name
		}
	}
}

// normalize replaces values that make no sense.
func (b *directoryBuilder) normalize(place string, t *Tenant) {
	if t.Weight < 0 {
		b.find(place+".weight", "negative, 0 applies")
		t.Weight = 0
	}
	for _, c := range []struct {
		name  string
		value *int64
	}{{"cpu", &t.Cap.CoresMilli}, {"mem-mb", &t.Cap.MemoryMB}, {"gpu", &t.Cap.Accelerators}} {
		if *c.value < 0 {
			b.find(place+".cap."+c.name, "negative, no limit applies")
			*c.value = 0
		}
	}
}

func (b *directoryBuilder) find(place, problem string) {
	b.directory.findings = append(b.directory.findings, Finding{Place: place, Problem: problem})
}

// lowest returns the tenant with the lower weight and caps of two entries.
func lowest(a, b Tenant) Tenant {
	a.Weight = min(a.Weight, b.Weight)
	a.Cap = model.Resources{
		CoresMilli:   lowerCap(a.Cap.CoresMilli, b.Cap.CoresMilli),
		MemoryMB:     lowerCap(a.Cap.MemoryMB, b.Cap.MemoryMB),
		Accelerators: lowerCap(a.Cap.Accelerators, b.Cap.Accelerators),
	}
	return a
}

// lowerCap returns the lower of two caps, where 0 means no limit.
func lowerCap(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
