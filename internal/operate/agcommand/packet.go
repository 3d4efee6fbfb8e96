package agcommand

// The common part of packet-agent and packet-balancer: settings from the
// platform's file, logs as JSON lines on standard output, signals.

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
	// storeTimeout is the time limit of a call to the platform's store. A slow
	// store takes up to 60 times its usual 4 ms.
	storeTimeout = 1500 * time.Millisecond
	// gcPercent is above the default of Go. It reduces the processor time of
	// garbage collection; the additional memory is small because the heap is.
	gcPercent = 200
)

// packetVerb is the common part of the two subcommands.
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

// open checks the flags, reads the settings, configures the logs and returns a
// client of the store. The returned function closes the client.
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
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: "http://" + settings.StoreAddr, Timeout: storeTimeout})
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
	// SIGHUP must not terminate the process. It needs no handling, because the
	// settings file is read every few seconds.
	signal.Ignore(syscall.SIGHUP)
	return signals
}

func (v *packetVerb) startFailed(err error) int {
	defer v.log.Flush()
	aglog.New(v.name).WithError(err).Error("Process failed to start.")
	return ExitFailed
}

func (v *packetVerb) exitCode(err error) int {
	// The task that writes log lines has ended together with the others.
	defer v.log.Flush()
	if err != nil {
		aglog.New(v.name).WithError(err).Error("Process stopped with an error.")
		return ExitFailed
	}
	return ExitDone
}
