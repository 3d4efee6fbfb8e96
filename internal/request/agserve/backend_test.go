package agserve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestExpiredRequestIsNotSent guards against a request that is sent after its
// deadline because the process was paused between the check and the first byte,
// and against reporting such a request as sent.
func TestExpiredRequestIsNotSent(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	b := newBackend(listener.Addr().(*net.TCPAddr).AddrPort())
	c := &call{method: http.MethodPost, path: "/", header: http.Header{}, body: []byte("x")}
	errLate := errors.New("late")
	_, sent, err := b.send(context.Background(), c, time.Now(), func() error { return errLate })
	g.Expect(err).To(MatchError(errLate))
	g.Expect(sent).To(BeFalse())
	conn, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).To(BeEmpty())
}
