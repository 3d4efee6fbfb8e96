// Package agpackettask contains the tasks and loops that the balancer and the
// agent of packet services share.
//
// # Usage
//
//	err := agpackettask.Start(group, []agpackettask.Task{{Name: "packets", Run: p.readPackets}})
//
//	batch, err := reader.Read()
//	if err != nil {
//		return agpackettask.EndRead(ctx, err)
//	}
package agpackettask

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/observe/agmetric"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// reloadInterval is the time between two reads of the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// Task is a named function that runs as long as its process.
type Task struct {
	Name string
	Run  func(context.Context) error
}

// Start starts tasks in a group. It returns the error of the first task that
// cannot be started.
func Start(group *agtask.Group, tasks []Task) error {
	for _, task := range tasks {
		if err := group.Start(task.Name, task.Run); err != nil {
			return err
		}
	}
	return nil
}

// EndRead returns the error with which a task ends after a read of datagrams has
// failed. If the context has ended or the socket was closed or interrupted, it is
// the error of the context, which may be nil; otherwise it is the wrapped read
// error.
func EndRead(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return ctx.Err()
	}
	return fmt.Errorf("read datagrams: %w", err)
}

// Reload reads the settings every reloadInterval and passes them to apply until
// the context ends. A failed read is logged and leaves the last settings in
// effect.
func Reload(ctx context.Context, log *aglog.Logger, read func() (anvilglade.PlatformSettings, error), apply func(anvilglade.PlatformSettings)) error {
	for {
		if err := agtask.Sleep(ctx, reloadInterval); err != nil {
			return err
		}
		settings, err := read()
		if err != nil {
			log.WithError(err).Warn("Settings cannot be read; the last ones stay in effect.")
			continue
		}
		apply(settings)
	}
}

// ServeMetrics serves the metrics at an address on the port agmetric.Port. Packets
// are forwarded without metrics too, so a failure is logged and does not end the
// process.
func ServeMetrics(ctx context.Context, log *aglog.Logger, ip anvilglade.IPv4, metrics *agmetric.Metrics) error {
	err := agtask.ServeHTTP(ctx, anvilglade.Endpoint{IP: ip, Port: agmetric.Port}.String(), metrics.Handler())
	if err != nil && ctx.Err() == nil {
		log.WithError(err).Warn("Metrics cannot be served.")
		return nil
	}
	return err
}
