package control

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// protected wraps the services of a process so that a panic in a client or a decoder becomes errPanic.
func (n *Node) protected(d Deps) Deps {
	d.Store = protectedStore{d.Store, n}
	d.Runners = protectedRunners{d.Runners, n}
	d.Advisor = protectedAdvisor{d.Advisor, n}
	d.Directory = protectedDirectory{d.Directory, n}
	return d
}

type protectedStore struct {
	Store
	n *Node
}

func (s protectedStore) Get(ctx context.Context, key string) (item Item, found bool, err error) {
	defer s.n.recoverCall("store get", &err)
	return s.Store.Get(ctx, key)
}

func (s protectedStore) Range(ctx context.Context, prefix, after string) (page Page, err error) {
	defer s.n.recoverCall("store range", &err)
	return s.Store.Range(ctx, prefix, after)
}

func (s protectedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Item, rev int64, err error) {
	defer s.n.recoverCall("store watch", &err)
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s protectedStore) Commit(ctx context.Context, c Commit) (rev int64, err error) {
	defer s.n.recoverCall("store commit", &err)
	return s.Store.Commit(ctx, c)
}

func (s protectedStore) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	defer s.n.recoverCall("store lease", &err)
	return s.Store.GrantLease(ctx, ttl)
}

func (s protectedStore) KeepLease(ctx context.Context, lease int64) (err error) {
	defer s.n.recoverCall("store keep", &err)
	return s.Store.KeepLease(ctx, lease)
}

type protectedRunners struct {
	Runners
	n *Node
}

func (r protectedRunners) Start(ctx context.Context, ref scheduler.RunnerRef, req StartRequest) (outcome scheduler.StartOutcome, err error) {
	outcome = scheduler.StartUnknown // if the call panics, the request may have been sent
	defer r.n.recoverCall("runner start", &err)
	return r.Runners.Start(ctx, ref, req)
}

func (r protectedRunners) Stop(ctx context.Context, ref scheduler.RunnerRef, req StopRequest) (err error) {
	defer r.n.recoverCall("runner stop", &err)
	return r.Runners.Stop(ctx, ref, req)
}

func (r protectedRunners) Poll(ctx context.Context, ref scheduler.RunnerRef, req PollRequest) (report scheduler.Report, err error) {
	defer r.n.recoverCall("runner poll", &err)
	return r.Runners.Poll(ctx, ref, req)
}

type protectedAdvisor struct {
	Advisor
	n *Node
}

func (a protectedAdvisor) Advise(ctx context.Context, step job.StepID, runners []string) (eligible []scheduler.EligibleRunner, valid time.Duration, err error) {
	defer a.n.recoverCall("advice", &err)
	return a.Advisor.Advise(ctx, step, runners)
}

type protectedDirectory struct {
	Directory
	n *Node
}

func (d protectedDirectory) DecodeRunner(item Item) (info scheduler.RunnerInfo, err error) {
	defer d.n.recoverCall("runner entry", &err)
	return d.Directory.DecodeRunner(item)
}

func (d protectedDirectory) DecodeConfig(value []byte) (config *CellConfig, err error) {
	defer d.n.recoverCall("configuration", &err)
	return d.Directory.DecodeConfig(value)
}
