package agflow_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// testBalancer simulates a balancer. It passes the packets of callers to a
// PacketConn and sends the answers from the service address.
type testBalancer struct {
	socket  *net.UDPConn
	conn    *agflow.PacketConn
	address netip.AddrPort
}

func startTestBalancer(t *testing.T) *testBalancer {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	b := &testBalancer{socket: socket, address: socket.LocalAddr().(*net.UDPAddr).AddrPort()}
	machine, _ := benchMachine(1)
	var closeConn func()
	b.conn, closeConn, err = agflow.NewPacketConn(machine, anvilglade.ServiceID("alerts").Number(), b.send, anvilglade.SystemClock{})
	if err != nil {
		t.Fatal(err)
	}
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := group.Start("pump", b.run); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(); _ = socket.Close(); stop() })
	return b
}

func (b *testBalancer) send(_ netip.AddrPort, _ agheader.Kind, header *agheader.Header, payload []byte) error {
	_, err := b.socket.WriteToUDPAddrPort(payload, header.Caller)
	return err
}

func (b *testBalancer) run(context.Context) error {
	buffer := make([]byte, 4096)
	for {
		size, caller, err := b.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		header := agheader.Header{Caller: caller, ServiceAddress: b.address, Balancer: b.address}
		b.conn.Deliver(time.Now(), &header, buffer[:size])
	}
}

func serverTLS(t *testing.T) *tls.Config {
	t.Helper()
	certificate, err := agkeys.NewSelfSigned("alerts", []string{"localhost"}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair([]byte(certificate.Chain), []byte(certificate.PrivateKey))
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, NextProtos: []string{"test"}, MinVersion: tls.VersionTLS13}
}

// echo accepts one stream of one connection and sends its data back.
func echo(ctx context.Context, listener *quic.Listener) error {
	connection, err := listener.Accept(ctx)
	if err != nil {
		return err
	}
	stream, err := connection.AcceptStream(ctx)
	if err != nil {
		return err
	}
	if _, err := io.Copy(stream, stream); err != nil {
		return err
	}
	return stream.Close()
}

// TestPacketConnCarriesQUIC guards against a PacketConn that loses the caller's
// address, corrupts packets or prevents a transport from closing.
func TestPacketConnCarriesQUIC(t *testing.T) {
	balancer := startTestBalancer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	transport := &quic.Transport{Conn: balancer.conn}
	listener, err := transport.Listen(serverTLS(t), nil)
	if err != nil {
		t.Fatal(err)
	}
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	if err := group.Start("server", func(ctx context.Context) error { return echo(ctx, listener) }); err != nil {
		t.Fatal(err)
	}
	connection, err := quic.DialAddr(ctx, balancer.address.String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"test"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		t.Fatal(err)
	}
	sent := make([]byte, 200_000)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	if err := group.Start("writer", func(context.Context) error {
		_, err := stream.Write(sent)
		return errors.Join(err, stream.Close())
	}); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(stream)
	if err != nil || string(got) != string(sent) {
		t.Fatalf("got %d bytes, error %v", len(got), err)
	}
	if err := connection.CloseWithError(0, ""); err != nil {
		t.Fatal(err)
	}
	if err := transport.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestPacketConnDeadline guards against a read that ignores a deadline set while
// the read is in progress. Transports set such a deadline when they close.
func TestPacketConnDeadline(t *testing.T) {
	balancer := startTestBalancer(t)
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	result := make(chan error, 1)
	if err := group.Start("reader", func(context.Context) error {
		_, _, err := balancer.conn.ReadFrom(make([]byte, 2048))
		result <- err
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := balancer.conn.SetReadDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := <-result; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read ended with %v", err)
	}
}
