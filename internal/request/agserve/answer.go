package agserve

// Reading of responses from a backend server or another agent and relaying them
// to the caller. Short responses are buffered completely first, so that a
// truncated one can still be replaced by a problem or retried. For longer ones
// the stream to the caller is reset when the source ends early.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

// prefixSize is the number of bytes of a response body that are read before its
// headers are relayed, unless the whole response is buffered.
const prefixSize = 64 << 10

// copyBufferSize is the size of a buffer for copying, in bytes.
const copyBufferSize = 32 << 10

// maxBufferedAnswer is the maximum size in bytes of a response that is buffered
// completely before it is relayed.
const maxBufferedAnswer = 4 << 20

// answerBuffers reuses the buffers of large responses, to reduce the load on the
// garbage collector. Memory pages beyond the end of a response are not touched.
var answerBuffers = sync.Pool{New: func() any { return new([maxBufferedAnswer]byte) }}

// lineBufferSize is the size in bytes of the buffer of an alert line. It is small
// because a host has about 2,000 lines open.
const lineBufferSize = 2 << 10

var (
	errDeadline     = errors.New("deadline has passed")
	errWrongRequest = errors.New("answer belongs to another request")
	errFraming      = errors.New("end of the answer cannot be checked")
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// answer is a response from a backend server or another agent. The first part of
// its body, or all of it, has been read.
type answer struct {
	status int
	header http.Header
	// length is the length of the body in bytes, -1 if it was not announced.
	length int64
	// prefix is the first part of the body, or all of it if rest is nil.
	prefix []byte
	rest   io.ReadCloser
	// free releases the buffer of a buffered response; it may be nil.
	free func()
	// release reports the outcome of the request to the Admitter, which frees
	// its slot.
	release func(anvilglade.Outcome)
}

func (a *answer) notRun() bool {
	return a.status == http.StatusServiceUnavailable && a.header.Get(agproblem.HeaderNotRun) == "true"
}

func (a *answer) outcome() anvilglade.Outcome {
	if a.status >= http.StatusInternalServerError {
		return anvilglade.OutcomeError
	}
	return anvilglade.OutcomeAnswered
}

// readAnswer reads the first part of the response body, or all of it if it fits
// into the buffers. On an error the response is closed.
func (s *Server) readAnswer(response *http.Response, method string) (*answer, error) {
	a := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	complete, err := s.readPrefix(a, response, method)
	if err != nil {
		_ = response.Body.Close()
		a.freeBuffer()
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if complete {
		_ = response.Body.Close()
		return a, nil
	}
	a.rest = response.Body
	return a, nil
}

// readPrefix reads the first part of the body. It reports whether that is the
// whole body.
func (s *Server) readPrefix(a *answer, response *http.Response, method string) (complete bool, err error) {
	removeHopHeaders(a.header)
	if method == http.MethodHead || response.ContentLength == 0 || !bodyAllowed(response.StatusCode) {
		return true, nil
	}
	if a.length < 0 {
		a.prefix, err = readAvailable(response.Body)
		if errors.Is(err, io.EOF) {
			a.length = int64(len(a.prefix))
			return true, nil
		}
		return false, err
	}
	s.allocPrefix(a)
	if _, err := io.ReadFull(response.Body, a.prefix); err != nil {
		return false, err
	}
	if a.length > int64(len(a.prefix)) {
		return false, nil
	}
	return true, endOfBody(response.Body)
}

// allocPrefix allocates the buffer for the first part of the body. A response up
// to maxBufferedAnswer is buffered completely while there is memory: the backend
// server then finishes at the speed of the loopback and not of the caller's
// path, and a truncated response can be retried.
func (s *Server) allocPrefix(a *answer) {
	if a.length <= prefixSize {
		a.prefix = make([]byte, a.length)
		return
	}
	if a.length > maxBufferedAnswer || s.bufferedAnswers.Add(a.length) > s.options.MaxBuffered {
		if a.length <= maxBufferedAnswer {
			s.bufferedAnswers.Add(-a.length)
		}
		a.prefix = make([]byte, prefixSize)
		return
	}
	buffer := answerBuffers.Get().(*[maxBufferedAnswer]byte)
	length := a.length
	a.prefix = buffer[:length]
	a.free = func() {
		s.bufferedAnswers.Add(-length)
		answerBuffers.Put(buffer)
	}
}

// readAvailable returns the bytes of the first read, so that the first message
// of a stream is relayed without delay.
func readAvailable(body io.Reader) ([]byte, error) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 || err != nil {
			return bytes.Clone(buffer[:n]), err
		}
	}
}

// endOfBody checks that the source ends the stream cleanly. A reset after the
// last byte means that the source withdrew the response.
func endOfBody(body io.Reader) error {
	var one [1]byte
	n, err := io.ReadFull(body, one[:])
	if n == 0 && err == io.EOF {
		return nil
	}
	if err == nil {
		return errFraming
	}
	return err
}

func (a *answer) close() {
	if a.rest != nil {
		_ = a.rest.Close()
	}
	a.freeBuffer()
}

// freeBuffer releases the buffer of a buffered response.
func (a *answer) freeBuffer() {
	if a.free != nil {
		a.free()
		a.free, a.prefix = nil, nil
	}
}

// relay writes the answer to the caller. After an error the stream must be
// reset, because the caller may have received a part of the response.
func (s *Server) relay(ctx context.Context, w http.ResponseWriter, c *call, a *answer, clearDeadline func()) error {
	defer a.close()
	// A caller that does not read must not block the response beyond the deadline.
	control := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() { _ = control.SetWriteDeadline(time.Now()) })
	defer stop()
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	header.Set(agproblem.HeaderRequestID, string(c.id))
	if a.length >= 0 && bodyAllowed(a.status) {
		header.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.prefix); err != nil && len(a.prefix) > 0 {
		return fmt.Errorf("write answer: %w", err)
	}
	if a.rest == nil {
		return ctxError(ctx)
	}
	if a.length >= 0 {
		buffer := copyBuffers.Get().(*[copyBufferSize]byte)
		defer copyBuffers.Put(buffer)
		return copyRest(ctx, w, a, buffer[:], false)
	}
	clearDeadline()
	timer := time.AfterFunc(s.options.LineSlotTime, func() { a.release(anvilglade.OutcomeAnswered) })
	defer timer.Stop()
	s.counters.Add("LinesOpen", 1)
	defer s.counters.Add("LinesOpen", -1)
	return copyRest(ctx, w, a, make([]byte, lineBufferSize), true)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// copyRest relays the body after its first part. If flush is set, as for alert
// lines, every chunk is flushed.
func copyRest(ctx context.Context, w http.ResponseWriter, a *answer, buffer []byte, flush bool) error {
	control := http.NewResponseController(w)
	written := int64(len(a.prefix))
	a.prefix = nil
	for {
		if flush {
			if err := control.Flush(); err != nil {
				return fmt.Errorf("write answer: %w", err)
			}
		}
		n, err := a.rest.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return fmt.Errorf("write answer: %w", err)
			}
			written += int64(n)
		}
		switch {
		case err == io.EOF && a.length >= 0 && written != a.length:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return ctxError(ctx)
		case err != nil:
			return fmt.Errorf("read answer: %w", err)
		}
	}
}

// ctxError returns the cause of the end of the context, or nil if it has not
// ended.
func ctxError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return context.Cause(ctx)
}
