// Package agstore is the client of the platform's object API.
//
// It implements anvilglade.Store over JSON and raw bytes on HTTP/1.1. Each call
// has a timeout and counts against two rate limits of the process, one for
// reads and one for writes. The errors say what is known of the outcome: a
// write whose answer was lost returns anvilglade.ErrUnknownOutcome, also for
// answers in the 500 range, because a gateway in between can send those after
// the write has taken effect. The client repeats nothing by itself.
//
// # Usage
//
//	store, stop, err := agstore.NewStore(agstore.Options{URL: "http://127.0.0.1:7000"})
//	if err != nil {
//		return err
//	}
//	defer stop()
//	object, err := store.Get(ctx, "Configuration", "current")
package agstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/anvilglade/anvilglade"
)

// MaxObjectSize is the largest value that the platform keeps, in bytes.
const MaxObjectSize = 1 << 20

// Defaults of Options.
const (
	DefaultTimeout         = 3 * time.Second
	DefaultWatchWait       = 30 * time.Second
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 10
)

// maxListSize bounds the answer to a list, in bytes.
const maxListSize = 64 << 20

// Options are the settings of a client. Zero values take the defaults.
type Options struct {
	// URL is the base of the object API, such as "http://127.0.0.1:7000".
	URL string
	// Token is sent as a bearer token if not empty.
	Token string
	// Timeout bounds each call without the wait of a watch.
	Timeout time.Duration
	// WatchWait is how long the platform holds a watch without a change.
	WatchWait       time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Dial replaces the dialler of the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Store is a client of the object API. It is safe for concurrent use.
type Store struct {
	base    string
	token   string
	timeout time.Duration
	wait    time.Duration
	reads   *rate.Limiter
	writes  *rate.Limiter
	client  *http.Client
	calls   atomic.Uint64
}

var _ anvilglade.Store = (*Store)(nil)

// NewStore returns a client. It does not connect yet. The returned function
// closes idle connections. It returns an error for a URL that is not http or
// https.
func NewStore(options Options) (*Store, func(), error) {
	base, err := url.Parse(options.URL)
	if err != nil {
		return nil, nil, fmt.Errorf("parse platform URL: %w", err)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, nil, fmt.Errorf("platform URL %q is not http://HOST:PORT or https://HOST:PORT", options.URL)
	}
	setDefaults(&options)
	transport := &http.Transport{DialContext: options.Dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	s := &Store{
		base:    strings.TrimSuffix(options.URL, "/"),
		token:   options.Token,
		timeout: options.Timeout,
		wait:    options.WatchWait,
		reads:   rate.NewLimiter(rate.Limit(options.ReadsPerSecond), max(1, int(options.ReadsPerSecond))),
		writes:  rate.NewLimiter(rate.Limit(options.WritesPerSecond), max(1, int(options.WritesPerSecond))),
		client:  &http.Client{Transport: transport},
	}
	return s, transport.CloseIdleConnections, nil
}

func setDefaults(options *Options) {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.WatchWait == 0 {
		options.WatchWait = DefaultWatchWait
	}
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond = DefaultReadsPerSecond
	}
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: options.Timeout}).DialContext
	}
}

// Calls returns the number of calls that were sent to the platform.
func (s *Store) Calls() uint64 {
	return s.calls.Load()
}

// Get returns an object, or anvilglade.ErrNotFound.
func (s *Store) Get(ctx context.Context, kind, name string) (anvilglade.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.read(ctx, objectPath(kind, name), kind, name)
}

// Watch waits until the object has a version above after and returns it, or
// returns anvilglade.ErrNoChange when the platform ended the wait. An answer
// that is not newer counts as no change.
func (s *Store) Watch(ctx context.Context, kind, name string, after anvilglade.Version) (anvilglade.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.wait+s.timeout)
	defer cancel()
	path := fmt.Sprintf("%s?watch=%d&timeout=%s", objectPath(kind, name), after, s.wait)
	object, err := s.read(ctx, path, kind, name)
	if err != nil {
		return anvilglade.Object{}, err
	}
	if object.Version <= after {
		return anvilglade.Object{}, fmt.Errorf("watch %s/%s after version %d: %w", kind, name, after, anvilglade.ErrNoChange)
	}
	return object, nil
}

// List returns all objects of a kind.
func (s *Store) List(ctx context.Context, kind string) ([]anvilglade.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	path := "/v1/objects/" + url.PathEscape(kind)
	response, err := s.call(ctx, s.reads, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	if err := checkStatus(response, path); err != nil {
		return nil, err
	}
	var objects []anvilglade.Object
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListSize)).Decode(&objects); err != nil {
		return nil, fmt.Errorf("decode list of %s: %w", kind, err)
	}
	return objects, nil
}

// Put writes an object if its stored version is still ifVersion; 0 means that
// it must not exist yet. See anvilglade.Store for the errors.
func (s *Store) Put(ctx context.Context, object anvilglade.Object, ifVersion anvilglade.Version) (anvilglade.Version, error) {
	if len(object.Data) > MaxObjectSize {
		return 0, fmt.Errorf("put %s/%s: value has %d bytes, allowed are %d", object.Kind, object.Name, len(object.Data), MaxObjectSize)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	header := http.Header{}
	if ifVersion == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", etag(ifVersion))
	}
	// Without a connection no byte of the write can have reached the platform.
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	response, err := s.call(traced, s.writes, http.MethodPut, objectPath(object.Kind, object.Name), header, object.Data)
	if err != nil && sent.Load() {
		return 0, fmt.Errorf("%w: %w", anvilglade.ErrUnknownOutcome, err)
	}
	if err != nil {
		return 0, err
	}
	defer closeBody(response)
	return putOutcome(response, object)
}

// putOutcome reads what an answer says of the write.
func putOutcome(response *http.Response, object anvilglade.Object) (anvilglade.Version, error) {
	switch code := response.StatusCode; {
	case code == http.StatusOK || code == http.StatusCreated:
		version, err := parseETag(response.Header.Get("ETag"))
		if err != nil {
			return 0, fmt.Errorf("%w: put %s/%s: %w", anvilglade.ErrUnknownOutcome, object.Kind, object.Name, err)
		}
		return version, nil
	case code == http.StatusPreconditionFailed:
		return 0, fmt.Errorf("put %s/%s: %w", object.Kind, object.Name, anvilglade.ErrConflict)
	case code == http.StatusTooManyRequests:
		return 0, fmt.Errorf("put %s/%s: %w", object.Kind, object.Name, anvilglade.ErrOverloaded)
	case code >= http.StatusBadRequest && code < http.StatusInternalServerError:
		return 0, fmt.Errorf("put %s/%s: platform answered %s", object.Kind, object.Name, response.Status)
	default:
		return 0, fmt.Errorf("%w: put %s/%s: platform answered %s", anvilglade.ErrUnknownOutcome, object.Kind, object.Name, response.Status)
	}
}

func (s *Store) read(ctx context.Context, path, kind, name string) (anvilglade.Object, error) {
	response, err := s.call(ctx, s.reads, http.MethodGet, path, nil, nil)
	if err != nil {
		return anvilglade.Object{}, err
	}
	defer closeBody(response)
	if err := checkStatus(response, path); err != nil {
		return anvilglade.Object{}, err
	}
	version, err := parseETag(response.Header.Get("ETag"))
	if err != nil {
		return anvilglade.Object{}, fmt.Errorf("get %s/%s: %w", kind, name, err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxObjectSize+1))
	if err != nil {
		return anvilglade.Object{}, fmt.Errorf("get %s/%s: read answer: %w", kind, name, err)
	}
	if len(data) > MaxObjectSize {
		return anvilglade.Object{}, fmt.Errorf("get %s/%s: value has more than %d bytes", kind, name, MaxObjectSize)
	}
	return anvilglade.Object{Kind: kind, Name: name, Version: version, Data: data}, nil
}

func (s *Store) call(ctx context.Context, limiter *rate.Limiter, method, path string, header http.Header, body []byte) (*http.Response, error) {
	if err := limiter.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%s %s: %w", method, path, ctx.Err())
		}
		return nil, fmt.Errorf("%s %s: own rate limit: %w", method, path, anvilglade.ErrOverloaded)
	}
	request, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	for key, values := range header {
		request.Header[key] = values
	}
	if s.token != "" {
		request.Header.Set("Authorization", "Bearer "+s.token)
	}
	s.calls.Add(1)
	response, err := s.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	return response, nil
}

func checkStatus(response *http.Response, path string) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("get %s: %w", path, anvilglade.ErrNotFound)
	case http.StatusNotModified:
		return fmt.Errorf("get %s: %w", path, anvilglade.ErrNoChange)
	case http.StatusTooManyRequests:
		return fmt.Errorf("get %s: %w", path, anvilglade.ErrOverloaded)
	default:
		return fmt.Errorf("get %s: platform answered %s", path, response.Status)
	}
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version anvilglade.Version) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

var errETag = errors.New("answer has no version in its ETag")

func parseETag(text string) (anvilglade.Version, error) {
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil || number == 0 {
		return 0, fmt.Errorf("%w: %q", errETag, text)
	}
	return anvilglade.Version(number), nil
}

// closeBody drains a short rest so that the connection can be used again.
func closeBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
	_ = response.Body.Close()
}
