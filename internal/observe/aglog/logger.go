// Package aglog creates the loggers of the parts of a process.
//
// Each part logs short sentences with a fixed prefix, so that the lines of one
// part can be selected with grep. The output is logrus text, or JSON lines.
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

// Logger writes the lines of one part.
type Logger = logrus.Entry

// Options are the settings of all loggers of the process.
type Options struct {
	// Level is a logrus level such as "info" or "debug".
	Level string
	JSON  bool
	// Output is os.Stderr if nil.
	Output io.Writer
	// Node is the name of the machine or VM, which then stands in every line.
	Node string
}

var root = newRoot()

func newRoot() *logrus.Logger {
	logger := logrus.New()
	logger.AddHook(prefixHook{})
	return logger
}

// Configure sets the options of all loggers, also of those that exist already.
// It returns an error for an unknown level.
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

// New returns the logger of a part. The prefix stands in front of each message.
func New(prefix string) *Logger {
	return root.WithField(prefixField, prefix)
}

const (
	prefixField = "Part"
	nodeField   = "Node"
)

// node is the Node of the options in effect.
var node atomic.Pointer[string]

// prefixHook moves the field of the part into the message.
type prefixHook struct{}

// Levels returns all levels.
func (prefixHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire puts the prefix in front of the message.
func (prefixHook) Fire(entry *logrus.Entry) error {
	prefix, ok := entry.Data[prefixField].(string)
	if !ok {
		return nil
	}
	entry.Message = prefix + ": " + entry.Message
	// The fields are shared with the logger of the part, so they are copied.
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

// Limiter lets a repeated line through at most once an interval, so that a
// flood of bad datagrams cannot flood the log.
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

// Allow reports whether a line may be written now, and how many were
// suppressed since the last one.
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
