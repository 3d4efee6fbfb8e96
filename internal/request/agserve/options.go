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
	// DefaultTimeout ends a request that names no deadline.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout bounds the deadline that a caller may ask for.
	MaxTimeout = 10 * time.Minute
	// DefaultMaxBody bounds the body of a request in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultMaxBuffered bounds the request bodies in memory, and likewise the
	// answers, in bytes.
	DefaultMaxBuffered = 64 << 20
	// DefaultMaxAttempts bounds the hosts on which a GET or HEAD is sent.
	DefaultMaxAttempts = 2
	// DefaultLineAfter is when an answer of unknown length stops holding a
	// slot: alert lines last hours and a host has only a few slots. With 1 s a
	// service with 28 slots opened 175 of 2,000 lines in 15 s.
	DefaultLineAfter = 20 * time.Millisecond
)

// Options are the parts and limits of a Server.
type Options struct {
	Service anvilglade.ServiceID
	// Conn carries the QUIC packets of the service.
	Conn net.PacketConn
	// TLS is the service's configuration, as of agkeys.Ring.ServerTLS.
	TLS *tls.Config
	// Backend is the loopback address of the backend server.
	Backend  netip.AddrPort
	Admitter anvilglade.Admitter
	// Spill names a host that should get the next call of a caller instead of
	// this one, because it is used much less. It may be nil.
	Spill func() (anvilglade.ServiceMember, bool)
	// AdmitConnections asks the Admitter for each QUIC connection. Leave it
	// off if the flow layer below Conn counts connections already.
	AdmitConnections bool
	// ConnectionIDs may be nil; quic-go then draws random ids.
	ConnectionIDs quic.ConnectionIDGenerator
	// ConnectionKey returns the key under which connection ids are issued now.
	// It may be nil.
	ConnectionKey func() anvilglade.KeyID
	// ResetKey may be nil; no stateless resets are then sent.
	ResetKey *quic.StatelessResetKey
	// Tickets may be nil; reports then get one attempt each.
	Tickets *agticket.Table
	// Journal lists unknown outcomes. It may be nil.
	Journal *agticket.Journal
	// Peers may be nil; requests are then not offered to other hosts.
	Peers *Peers
	// Members returns the hosts of the service, this one included.
	Members func() []anvilglade.ServiceMember
	// DataCentre is that of this host. Other hosts in it are preferred.
	DataCentre  anvilglade.DataCentreID
	Clock       anvilglade.Clock
	Events      anvilglade.Recorder
	Timeout     time.Duration
	LineAfter   time.Duration
	MaxBody     int64
	MaxBuffered int64
	MaxAttempts int
}

func (o *Options) complete() error {
	var faults []error
	if o.Conn == nil {
		faults = append(faults, errors.New("option Conn is missing"))
	}
	if o.TLS == nil {
		faults = append(faults, errors.New("option TLS is missing"))
	}
	if o.Admitter == nil {
		faults = append(faults, errors.New("option Admitter is missing"))
	}
	if !o.Backend.IsValid() {
		faults = append(faults, errors.New("option Backend is missing"))
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
	o.LineAfter = orDefault(o.LineAfter, DefaultLineAfter)
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxBuffered <= 0 {
		o.MaxBuffered = DefaultMaxBuffered
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	return errors.Join(faults...)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
