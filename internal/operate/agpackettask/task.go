// Package agpackettask has the tasks and loops that the balancer and the agent of
// packet services share.
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

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// Task is one duty of a process.
type Task struct {
	Name string
	Run  func(context.Context) error
}

// Start starts tasks in a group.
func Start(group *agtask.Group, tasks []Task) error {
	for _, task := range tasks {
		if err := group.Start(task.Name, task.Run); err != nil {
			return err
		}
	}
	return nil
}

// EndRead turns the end of a read of datagrams into the end of its task.
func EndRead(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return ctx.Err()
	}
	return fmt.Errorf("read datagrams: %w", err)
}

// Reload reads the settings again and again and passes them to learn. Settings
// that cannot be read change nothing and are logged.
func Reload(ctx context.Context, log *aglog.Logger, read func() (anvilglade.PlatformSettings, error), learn func(anvilglade.PlatformSettings)) error {
	for {
		if err := agtask.Sleep(ctx, reloadInterval); err != nil {
			return err
		}
		settings, err := read()
		if err != nil {
			log.WithError(err).Warn("Settings cannot be read; the last ones stay in effect.")
			continue
		}
		learn(settings)
	}
}

// ServeMetrics serves the metrics at an address. Packets are carried also without
// them, so a failure is logged and ends no process.
func ServeMetrics(ctx context.Context, log *aglog.Logger, ip anvilglade.IPv4, metrics *agmetric.Metrics) error {
	err := agtask.ServeHTTP(ctx, anvilglade.Endpoint{IP: ip, Port: agmetric.Port}.String(), metrics.Handler())
	if err != nil && ctx.Err() == nil {
		log.WithError(err).Warn("Metrics cannot be served.")
		return nil
	}
	return err
}
