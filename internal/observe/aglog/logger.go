// Package aglog creates the loggers of the components of a process.
//
// Each component logs short sentences with a fixed prefix, so that its lines can
// be selected with grep. The output is logrus text or JSON lines.
//
// # Usage
//
//	if err := aglog.Configure(aglog.Options{Level: "info"}); err != nil {
//		return err
//	}
//	log := aglog.New("member")
//	log.WithField("Host", id).Warn("Host is suspected.")
package aglog

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Logger writes the lines of one component.
type Logger = logrus.Entry

// Options contains the settings of all loggers of the process.
type Options struct {
	// Level is a logrus level such as "info" or "debug".
	Level string
	JSON  bool
	// Output is os.Stderr if nil.
	Output io.Writer
	// Node is the name of the VM. If it is not empty, every line has it in the
	// field Node.
	Node string
}

var root = newRoot()

func newRoot() *logrus.Logger {
	logger := logrus.New()
	logger.AddHook(prefixHook{})
	return logger
}

// Configure sets the options of all loggers, including those created before. It
// returns an error if the level is unknown.
func Configure(options Options) error {
	level, err := logrus.ParseLevel(options.Level)
	if err != nil {
		return fmt.Errorf("log level %q is not one of trace, debug, info, warning, error: %w", options.Level, err)
	}
	root.SetLevel(level)
	node.Store(&options.Node)
	root.SetOutput(options.Output)
	if options.Output == nil {
		root.SetOutput(os.Stderr)
	}
	if options.JSON {
		root.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
		return nil
	}
	root.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "15:04:05.000", DisableColors: true})
	return nil
}

// New returns the logger of a component. Each message starts with the prefix and
// a colon.
func New(prefix string) *Logger {
	return root.WithField(prefixField, prefix)
}

const (
	prefixField = "Part"
	nodeField   = "Node"
)

// node is Options.Node as last configured.
var node atomic.Pointer[string]

// prefixHook moves the prefix from its field into the message and adds the node.
type prefixHook struct{}

// Levels returns all levels.
func (prefixHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the prefix to the message and the node to the fields.
func (prefixHook) Fire(entry *logrus.Entry) error {
	prefix, ok := entry.Data[prefixField].(string)
	if !ok {
		return nil
	}
	entry.Message = prefix + ": " + entry.Message
	// The fields are shared with the logger of the component, so they are copied
	// before the change.
	fields := make(logrus.Fields, len(entry.Data))
	for name, value := range entry.Data {
		if name != prefixField {
			fields[name] = value
		}
	}
	if name := node.Load(); name != nil && *name != "" {
		fields[nodeField] = *name
	}
	entry.Data = fields
	return nil
}

// Limiter allows a repeated line at most once per interval, so that a large number
// of malformed datagrams does not fill the log.
type Limiter struct {
	mu         sync.Mutex
	interval   time.Duration
	last       time.Time
	suppressed uint64
}

// NewLimiter returns a limiter for one kind of line.
func NewLimiter(interval time.Duration) *Limiter {
	return &Limiter{interval: interval}
}

// Allow reports whether a line may be written now and, if so, how many lines were
// suppressed since the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (bool, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < l.interval {
		l.suppressed++
		return false, 0
	}
	suppressed := l.suppressed
	l.last, l.suppressed = now, 0
	return true, suppressed
}
