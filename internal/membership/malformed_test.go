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

// Guards against a cell that gets no views any more, so that dead processes keep their shards,
// because the view in the store can't be decoded.
func TestMalformedViewIsReplaced(t *testing.T) {
	for _, value := range []string{"{", `{"number":18446744073709551615}`} {
		synctest.Test(t, func(t *testing.T) {
			c := newCell()
			defer c.close()
			nodes := []*node{c.start(c.server), c.start(c.server), c.start(c.server)}
			time.Sleep(2 * time.Second)
			before := nodes[0].last().View
			e, err := c.server.Get(t.Context(), viewKey)
			if err != nil || len(before.Members) != 3 {
				t.Fatalf("view %+v, %v", before, err)
			}
			if _, err = c.server.Put(t.Context(), viewKey, []byte(value), platform.PutOptions{IfVersion: e.Version}); err != nil {
				t.Fatal(err)
			}
			c.crash(nodes[2])
			time.Sleep(8 * time.Second)
			for _, n := range nodes[:2] {
				if v := n.last().View; len(v.Members) != 2 || v.Number <= before.Number {
					t.Errorf("%s after %s: view %+v", n.name, value, v)
				}
			}
		})
	}
}

// Guards against a value of a peer that makes the event loop of every member panic, or write a
// view whose number is not higher.
func FuzzClusterValues(f *testing.F) {
	f.Add([]byte(`{"number":3,"members":[{"incarnation":"a"},{"incarnation":"a"}]}`), []byte(`{"incarnation":"a"}`))
	f.Add([]byte(`{"number":18446744073709551615}`), []byte(`{"incarnation":"b","leaving":true}`))
	f.Add([]byte(`null`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, view, member []byte) {
		c := newCluster()
		c.view = model.View{Number: 2, Members: []model.Member{{Incarnation: "a"}}}
		c.apply(batch{revision: 3, entries: []platform.Entry{
			{Key: viewKey, Value: view, Version: 1}, {Key: memberPrefix + "a", Value: member, Version: 2}, {Key: memberPrefix, Value: member, Version: 3},
		}})
		if next, differs := c.next(); c.view.Number < 2 || differs && next.Number <= c.view.Number {
			t.Errorf("view %d, next %d", c.view.Number, next.Number)
		}
	})
}
