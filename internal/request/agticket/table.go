package agticket

// The table of tickets of one process. An entry exists from the issue of its
// ticket until its expiry, and while its report runs. What has no entry does
// not run.

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
	// DefaultLife covers a caller's retries over a lost radio link.
	DefaultLife       = 5 * time.Minute
	DefaultMaxTickets = 16384
	// DefaultMaxBytes leaves room in a small process beside the backend server.
	DefaultMaxBytes = 32 << 20
	// DefaultReserve is the memory for an outcome that each ticket has for
	// sure, in bytes. Larger outcomes use what is free.
	DefaultReserve = 1 << 10
	// EntryCost is the memory of a ticket without its outcome, in bytes,
	// rounded up from BenchmarkTicketMemory.
	EntryCost = 512
)

// Errors of the table. None of them runs anything.
var (
	// ErrFull means that no ticket can be issued now.
	ErrFull = errors.New("ticket table is full")
	// ErrClosed means that the process is stopping and issues no tickets.
	ErrClosed = errors.New("agent is stopping")
	// ErrExpired means that the table has no entry for the ticket any more.
	ErrExpired = errors.New("ticket has expired")
	// ErrReused means that the ticket belongs to another report.
	ErrReused = errors.New("ticket was used for another report")
)

// Options are the identity and the limits of a table.
type Options struct {
	// Issuer is the control address that other agents reach.
	Issuer      netip.AddrPort
	Incarnation anvilglade.Incarnation
	Life        time.Duration
	MaxTickets  int
	MaxBytes    int64
	Reserve     int64
	Clock       anvilglade.Clock
}

// Table issues tickets and keeps outcomes. It is safe for concurrent use.
type Table struct {
	options Options
	secret  anvilglade.Secret

	mu      sync.Mutex
	entries map[uint64]*entry
	// issued is in the order of expiry, because all tickets live equally
	// long; ended holds reports that ran past the expiry, for the same time.
	issued, ended list.List
	number        uint64
	bytes         int64
	running       int
	closed        bool
}

type entry struct {
	number  uint64
	expiry  time.Time
	digest  uint64
	size    int64
	place   *list.Element
	run     *run
	outcome *Outcome
}

// run exists while a report runs and for those who still wait for it.
type run struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// waiting counts attempts that have not left; the report is canceled when
	// the last of them leaves on the caller's own wish.
	waiting int
}

// NewTable returns an empty table. It returns an error if the options are out
// of range or the system gives no random numbers.
func NewTable(options Options) (*Table, error) {
	if !options.Issuer.IsValid() {
		return nil, fmt.Errorf("ticket table: issuer %q is not an address", options.Issuer)
	}
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	if options.Life <= 0 {
		options.Life = DefaultLife
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
		return nil, fmt.Errorf("ticket table: draw secret: %w", err)
	}
	return t, nil
}

// Issue returns a new ticket and the time at which it expires. It returns
// ErrFull or ErrClosed if it cannot.
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
	created := &entry{number: t.number, expiry: now.Add(t.options.Life), size: cost}
	created.place = t.issued.PushBack(created)
	t.entries[created.number] = created
	t.bytes += cost
	ticket := Ticket{Issuer: t.options.Issuer, Incarnation: t.options.Incarnation, Number: created.number, Expiry: created.expiry}
	ticket.MAC = ticket.sum(&t.secret)
	return ticket.Encode(), created.expiry, nil
}

// Issued reports whether the ticket names this process as its issuer.
func (t *Table) Issued(ticket Ticket) bool {
	return ticket.Issuer == t.options.Issuer && ticket.Incarnation == t.options.Incarnation
}

// Address returns the control address that tickets carry.
func (t *Table) Address() netip.AddrPort {
	return t.options.Issuer
}

// Begin joins the report of a ticket. The first attempt has to run it and call
// Finish; every attempt has to call Leave at its end.
func (t *Table) Begin(text string, digest uint64) (*Attempt, error) {
	ticket, err := Decode(text)
	if err != nil {
		return nil, err
	}
	if !t.Issued(ticket) || !ticket.verify(&t.secret) {
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
		found.run = &run{ctx: ctx, cancel: cancel, done: make(chan struct{}), waiting: 1}
		t.running++
		return &Attempt{table: t, entry: found, run: found.run, first: true}, nil
	}
	if found.digest != digest {
		return nil, ErrReused
	}
	found.run.waiting++
	return &Attempt{table: t, entry: found, run: found.run}, nil
}

// Close stops the issue of tickets. Reports under issued tickets still run.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Usage is the memory in use.
type Usage struct {
	Tickets int
	Running int
	Bytes   int64
}

// Usage returns the memory in use after removing what has expired.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(t.options.Clock.Now())
	return Usage{Tickets: len(t.entries), Running: t.running, Bytes: t.bytes}
}

// sweep removes entries past their expiry. A report that still runs stays, as
// its outcome is needed by those who wait and by retries.
func (t *Table) sweep(now time.Time) {
	for _, queue := range []*list.List{&t.issued, &t.ended} {
		for front := queue.Front(); front != nil; front = queue.Front() {
			oldest := front.Value.(*entry)
			if now.Before(oldest.expiry) {
				break
			}
			queue.Remove(front)
			oldest.place = nil
			if oldest.run != nil && oldest.outcome == nil {
				continue
			}
			delete(t.entries, oldest.number)
			t.bytes -= oldest.size
		}
	}
}

// finish stores the outcome and wakes all attempts.
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
	if e.place == nil {
		// The ticket expired while the report ran. Retries get the outcome for
		// one more life.
		e.expiry = now.Add(t.options.Life)
		e.place = t.ended.PushBack(e)
	}
	e.run.cancel()
	close(e.run.done)
}
