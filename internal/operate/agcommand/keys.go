package agcommand

import (
	"context"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// keyFlags are the flags of the key actions.
type keyFlags struct {
	names, set, joinSecret string
}

func newKeysVerb() Verb {
	set := func(c *operatorCommand) {
		c.settings.Text(&c.keys.set, "set", "All, Datagram or ConnectionID", string(agkeys.SetAll))
	}
	return newOperatorVerb(
		action{
			name: "init", summary: "draw the first keys, with self-signed certificates for the QUIC services", edits: true,
			example: "anvilglade keys init --names 127.100.0.1,alerts.example",
			bind: func(c *operatorCommand) {
				c.settings.Text(&c.keys.names, "names", "DNS names and IP addresses of the certificates with commas, beside the routes'", "")
			},
			run: initKeys,
		},
		action{
			name: "rotate", summary: "first run: add Next keys; second run: make them Current", edits: true,
			example: "anvilglade keys rotate --admin 10.0.0.1:7900", bind: set, run: rotateKeys,
		},
		action{
			name: "retire", summary: "accept Previous keys no longer, once no connection uses them", edits: true,
			example: "anvilglade keys retire --set Datagram --admin 10.0.0.1:7900", bind: set, run: retireKeys,
		},
		action{name: "list", summary: "print ids and states of the keys, never the secrets", example: "anvilglade keys list", run: listKeys},
		action{
			name: "secret", summary: "draw a join secret that can overlap with the one in use", example: "anvilglade keys secret",
			bind: func(c *operatorCommand) {
				c.settings.Text(&c.keys.joinSecret, "join-secret", "join secret in use; better given by the environment than on the command line", "")
			},
			run: generateSecret,
		},
	)
}

// writeKeys submits a bundle, prints the verdict and returns the exit code. The
// text done is printed if the bundle is accepted.
func (c *operatorCommand) writeKeys(ctx context.Context, editor *agedit.Editor, bundle anvilglade.KeyBundle, version anvilglade.Version, done string) int {
	verdict := editor.WriteKeys(ctx, bundle, version)
	if c.json {
		c.printJSON(verdict)
		return verdictCode(verdict)
	}
	switch verdict.Outcome {
	case agedit.Accepted:
		fmt.Printf("Accepted: keys version %d. %s\n", verdict.Revision, done)
	default:
		fmt.Printf("%s: %s.\n", verdict.Outcome, verdict.Reason)
	}
	return verdictCode(verdict)
}

func initKeys(ctx context.Context, c *operatorCommand) int {
	editor, stop, err := c.editor()
	if err != nil {
		return c.fail(err)
	}
	defer stop()
	if _, _, err := editor.ReadKeys(ctx); !errors.Is(err, agedit.ErrNoKeys) {
		if err == nil {
			err = errors.New("keys exist already; use 'anvilglade keys rotate'")
		}
		return c.fail(err)
	}
	snapshot, err := editor.Read(ctx)
	if err != nil {
		return c.fail(err)
	}
	bundle := agkeys.NewBundle()
	if bundle.Certificates, err = c.certificates(snapshot.Document.Tables); err != nil {
		return c.fail(err)
	}
	return c.writeKeys(ctx, editor, bundle, 0, fmt.Sprintf("%d certificates.", len(bundle.Certificates)))
}

// certificates creates one self-signed certificate for each QUIC service and one
// for the administration API.
func (c *operatorCommand) certificates(tables anvilglade.Tables) ([]anvilglade.Certificate, error) {
	var order []anvilglade.ServiceID
	names := map[anvilglade.ServiceID][]string{}
	for _, route := range tables.Routes {
		if route.Protocol != anvilglade.ProtocolQUIC {
			continue
		}
		if !slices.Contains(order, route.Service) {
			order = append(order, route.Service)
			names[route.Service] = splitList(c.keys.names)
		}
		names[route.Service] = append(names[route.Service], route.Address.Addr().String())
	}
	order = append(order, apiCertificate)
	names[apiCertificate] = splitList(c.keys.names)
	var certificates []anvilglade.Certificate
	for _, service := range order {
		certificate, err := agkeys.NewSelfSigned(service, names[service], time.Now())
		if err != nil {
			return nil, err
		}
		certificates = append(certificates, certificate)
	}
	return certificates, nil
}

// changeKeys reads the bundle, calls step and submits the changed bundle. The
// results of step are the changed bundle, the text for writeKeys and whether every
// process must have the present bundle before the change; --force skips that
// check.
func (c *operatorCommand) changeKeys(ctx context.Context, step func(anvilglade.KeyBundle) (anvilglade.KeyBundle, string, bool, error)) int {
	switch agkeys.Set(c.keys.set) {
	case agkeys.SetAll, agkeys.SetDatagram, agkeys.SetConnectionID:
	default:
		return c.fail(fmt.Errorf("%w: --set %q is not All, Datagram or ConnectionID", errUsage, c.keys.set))
	}
	editor, stop, err := c.editor()
	if err != nil {
		return c.fail(err)
	}
	defer stop()
	bundle, version, err := editor.ReadKeys(ctx)
	if err != nil {
		return c.fail(err)
	}
	changed, done, needsAll, err := step(bundle)
	if err != nil {
		return c.fail(err)
	}
	if needsAll && !c.force {
		if err := c.checkKeysEverywhere(ctx, version); err != nil {
			return c.fail(err)
		}
	}
	return c.writeKeys(ctx, editor, changed, version, done)
}

// checkKeysEverywhere returns an error if a process does not have a version of
// the keys yet. The next change of the keys would break such a process.
func (c *operatorCommand) checkKeysEverywhere(ctx context.Context, version anvilglade.Version) error {
	if len(c.admin) == 0 {
		return fmt.Errorf("%w: give --admin to check that every process has keys version %d, or --force", errUsage, version)
	}
	var lagging []string
	for _, answer := range c.queryProcesses(ctx, true) {
		if answer.Err != nil {
			lagging = append(lagging, answer.name()+" does not answer")
		} else if answer.Status.KeysVersion < version {
			lagging = append(lagging, fmt.Sprintf("%s has keys version %d", answer.name(), answer.Status.KeysVersion))
		}
	}
	if len(lagging) > 0 {
		return fmt.Errorf("keys version %d is not in effect everywhere; wait, or use --force:\n  %s", version, strings.Join(lagging, "\n  "))
	}
	return nil
}

func rotateKeys(ctx context.Context, c *operatorCommand) int {
	set := agkeys.Set(c.keys.set)
	return c.changeKeys(ctx, func(bundle anvilglade.KeyBundle) (anvilglade.KeyBundle, string, bool, error) {
		changed, err := agkeys.AddNext(bundle, set)
		if !errors.Is(err, agkeys.ErrNextExists) {
			return changed, "Next keys added; run 'keys rotate' again once every process has them.", false, err
		}
		changed, err = agkeys.Promote(bundle, set)
		return changed, "Next keys are now Current; the former ones stay accepted until 'keys retire'.", true, err
	})
}

// retireKeys retires Previous keys. Connection-id keys that open connections use
// are retained unless --force is set.
func retireKeys(ctx context.Context, c *operatorCommand) int {
	return c.changeKeys(ctx, func(bundle anvilglade.KeyBundle) (anvilglade.KeyBundle, string, bool, error) {
		inUse := make(map[anvilglade.KeyID]int)
		if !c.force {
			for _, answer := range c.queryProcesses(ctx, true) {
				for id, count := range answer.Status.ConnectionKeys {
					inUse[id] += count
				}
			}
		}
		changed, retained, err := agkeys.RetireUnused(bundle, agkeys.Set(c.keys.set), inUse)
		text := "Previous keys are retired."
		for _, id := range retained {
			text += fmt.Sprintf("\nConnection-id key %d stays: %d open connections use it. Retire it later, or with --force.", id, inUse[id])
		}
		return changed, text, true, err
	})
}

// keyLine is one key or certificate in the output of 'keys list'.
type keyLine struct {
	Set   string
	ID    string
	State string
}

func listKeys(ctx context.Context, c *operatorCommand) int {
	editor, stop, err := c.editor()
	if err != nil {
		return c.fail(err)
	}
	defer stop()
	bundle, version, err := editor.ReadKeys(ctx)
	if err != nil {
		return c.fail(err)
	}
	var lines []keyLine
	for _, key := range bundle.Datagram {
		lines = append(lines, keyLine{"Datagram", strconv.Itoa(int(key.ID)), string(key.State)})
	}
	for _, key := range bundle.ConnectionID {
		lines = append(lines, keyLine{"ConnectionID", strconv.Itoa(int(key.ID)), string(key.State)})
	}
	for _, certificate := range bundle.Certificates {
		lines = append(lines, keyLine{"Certificate", string(certificate.Service), "valid until " + expiry(certificate)})
	}
	if c.json {
		return c.printJSON(map[string]any{"Version": version, "Keys": lines})
	}
	fmt.Printf("Keys version %d\n", version)
	var rows [][]string
	for _, line := range lines {
		rows = append(rows, []string{line.Set, line.ID, line.State})
	}
	printTable([]string{"SET", "ID", "STATE"}, rows)
	return ExitDone
}

func expiry(certificate anvilglade.Certificate) string {
	block, _ := pem.Decode([]byte(certificate.Chain))
	if block == nil {
		return "?"
	}
	parsed, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return "?"
	}
	return parsed.NotAfter.Format(time.DateOnly)
}

// generateSecret prints a new join secret to standard output. The secret is not
// written anywhere else.
func generateSecret(_ context.Context, c *operatorCommand) int {
	var former anvilglade.Secret
	if c.keys.joinSecret != "" {
		secrets, err := agkeys.ParseJoinSecrets(c.keys.joinSecret)
		if err != nil {
			return c.fail(fmt.Errorf("%w: %w", errUsage, err))
		}
		former = secrets[0]
	}
	secret, err := agkeys.GenerateJoinSecret(former)
	if err != nil {
		return c.fail(err)
	}
	if _, err := fmt.Fprintln(os.Stdout, hex.EncodeToString(secret[:])); err != nil {
		return c.fail(err)
	}
	return ExitDone
}
