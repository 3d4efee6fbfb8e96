package agserve

// Reading an answer from a backend server or another agent and passing it on
// whole. Short answers are read completely first, so that a truncated one can
// still be turned into a problem or repeated; of longer ones the stream to the
// caller is reset when the source breaks off.

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

// headSize is how much of an answer is read before its head is passed on.
const headSize = 64 << 10

const copySize = 32 << 10

// maxHeld bounds an answer that is read whole before it is passed on.
const maxHeld = 4 << 20

// heldBuffers saves the collector answers of megabytes. Pages that an answer
// does not reach are never touched.
var heldBuffers = sync.Pool{New: func() any { return new([maxHeld]byte) }}

// lineSize is the buffer of a line, of which a host has about 2,000 open.
const lineSize = 2 << 10

var (
	errDeadline = errors.New("deadline has passed")
	errForeign  = errors.New("answer belongs to another request")
	errFraming  = errors.New("end of the answer cannot be checked")
)

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

type answer struct {
	status int
	header http.Header
	// length is -1 if the source did not announce it.
	length int64
	// head is the first part of the body, all of it if rest is nil.
	head []byte
	rest io.ReadCloser
	// free returns the memory of a held answer; it may be nil.
	free func()
	// release ends the admission of the request.
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

// readAnswer reads the head of the body, or all of it if it may be held. On an
// error the response is closed.
func (s *Server) readAnswer(response *http.Response, method string) (*answer, error) {
	a := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	whole, err := s.readHead(a, response, method)
	if err != nil {
		_ = response.Body.Close()
		a.giveBack()
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if whole {
		_ = response.Body.Close()
		return a, nil
	}
	a.rest = response.Body
	return a, nil
}

// readHead reports whether the head is the whole body.
func (s *Server) readHead(a *answer, response *http.Response, method string) (whole bool, err error) {
	removeHopHeaders(a.header)
	if method == http.MethodHead || response.ContentLength == 0 || !bodyAllowed(response.StatusCode) {
		return true, nil
	}
	if a.length < 0 {
		a.head, err = readFirst(response.Body)
		if errors.Is(err, io.EOF) {
			a.length = int64(len(a.head))
			return true, nil
		}
		return false, err
	}
	s.makeHead(a)
	if _, err := io.ReadFull(response.Body, a.head); err != nil {
		return false, err
	}
	if a.length > int64(len(a.head)) {
		return false, nil
	}
	return true, endOfBody(response.Body)
}

// makeHead takes the memory for the head. An answer up to maxHeld is held whole
// while there is memory: the backend server is then free at the speed of the
// loopback and not of the caller's path, and a truncated answer can be repeated.
func (s *Server) makeHead(a *answer) {
	if a.length <= headSize {
		a.head = make([]byte, a.length)
		return
	}
	if a.length > maxHeld || s.held.Add(a.length) > s.options.MaxBuffered {
		if a.length <= maxHeld {
			s.held.Add(-a.length)
		}
		a.head = make([]byte, headSize)
		return
	}
	buffer := heldBuffers.Get().(*[maxHeld]byte)
	length := a.length
	a.head = buffer[:length]
	a.free = func() {
		s.held.Add(-length)
		heldBuffers.Put(buffer)
	}
}

// readFirst returns what is there, so that the first line of a stream is not
// held back.
func readFirst(body io.Reader) ([]byte, error) {
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 || err != nil {
			return bytes.Clone(buffer[:n]), err
		}
	}
}

// endOfBody checks that the source ends the stream: a reset after the last byte
// still means that the source withdrew the answer.
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
	a.giveBack()
}

// giveBack returns the memory of a held answer.
func (a *answer) giveBack() {
	if a.free != nil {
		a.free()
		a.free, a.head = nil, nil
	}
}

// pass writes the answer to the caller. After an error the stream must be
// reset, because the caller has a part of the answer.
func (s *Server) pass(ctx context.Context, w http.ResponseWriter, c *call, a *answer, noDeadline func()) error {
	defer a.close()
	// A caller that does not read must not hold the answer beyond the deadline.
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
	if _, err := w.Write(a.head); err != nil && len(a.head) > 0 {
		return fmt.Errorf("write answer: %w", err)
	}
	if a.rest == nil {
		return ctxError(ctx)
	}
	if a.length >= 0 {
		buffer := copyBuffers.Get().(*[copySize]byte)
		defer copyBuffers.Put(buffer)
		return copyRest(ctx, w, a, buffer[:], false)
	}
	noDeadline()
	timer := time.AfterFunc(s.options.LineAfter, func() { a.release(anvilglade.OutcomeAnswered) })
	defer timer.Stop()
	s.counters.Add("LinesOpen", 1)
	defer s.counters.Add("LinesOpen", -1)
	return copyRest(ctx, w, a, make([]byte, lineSize), true)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// copyRest passes on what follows the head, with a flush after each piece if the
// answer is a line.
func copyRest(ctx context.Context, w http.ResponseWriter, a *answer, buffer []byte, flush bool) error {
	control := http.NewResponseController(w)
	written := int64(len(a.head))
	a.head = nil
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

// ctxError returns why the context ended, or nil.
func ctxError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return context.Cause(ctx)
}
