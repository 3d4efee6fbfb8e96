package agticket

// The table of tickets of one process. An entry exists from the issue of a
// ticket until it expires, and while its report runs. A report whose ticket has
// no entry does not run.

import (
	"container/list"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Defaults of the options.
const (
	// DefaultLifetime is the time from the issue of a ticket to its expiry. It
	// allows for the retries of a caller that has lost its radio link.
	DefaultLifetime   = 5 * time.Minute
	DefaultMaxTickets = 16384
	// DefaultMaxBytes is the maximum memory of the table in bytes. The agent
	// shares its VM with the backend server.
	DefaultMaxBytes = 32 << 20
	// DefaultReserve is the memory in bytes that is reserved for the outcome of
	// each ticket. Larger outcomes use free memory of the table.
	DefaultReserve = 1 << 10
	// EntryCost is the memory of a ticket without its outcome in bytes, an upper
	// bound of the result of BenchmarkTicketMemory.
	EntryCost = 512
)

// Errors of the table. After any of them the report does not run.
var (
	// ErrFull means that the table has no space for another ticket.
	ErrFull = errors.New("ticket table is full")
	// ErrClosed means that the process is stopping and issues no tickets.
	ErrClosed = errors.New("agent is stopping")
	// ErrExpired means that the table no longer has an entry for the ticket.
	ErrExpired = errors.New("ticket has expired")
	// ErrReused means that the ticket was used for a report with another digest.
	ErrReused = errors.New("ticket was used for another report")
)

// Options are the identity and the limits of a table. Limits of 0 or below have
// the defaults.
type Options struct {
	// Issuer is the control address at which other agents reach this process.
	Issuer      netip.AddrPort
	Incarnation anvilglade.Incarnation
	Lifetime    time.Duration
	MaxTickets  int
	MaxBytes    int64
	Reserve     int64
	Clock       anvilglade.Clock
}

// Table issues tickets and stores outcomes. It is safe for concurrent use.
type Table struct {
	options Options
	secret  anvilglade.Secret

	mu      sync.Mutex
	entries map[uint64]*entry
	// issuedQueue is in the order of expiry, because all tickets have the same
	// lifetime. extendedQueue has entries of reports that ended after the expiry
	// of their ticket; they stay for one more lifetime.
	issuedQueue, extendedQueue list.List
	number                     uint64
	bytes                      int64
	running                    int
	closed                     bool
}

// entry is the state of one ticket.
type entry struct {
	number  uint64
	expiry  time.Time
	digest  uint64
	size    int64
	element *list.Element
	run     *run
	outcome *Outcome
}

// run is the state of a report that was started.
type run struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// attached is the number of attempts that are not detached. The report is
	// canceled when the last of them is detached as canceled.
	attached int
}

// NewTable returns an empty table. It returns an error if options.Issuer is not
// valid or the MAC key cannot be generated.
func NewTable(options Options) (*Table, error) {
	if !options.Issuer.IsValid() {
		return nil, fmt.Errorf("ticket table: issuer %q is not an address", options.Issuer)
	}
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	if options.Lifetime <= 0 {
		options.Lifetime = DefaultLifetime
	}
	if options.MaxTickets <= 0 {
		options.MaxTickets = DefaultMaxTickets
	}
	if options.MaxBytes <= 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	if options.Reserve <= 0 {
		options.Reserve = DefaultReserve
	}
	t := &Table{options: options, entries: make(map[uint64]*entry)}
	if _, err := rand.Read(t.secret[:]); err != nil {
		return nil, fmt.Errorf("ticket table: generate MAC key: %w", err)
	}
	return t, nil
}

// Issue returns a new encoded ticket and its expiry. It returns ErrFull or
// ErrClosed if no ticket can be issued.
func (t *Table) Issue() (string, time.Time, error) {
	now := t.options.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	cost := EntryCost + t.options.Reserve
	if t.closed {
		return "", time.Time{}, ErrClosed
	}
	if len(t.entries) >= t.options.MaxTickets || t.bytes+cost > t.options.MaxBytes {
		return "", time.Time{}, ErrFull
	}
	t.number++
	created := &entry{number: t.number, expiry: now.Add(t.options.Lifetime), size: cost}
	created.element = t.issuedQueue.PushBack(created)
	t.entries[created.number] = created
	t.bytes += cost
	ticket := Ticket{Issuer: t.options.Issuer, Incarnation: t.options.Incarnation, Number: created.number, Expiry: created.expiry}
	ticket.MAC = ticket.sum(&t.secret)
	return ticket.Encode(), created.expiry, nil
}

// IsIssuer reports whether the ticket names this process as its issuer. It does
// not verify the MAC.
func (t *Table) IsIssuer(ticket Ticket) bool {
	return ticket.Issuer == t.options.Issuer && ticket.Incarnation == t.options.Incarnation
}

// Address returns the control address that tickets contain.
func (t *Table) Address() netip.AddrPort {
	return t.options.Issuer
}

// Begin attaches an attempt to the report of a ticket. The first attempt must run
// the report and call Finish; every attempt must call Detach at its end. Begin
// returns ErrExpired, ErrReused or an error that wraps ErrInvalid.
func (t *Table) Begin(text string, digest uint64) (*Attempt, error) {
	ticket, err := Decode(text)
	if err != nil {
		return nil, err
	}
	if !t.IsIssuer(ticket) || !ticket.verify(&t.secret) {
		return nil, fmt.Errorf("%w: not issued by this process", ErrInvalid)
	}
	now := t.options.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	found, ok := t.entries[ticket.Number]
	if !ok {
		return nil, ErrExpired
	}
	if found.run == nil {
		ctx, cancel := context.WithCancel(context.Background())
		found.digest = digest
		found.run = &run{ctx: ctx, cancel: cancel, done: make(chan struct{}), attached: 1}
		t.running++
		return &Attempt{table: t, entry: found, run: found.run, first: true}, nil
	}
	if found.digest != digest {
		return nil, ErrReused
	}
	found.run.attached++
	return &Attempt{table: t, entry: found, run: found.run}, nil
}

// Close stops the issue of tickets. Reports with issued tickets still run.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Usage is the number of tickets and running reports, and the memory in bytes.
type Usage struct {
	Tickets int
	Running int
	Bytes   int64
}

// Usage removes expired entries and returns the usage of the table.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(t.options.Clock.Now())
	return Usage{Tickets: len(t.entries), Running: t.running, Bytes: t.bytes}
}

// sweep removes expired entries. The entry of a report that is still running
// stays, because waiting attempts and retries need its outcome.
func (t *Table) sweep(now time.Time) {
	for _, queue := range []*list.List{&t.issuedQueue, &t.extendedQueue} {
		for front := queue.Front(); front != nil; front = queue.Front() {
			oldest := front.Value.(*entry)
			if now.Before(oldest.expiry) {
				break
			}
			queue.Remove(front)
			oldest.element = nil
			if oldest.run != nil && oldest.outcome == nil {
				continue
			}
			delete(t.entries, oldest.number)
			t.bytes -= oldest.size
		}
	}
}

// finish stores the outcome and wakes all waiting attempts.
func (t *Table) finish(e *entry, outcome Outcome) {
	now := t.options.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.outcome != nil {
		return
	}
	size := EntryCost + outcome.size()
	if size > e.size && t.bytes+size-e.size > t.options.MaxBytes {
		outcome = Outcome{State: outcome.State, Status: outcome.Status, Dropped: true, Detail: outcome.Detail}
		size = EntryCost + outcome.size()
	}
	t.bytes += size - e.size
	e.size = size
	e.outcome = &outcome
	t.running--
	if e.element == nil {
		// The ticket expired while the report ran. Retries receive the outcome
		// for one more lifetime.
		e.expiry = now.Add(t.options.Lifetime)
		e.element = t.extendedQueue.PushBack(e)
	}
	e.run.cancel()
	close(e.run.done)
}
