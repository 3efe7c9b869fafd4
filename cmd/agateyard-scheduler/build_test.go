package main

import (
	"runtime"
	"testing"
)

// TestBuildFields guards against a line "started" that doesn't say which program was started: one that is left over from an earlier
// build shows faults that are fixed.
func TestBuildFields(t *testing.T) {
	fields := buildFields()
	if revision, ok := fields["revision"].(string); !ok || revision == "" {
		t.Errorf("revision %v", fields["revision"])
	}
	if built, ok := fields["built"].(string); !ok || built == "" {
		t.Errorf("built %v", fields["built"])
	}
	if fields["arch"] != runtime.GOARCH {
		t.Errorf("arch %v, want %s", fields["arch"], runtime.GOARCH)
	}
}
