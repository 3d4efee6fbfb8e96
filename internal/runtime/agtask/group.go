// Package agtask runs the long-running tasks of a process.
//
// All goroutines of anvilglade are started through a Group, which uses an ants
// pool. A group has a name for each task, converts a panic into an error, and
// stops all its tasks when one of them fails or the group is stopped. A task that
// panics may leave a mutex locked for which others wait, so after a panic a group
// waits for its tasks for abandonAfter only.
//
// # Usage
//
//	group, stop, err := agtask.NewGroup(ctx)
//	if err != nil {
//		return err
//	}
//	defer stop()
//	if err := group.Start("heartbeat", sender.Run); err != nil {
//		return err
//	}
//	return group.Wait()
package agtask

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
)

// unlimited is the size of an ants pool without a limit on its workers. Tasks run
// for the lifetime of the process, so a bounded pool would not start any task
// above its size.
const unlimited = -1

// abandonAfter is the time for which a group waits for its other tasks after one of them
// has panicked.
const abandonAfter = 2 * time.Second

// Group is a set of tasks that stop together.
type Group struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	pool    *ants.Pool
	tasks   sync.WaitGroup
	running atomic.Int64
	// panicked is closed by markPanicked when a task has panicked.
	panicked     chan struct{}
	markPanicked func()
}

// NewGroup returns a group whose tasks are stopped when ctx ends. The returned
// function stops all tasks, waits for them like Wait and releases the pool.
func NewGroup(ctx context.Context) (*Group, func(), error) {
	pool, err := ants.NewPool(unlimited)
	if err != nil {
		return nil, nil, fmt.Errorf("create task pool: %w", err)
	}
	groupCtx, cancel := context.WithCancelCause(ctx)
	panicked := make(chan struct{})
	g := &Group{
		ctx: groupCtx, cancel: cancel, pool: pool,
		panicked: panicked, markPanicked: sync.OnceFunc(func() { close(panicked) }),
	}
	return g, g.close, nil
}

// Start runs a task in a goroutine. The task must return when its context ends.
// If it panics or returns an error other than context.Canceled, the whole group
// is stopped. The name is used in the error of Wait. Start returns an error if the
// pool of the group has been released.
func (g *Group) Start(name string, task func(context.Context) error) error {
	g.tasks.Add(1)
	g.running.Add(1)
	if err := g.pool.Submit(func() { g.run(name, task) }); err != nil {
		g.running.Add(-1)
		g.tasks.Done()
		return fmt.Errorf("start task %s: %w", name, err)
	}
	return nil
}

// Running returns the number of tasks that have not ended.
func (g *Group) Running() int64 {
	return g.running.Load()
}

// Stop cancels the context of all tasks. It does not wait for their end.
func (g *Group) Stop() {
	g.cancel(context.Canceled)
}

// Wait waits until all tasks have ended, or abandonAfter after a panic. It returns the
// error that stopped the group, or nil if the group was stopped without one.
func (g *Group) Wait() error {
	g.await()
	cause := context.Cause(g.ctx)
	if cause == nil || errors.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}

// Context returns the context that is passed to the tasks.
func (g *Group) Context() context.Context {
	return g.ctx
}

func (g *Group) run(name string, task func(context.Context) error) {
	defer g.tasks.Done()
	defer g.running.Add(-1)
	defer func() {
		if cause := recover(); cause != nil {
			g.cancel(fmt.Errorf("task %s: panic: %v\n%s", name, cause, debug.Stack()))
			g.markPanicked()
		}
	}()
	if err := task(g.ctx); err != nil && !errors.Is(err, context.Canceled) {
		g.cancel(fmt.Errorf("task %s: %w", name, err))
	}
}

func (g *Group) close() {
	g.Stop()
	g.await()
	g.pool.Release()
}

// await waits until all tasks have ended, or abandonAfter after a panic.
func (g *Group) await() {
	ended := make(chan struct{})
	if err := g.pool.Submit(func() { g.tasks.Wait(); close(ended) }); err != nil {
		// A released pool has no tasks to abandon.
		g.tasks.Wait()
		return
	}
	select {
	case <-ended:
		return
	case <-g.panicked:
	}
	select {
	case <-ended:
	case <-time.After(abandonAfter):
	}
}
