package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// Guards against an edit that is retried until its context ends because the view in the
// store can't be decoded: reading it again doesn't help.
func TestMalformedViewIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New(standin.Config{})
		defer server.Close()
		if _, err := server.Put(t.Context(), viewKey, []byte("{"), platform.PutOptions{IfVersion: platform.CreateOnly}); err != nil {
			t.Fatal(err)
		}
		m := New(Config{Self: model.Member{Incarnation: "a"}, Store: server})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		if err := m.DropPredecessor(ctx, "b"); time.Since(start) > time.Second {
			t.Errorf("got %v after %s", err, time.Since(start))
		}
	})
}
