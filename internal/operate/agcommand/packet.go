package agcommand

// What the processes of packet services share: settings from the platform's
// file, logs as JSON lines on standard output, signals.

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	// storeTimeout bounds a call to the platform's store. A slow store takes
	// up to 60 times its usual 4 ms.
	storeTimeout = 1500 * time.Millisecond
	// watchWait is how long a watch waits. A connection that has gone silent
	// is noticed after it and storeTimeout.
	watchWait = 4 * time.Second
	// gcPercent trades processor time for memory: the heap is small.
	gcPercent = 200
)

// packetVerb is the common part of the two processes.
type packetVerb struct {
	name  string
	set   *agsettings.Set
	path  string
	level string
	log   *aglog.AsyncWriter
}

func (v *packetVerb) bind(subcommand *flaggy.Subcommand) {
	v.set = agsettings.NewSet(subcommand)
	v.set.Text(&v.path, "settings", "settings file of the platform; empty stands for the path that the platform sets", "")
	v.set.Text(&v.level, "log-level", "lowest level that is logged: debug, info, warning, error", "info")
}

// open reads the settings and returns a client of the store. The returned
// function closes it.
func (v *packetVerb) open() (anvilglade.PlatformSettings, *agplatform.Store, func(), error) {
	if err := v.set.Check(); err != nil {
		return anvilglade.PlatformSettings{}, nil, nil, err
	}
	debug.SetGCPercent(gcPercent)
	settings, err := v.reload()
	if err != nil {
		return settings, nil, nil, err
	}
	v.log = aglog.NewAsyncWriter(os.Stdout)
	if err := aglog.Configure(aglog.Options{Level: v.level, JSON: true, Output: v.log, Node: settings.Node}); err != nil {
		return settings, nil, nil, err
	}
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: "http://" + settings.StoreAddr, Timeout: storeTimeout, WatchWait: watchWait})
	return settings, store, stop, err
}

func (v *packetVerb) reload() (anvilglade.PlatformSettings, error) {
	path := v.path
	if path == "" {
		path = agplatform.SettingsPath()
	}
	return agplatform.ReadSettings(path)
}

func (v *packetVerb) signals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// The settings file is read every few seconds, so SIGHUP needs no work,
	// but must not end the process.
	signal.Ignore(syscall.SIGHUP)
	return signals
}

func (v *packetVerb) failed(err error) int {
	defer v.log.Flush()
	aglog.New(v.name).WithError(err).Error("Process cannot start.")
	return ExitFailed
}

func (v *packetVerb) outcome(err error) int {
	// The task that passes lines on has ended with the others.
	defer v.log.Flush()
	if err != nil {
		aglog.New(v.name).WithError(err).Error("Process has stopped.")
		return ExitFailed
	}
	return ExitDone
}
