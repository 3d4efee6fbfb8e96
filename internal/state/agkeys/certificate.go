package agkeys

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
)

// processServerName is the DNS name in all leaf certificates. Processes dial each
// other by IP address, so there is no host name to verify. Only holders of the
// join secret can issue a certificate that the certificate authority verifies.
const processServerName = "process.anvilglade.internal"

const (
	// leafLifetime is the validity of a process certificate. A new one is issued
	// after half of this time.
	leafLifetime = 30 * 24 * time.Hour
	// clockSkew is the largest allowed difference between the clocks of two
	// processes.
	clockSkew = 24 * time.Hour
	// serviceCertificateLifetime is the validity of a self-signed service certificate.
	serviceCertificateLifetime = 365 * 24 * time.Hour
)

// Validity of the authority certificate. It is fixed, so that all processes with
// the same secret create the same certificate.
var (
	authorityStart = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	authorityEnd   = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
)

// ProcessTLS returns the configurations for mutual TLS between processes. A
// process issues its own certificate under the authority that is derived from
// the first secret, and accepts certificates under the authorities of all given
// secrets. For QUIC, NextProtos has to be set on a clone. ProcessTLS returns an
// error for the same secrets as NewRing.
func ProcessTLS(joinSecrets []anvilglade.Secret, process anvilglade.ProcessID) (server, client *tls.Config, err error) {
	if _, err := joinKeys(joinSecrets); err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	var own *issuer
	for i, secret := range joinSecrets {
		authority, err := newIssuer(secret, process)
		if err != nil {
			return nil, nil, err
		}
		pool.AddCert(authority.certificate)
		if i == 0 {
			own = authority
		}
	}
	if _, err := own.leaf(time.Now()); err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return own.leaf(time.Now())
		},
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ServerName: processServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return own.leaf(time.Now())
		},
	}
	return server, client, nil
}

// PeerProcess returns the process id in the certificate of the peer. Any holder
// of the join secret can issue a certificate with any id. PeerProcess returns
// false if the peer has no verified certificate.
func PeerProcess(state tls.ConnectionState) (anvilglade.ProcessID, bool) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return "", false
	}
	return anvilglade.ProcessID(state.PeerCertificates[0].Subject.CommonName), true
}

// issuer issues the certificates of one process under one authority.
type issuer struct {
	process     anvilglade.ProcessID
	key         ed25519.PrivateKey
	certificate *x509.Certificate

	mu      sync.Mutex
	current *tls.Certificate
	renewAt time.Time
}

func newIssuer(secret anvilglade.Secret, process anvilglade.ProcessID) (*issuer, error) {
	key, err := deriveAuthorityKey(secret)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "anvilglade process authority"},
		NotBefore:             authorityStart,
		NotAfter:              authorityEnd,
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create process authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("parse process authority: %w", err)
	}
	return &issuer{process: process, key: key, certificate: certificate}, nil
}

// leaf returns the certificate of the process. It issues a new one once half of
// the validity of the last one is over.
func (i *issuer) leaf(now time.Time) (*tls.Certificate, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current != nil && now.Before(i.renewAt) {
		return i.current, nil
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate process key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: generateSerial(),
		Subject:      pkix.Name{CommonName: string(i.process)},
		DNSNames:     []string{processServerName},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(leafLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, i.certificate, public, i.key)
	if err != nil {
		return nil, fmt.Errorf("issue process certificate: %w", err)
	}
	i.current = &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}
	i.renewAt = now.Add(leafLifetime / 2)
	return i.current, nil
}

// NewSelfSigned generates a self-signed certificate for a service, for
// demonstrations and tests. Names are further DNS names or IP addresses.
func NewSelfSigned(service anvilglade.ServiceID, names []string, now time.Time) (anvilglade.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return anvilglade.Certificate{}, fmt.Errorf("generate key for service %q: %w", service, err)
	}
	template := &x509.Certificate{
		SerialNumber:          generateSerial(),
		Subject:               pkix.Name{CommonName: string(service)},
		DNSNames:              []string{string(service)},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(serviceCertificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, name)
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return anvilglade.Certificate{}, fmt.Errorf("sign certificate for service %q: %w", service, err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return anvilglade.Certificate{}, fmt.Errorf("encode key for service %q: %w", service, err)
	}
	return anvilglade.Certificate{
		Service:    service,
		Chain:      string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})),
		PrivateKey: string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})),
	}, nil
}

func generateSerial() *big.Int {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return new(big.Int).SetBytes(raw[:])
}
