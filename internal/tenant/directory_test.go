package tenant

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
)

func entry(name string, keys ...string) Entry {
	e := Entry{Tenant: Tenant{Name: name, Weight: 2, Cap: model.Resources{CoresMilli: 1000}}}
	for _, key := range keys {
		e.Keys = append(e.Keys, DigestOf(key))
	}
	return e
}

// TestDirectory guards against keys that admit the wrong tenant, and against findings of a configuration that are not
// reported with their place.
func TestDirectory(t *testing.T) {
	negative := entry("a", "k1")
	negative.Weight, negative.Cap.MemoryMB = -1, -5
	small := entry("a", "k2")
	small.Weight, small.Cap = 1, model.Resources{CoresMilli: 2000, MemoryMB: 30}
	for name, c := range map[string]struct {
		entries []Entry
		known   map[string]string // tenant by key
		unknown []string
		places  []string
		first   Tenant
	}{
		"several keys":          {entries: []Entry{entry("a", "k1", "k2"), entry("b", "k3")}, known: map[string]string{"k1": "a", "k2": "a", "k3": "b"}, unknown: []string{"", "k", "k4"}},
		"key in two tenants":    {entries: []Entry{entry("a", "k1", "k2"), entry("b", "k2", "k3")}, known: map[string]string{"k1": "a", "k3": "b"}, unknown: []string{"k2"}, places: []string{"tenants[1].api-keys[0]"}},
		"key in three tenants":  {entries: []Entry{entry("a", "k"), entry("b", "k"), entry("c", "k")}, unknown: []string{"k"}, places: []string{"tenants[1].api-keys[0]", "tenants[2].api-keys[0]"}},
		"key again after two":   {entries: []Entry{entry("a", "k"), entry("b", "k"), entry("a", "k")}, unknown: []string{"k"}, places: []string{"tenants[1].api-keys[0]", "tenants[2].name", "tenants[2].api-keys[0]"}},
		"key twice in a tenant": {entries: []Entry{entry("a", "k", "k")}, known: map[string]string{"k": "a"}},
		"empty key":             {entries: []Entry{entry("a", "", "k")}, known: map[string]string{"k": "a"}, unknown: []string{""}, places: []string{"tenants[0].api-keys[0]"}},
		"empty name":            {entries: []Entry{entry("", "k"), entry("b", "k2")}, known: map[string]string{"k2": "b"}, unknown: []string{"k"}, places: []string{"tenants[0].name"}},
		"key of an empty name":  {entries: []Entry{entry("", "k"), entry("b", "k")}, unknown: []string{"k"}, places: []string{"tenants[0].name", "tenants[1].api-keys[0]"}},
		"repeated name": {
			entries: []Entry{entry("a", "k1"), small}, known: map[string]string{"k1": "a", "k2": "a"}, places: []string{"tenants[1].name"},
			first: Tenant{Name: "a", Weight: 1, Cap: model.Resources{CoresMilli: 1000, MemoryMB: 30}},
		},
		"negative numbers": {
			entries: []Entry{negative}, known: map[string]string{"k1": "a"}, places: []string{"tenants[0].weight", "tenants[0].cap.mem-mb"},
			first: Tenant{Name: "a", Cap: model.Resources{CoresMilli: 1000}},
		},
		"none": {unknown: []string{"", "k"}},
	} {
		d := NewDirectory(c.entries)
		for key, want := range c.known {
			if got, known := d.Lookup(DigestOf(key)); !known || got != want {
				t.Errorf("%s: key %q belongs to %q, known %t, want %q", name, key, got, known, want)
			}
		}
		for _, key := range c.unknown {
			if got, known := d.Lookup(DigestOf(key)); known {
				t.Errorf("%s: key %q belongs to %q, want none", name, key, got)
			}
		}
		if _, known := d.Lookup(Digest{}); known {
			t.Errorf("%s: a request without a key is admitted", name)
		}
		var places []string
		for _, f := range d.Findings() {
			places = append(places, f.Place)
		}
		if !slices.Equal(places, c.places) {
			t.Errorf("%s: findings at %q, want %q", name, places, c.places)
		}
		if c.first.Name != "" && d.Tenants()[0] != c.first {
			t.Errorf("%s: tenant %+v, want %+v", name, d.Tenants()[0], c.first)
		}
	}
}

// TestDirectoryByModel guards against a key that admits a caller although not exactly one tenant lists it, and against a
// key in the text of a finding.
func TestDirectoryByModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []Entry
		holders := map[string]map[string]bool{}
		for range rapid.IntRange(0, 6).Draw(t, "tenants") {
			name := rapid.SampledFrom([]string{"", "ant", "bee", "cow"}).Draw(t, "name")
			var keys []string
			for range rapid.IntRange(0, 4).Draw(t, "keys") {
				key := rapid.SampledFrom([]string{"", "secret-1", "secret-2", "secret-3", "secret-4"}).Draw(t, "key")
				keys = append(keys, key)
				if holders[key] == nil {
					holders[key] = map[string]bool{}
				}
				holders[key][name] = true
			}
			entries = append(entries, entry(name, keys...))
		}
		d := NewDirectory(entries)
		for key, names := range holders {
			got, known := d.Lookup(DigestOf(key))
			want := len(names) == 1 && !names[""] && key != ""
			if known != want || known && !names[got] {
				t.Fatalf("key %q of %v: known %t as %q", key, names, known, got)
			}
		}
		if text := fmt.Sprint(d.Findings()); strings.Contains(text, "secret") {
			t.Fatalf("a key is printed: %s", text)
		}
	})
}
