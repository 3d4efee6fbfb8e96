package agserve

import (
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

// Defaults of the options.
const (
	// DefaultTimeout is the deadline of a request that has none of its own.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout is the longest deadline that a caller may request.
	MaxTimeout = 10 * time.Minute
	// DefaultMaxBody is the maximum size of a request body in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultMaxBuffered is the maximum total size of buffered request bodies
	// in bytes, and separately of buffered responses.
	DefaultMaxBuffered = 64 << 20
	// DefaultMaxAttempts is the maximum number of hosts to which a GET or HEAD
	// is sent.
	DefaultMaxAttempts = 2
	// DefaultLineSlotTime is the time for which an alert line occupies a slot.
	// Lines stay open for hours and a host has only a few slots: with 1 s, a
	// service with 28 slots opens only 175 of 2,000 lines within 15 s.
	DefaultLineSlotTime = 20 * time.Millisecond
)

// Options are the dependencies and limits of a Server.
type Options struct {
	Service anvilglade.ServiceID
	// Conn carries the QUIC packets of the service.
	Conn net.PacketConn
	// TLS is the TLS configuration of the service, as returned by
	// agkeys.Ring.ServerTLS.
	TLS *tls.Config
	// Backend is the loopback address of the backend server.
	Backend  netip.AddrPort
	Admitter anvilglade.Admitter
	// Spill returns a host that should receive the next request instead of
	// this host, because its utilisation is much lower. It may be nil.
	Spill func() (anvilglade.ServiceMember, bool)
	// AdmitConnections enables admission of each QUIC connection by the
	// Admitter. It must be false if the flow layer below Conn already counts
	// connections.
	AdmitConnections bool
	// ConnectionIDs generates connection IDs. If nil, quic-go generates random
	// ones.
	ConnectionIDs quic.ConnectionIDGenerator
	// ConnectionKey returns the key under which connection IDs are currently
	// issued. It may be nil.
	ConnectionKey func() anvilglade.KeyID
	// ResetKey is the key of stateless resets. If nil, none are sent.
	ResetKey *quic.StatelessResetKey
	// Tickets is the ticket table of the process. If nil, no tickets are
	// issued, reports with a ticket are rejected, and reports without one are
	// sent once.
	Tickets *agticket.Table
	// Journal records requests with an unknown outcome. If nil, the server
	// uses a journal of its own.
	Journal *agticket.Journal
	// Peers connects to other agents. If nil, requests are not offered to other
	// hosts.
	Peers *Peers
	// Members returns the hosts of the service, including this one.
	Members func() []anvilglade.ServiceMember
	// DataCentre is the data centre of this host. Hosts in the same data
	// centre are preferred.
	DataCentre   anvilglade.DataCentreID
	Clock        anvilglade.Clock
	Events       anvilglade.Recorder
	Timeout      time.Duration
	LineSlotTime time.Duration
	MaxBody      int64
	MaxBuffered  int64
	MaxAttempts  int
}

func (o *Options) complete() error {
	var errs []error
	if o.Conn == nil {
		errs = append(errs, errors.New("option Conn is missing"))
	}
	if o.TLS == nil {
		errs = append(errs, errors.New("option TLS is missing"))
	}
	if o.Admitter == nil {
		errs = append(errs, errors.New("option Admitter is missing"))
	}
	if !o.Backend.IsValid() {
		errs = append(errs, errors.New("option Backend is missing"))
	}
	if o.Clock == nil {
		o.Clock = anvilglade.SystemClock{}
	}
	if o.Members == nil {
		o.Members = func() []anvilglade.ServiceMember { return nil }
	}
	if o.Journal == nil {
		o.Journal = agticket.NewJournal(agticket.DefaultJournalEntries, o.Clock)
	}
	o.Timeout = orDefault(o.Timeout, DefaultTimeout)
	o.LineSlotTime = orDefault(o.LineSlotTime, DefaultLineSlotTime)
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxBuffered <= 0 {
		o.MaxBuffered = DefaultMaxBuffered
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	return errors.Join(errs...)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
