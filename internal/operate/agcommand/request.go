package agcommand

// The subcommand request sends one request with package caller.

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/caller"
	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
)

type requestVerb struct {
	method, target string
	data           string
	contentType    string
	ticket         string
	caFile         string
	timeout        time.Duration
	json, insecure bool
	set            *agsettings.Set
}

func newRequestVerb() Verb {
	return &requestVerb{}
}

// Bind declares the method, the URL and the flags.
func (v *requestVerb) Bind(subcommand *flaggy.Subcommand) {
	subcommand.AddPositionalValue(&v.method, "METHOD", 1, true, "GET or POST; a POST is a report and gets a ticket")
	subcommand.AddPositionalValue(&v.target, "URL", 2, true, "https://HOST:PORT/PATH")
	v.set = agsettings.NewSet(subcommand)
	v.set.Text(&v.data, "data", "body of a POST; @FILE reads a file", "")
	v.set.Text(&v.contentType, "content-type", "media type of the body", "application/json")
	v.set.Text(&v.ticket, "ticket", "ticket of an earlier attempt of the same report", "")
	v.set.Text(&v.caFile, "ca-file", "PEM file with the roots to trust", "")
	v.set.Duration(&v.timeout, "timeout", "time for all attempts together", "30s", time.Millisecond, 10*time.Minute)
	subcommand.Bool(&v.json, "", "json", "print the result as JSON")
	subcommand.Bool(&v.insecure, "", "insecure", "do not verify the certificate")
}

// requestResult is the output with --json.
type requestResult struct {
	Result   string
	Status   int                 `json:",omitempty"`
	Header   map[string][]string `json:",omitempty"`
	Body     string              `json:",omitempty"`
	Ticket   string              `json:",omitempty"`
	Attempts int                 `json:",omitempty"`
	Problem  *caller.Problem     `json:",omitempty"`
	Error    string              `json:",omitempty"`
}

// Run sends the request and returns the exit code: 0 if it was answered with a
// status below 400, 1 if it was answered with another status or failed, 3 if it
// was not run and 4 if its outcome is unknown.
func (v *requestVerb) Run(ctx context.Context) int {
	options, path, body, err := v.prepare()
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade request:", err)
		return ExitUsage
	}
	client, closeClient, err := caller.New(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade request:", err)
		return ExitUsage
	}
	defer closeClient()
	answer, err := v.send(ctx, client, path, body)
	return v.print(answer, err)
}

func (v *requestVerb) prepare() (options caller.Options, path string, body []byte, err error) {
	if err := v.set.Check(); err != nil {
		return options, "", nil, err
	}
	v.method = strings.ToUpper(v.method)
	if v.method != http.MethodGet && v.method != http.MethodPost {
		return options, "", nil, fmt.Errorf("METHOD is %q, allowed: GET, POST", v.method)
	}
	target, err := url.Parse(v.target)
	if err != nil || target.Scheme != "https" || target.Port() == "" {
		return options, "", nil, fmt.Errorf("URL is %q, allowed: https://HOST:PORT/PATH", v.target)
	}
	body = []byte(v.data)
	if name, ok := strings.CutPrefix(v.data, "@"); ok {
		//nolint:gosec // the operator names the file
		if body, err = os.ReadFile(name); err != nil {
			return options, "", nil, fmt.Errorf("--data: %w", err)
		}
	}
	config, err := v.tlsConfig()
	if err != nil {
		return options, "", nil, err
	}
	return caller.Options{Address: target.Host, TLS: config, Timeout: v.timeout}, target.RequestURI(), body, nil
}

func (v *requestVerb) tlsConfig() (*tls.Config, error) {
	//nolint:gosec // the operator requests it with --insecure
	config := &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: v.insecure}
	if v.caFile == "" {
		return config, nil
	}
	data, err := os.ReadFile(v.caFile)
	if err != nil {
		return nil, fmt.Errorf("--ca-file: %w", err)
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("--ca-file: %s holds no certificate in PEM", v.caFile)
	}
	return config, nil
}

func (v *requestVerb) send(ctx context.Context, client *caller.Client, path string, body []byte) (*caller.Answer, error) {
	switch {
	case v.method == http.MethodGet:
		return client.Get(ctx, path)
	case v.ticket != "":
		return client.ReportWithTicket(ctx, v.ticket, path, v.contentType, body)
	default:
		return client.Report(ctx, path, v.contentType, body)
	}
}

func (v *requestVerb) print(answer *caller.Answer, err error) int {
	result, code := requestOutcome(answer, err)
	if v.json {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return ExitFailed
		}
		return code
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "anvilglade request: %s: %v\n", result.Result, err)
		if result.Ticket != "" {
			fmt.Fprintln(os.Stderr, "ticket:", result.Ticket)
		}
		return code
	}
	fmt.Fprintf(os.Stderr, "status %d after %d attempts\n", answer.Status, answer.Attempts)
	if _, err := os.Stdout.Write(answer.Body); err != nil {
		return ExitFailed
	}
	return code
}

func requestOutcome(answer *caller.Answer, err error) (requestResult, int) {
	if err == nil {
		code := ExitDone
		if answer.Status >= http.StatusBadRequest {
			code = ExitFailed
		}
		return requestResult{Result: "Answered", Status: answer.Status, Header: answer.Header, Body: string(answer.Body), Ticket: answer.Ticket, Attempts: answer.Attempts}, code
	}
	result, code := requestResult{Result: "Failed", Error: err.Error()}, ExitFailed
	var problem *caller.ProblemError
	if errors.As(err, &problem) {
		result.Problem, result.Ticket = &problem.Problem, problem.Ticket
	}
	switch {
	case errors.Is(err, anvilglade.ErrUnknownOutcome):
		result.Result, code = "Unknown", ExitUnknown
	case errors.Is(err, anvilglade.ErrNotRun):
		result.Result, code = "NotRun", ExitRejected
	}
	return result, code
}
