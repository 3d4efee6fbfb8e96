package agserve_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

// answerCase is a case of testdata/answers.yaml, where the fields are described.
type answerCase struct {
	Name      string  `yaml:"Name"`
	Method    string  `yaml:"Method"`
	Status    string  `yaml:"Status"`
	Size      int     `yaml:"Size"`
	Announced int     `yaml:"Announced"`
	Chunked   bool    `yaml:"Chunked"`
	NoEnd     bool    `yaml:"NoEnd"`
	NotRun    bool    `yaml:"NotRun"`
	RequestID string  `yaml:"RequestID"`
	Raw       *string `yaml:"Raw"`
	Then      string  `yaml:"Then"`
	Expect    string  `yaml:"Expect"`
}

func bodyOf(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte('a' + i*7%26)
	}
	return body
}

// write writes the response to a connection of the backend server.
func (c *answerCase) write(w io.Writer) {
	if c.Raw != nil {
		_, _ = io.WriteString(w, *c.Raw)
		return
	}
	status := c.Status
	if status == "" {
		status = "200 OK"
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %s\r\nContent-Type: text/plain\r\n", status)
	if c.NotRun {
		_, _ = fmt.Fprintf(w, "%s: true\r\n", agproblem.HeaderNotRun)
	}
	if c.RequestID != "" {
		_, _ = fmt.Fprintf(w, "%s: %s\r\n", agproblem.HeaderRequestID, c.RequestID)
	}
	if c.Announced >= 0 {
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", c.Announced)
	}
	body := bodyOf(c.Size)
	if !c.Chunked {
		_, _ = fmt.Fprintf(w, "\r\n%s", body)
		return
	}
	_, _ = io.WriteString(w, "Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), 10000)
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	if !c.NoEnd {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// startRawBackend starts a backend server that responds to every request as in
// the case.
func startRawBackend(f *fleet, c *answerCase) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	Expect(f.group.Start("raw", func(context.Context) error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			if err := f.group.Start("raw connection", func(context.Context) error {
				c.serve(conn.(*net.TCPConn))
				return nil
			}); err != nil {
				return err
			}
		}
	})).To(Succeed())
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (c *answerCase) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		c.write(conn)
		switch c.Then {
		case "Reset":
			_ = conn.SetLinger(0)
			return
		case "Close":
			return
		}
	}
}

var _ = Describe("Response framing", func() {
	data, err := os.ReadFile("testdata/answers.yaml")
	if err != nil {
		panic(err)
	}
	var cases []answerCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	// Guards against an incomplete response that is relayed as complete, and
	// against a false "not run" after a byte was sent.
	for i := range cases {
		c := &cases[i]
		It(c.Name+" ends as "+c.Expect, func() {
			f := newFleet(GinkgoTB())
			a := f.add(startRawBackend(f, c), nil)
			got := call(context.Background(), newClient(GinkgoTB()), a, c.Method, "/", nil)
			switch c.Expect {
			case "Whole":
				Expect(got.err).NotTo(HaveOccurred())
				Expect(bytes.Equal(got.body, bodyOf(c.Size))).To(BeTrue(), "%d bytes", len(got.body))
			case "Reset":
				Expect(got.err).To(HaveOccurred())
				Expect(errors.Is(got.err, io.ErrUnexpectedEOF)).To(BeFalse(), "the stream must be reset, not closed early")
				Expect(a.server.Count("DroppedBroken")).To(Equal(int64(1)))
			default:
				Expect(got.err).NotTo(HaveOccurred())
				Expect(string(got.problem.Type)).To(HaveSuffix(":" + c.Expect))
			}
			unknownEntries := 0
			if c.Method == http.MethodPost && (c.Expect == "Reset" || strings.Contains(c.Expect, "unknown")) {
				unknownEntries = 1
			}
			Expect(a.journal.Page().Entries).To(HaveLen(unknownEntries))
			Eventually(a.admitter.slotsInUse).Should(BeZero())
		})
	}

	// Guards against relaying bytes after the announced length as the response
	// to the next request on the same connection.
	It("does not relay surplus bytes as the response to the next request", func() {
		f := newFleet(GinkgoTB())
		surplus := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen"
		a := f.add(startRawBackend(f, &answerCase{Raw: &surplus, Then: "Keep"}), nil)
		client := newClient(GinkgoTB())
		for range 20 {
			got := call(context.Background(), client, a, http.MethodGet, "/", nil)
			Expect(string(got.body)).NotTo(Equal("stolen"))
		}
	})
})
