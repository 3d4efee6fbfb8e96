package agreplica

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// silencer opens connections from which it can take all answers.
type silencer struct {
	mu   sync.Mutex
	open []*silencedConn
}

// silencedConn is a connection whose reads do not return once it is silent.
type silencedConn struct {
	net.Conn
	once   sync.Once
	silent chan struct{}
	closed chan struct{}
}

func (s *silencer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	opened := &silencedConn{Conn: conn, silent: make(chan struct{}), closed: make(chan struct{})}
	s.open = append(s.open, opened)
	return opened, nil
}

// silence makes all open connections silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.open {
		close(conn.silent)
	}
	s.open = nil
}

func (c *silencedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silencedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against an edit that is not put into effect because the watch that should deliver
// it is never answered.
func TestEditTakesEffectAfterConnectionsFallSilent(t *testing.T) {
	server := httptest.NewServer(agapi.NewServer(agapi.Options{}))
	defer server.Close()
	var connections silencer
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: server.URL, Dial: connections.dial})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	operator, stopOperator, err := agplatform.NewStore(agplatform.StoreOptions{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer stopOperator()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	edited := anvilglade.Object{Kind: string(anvilglade.RecordConfiguration), Name: "current", Data: []byte("first")}
	version, err := operator.Put(ctx, edited, 0)
	if err != nil {
		t.Fatal(err)
	}
	replica, object := NewReplica(), WatchedObject{Kind: anvilglade.RecordConfiguration, Name: "current"}
	watcher := NewWatcher(replica, store, WatcherOptions{Balancers: func() int { return 1 }, Events: agevent.NewRing("test", 16, anvilglade.SystemClock{})})
	group, stopGroup, err := agtask.NewGroup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer stopGroup()
	if err := group.Start("watch", watcher.Task(object)); err != nil {
		t.Fatal(err)
	}
	inEffect := func(text []byte, limit time.Duration) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if record, _ := replica.Get(object.Kind, object.Name); string(record.Payload) == string(text) {
				return true
			}
		}
		return false
	}
	if !inEffect(edited.Data, applyLimit) {
		t.Fatal("the first revision is not in effect")
	}
	// The watch has begun to wait again.
	time.Sleep(500 * time.Millisecond)
	connections.silence()
	edited.Data = []byte("second")
	if _, err := operator.Put(ctx, edited, version); err != nil {
		t.Fatal(err)
	}
	if !inEffect(edited.Data, applyLimit) {
		t.Errorf("an edit is not in effect %s after it was accepted", applyLimit)
	}
}
