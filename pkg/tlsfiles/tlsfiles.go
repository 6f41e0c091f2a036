// Package tlsfiles creates TLS configurations from certificate files and reloads
// replaced files without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// checkPeriod is the minimum interval between checks for changed files.
const checkPeriod = time.Second

// KeyPair is a certificate with its private key. It is reloaded when its files
// change.
type KeyPair struct {
	certFile, keyFile string

	mu         sync.Mutex
	current    *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

// Load reads a certificate and its private key from PEM files.
func Load(certFile, keyFile string) (*KeyPair, error) {
	pair := &KeyPair{certFile: certFile, keyFile: keyFile}
	if err := pair.reload(); err != nil {
		return nil, err
	}
	return pair, nil
}

// ServerConfig returns the TLS configuration of a listener.
func (p *KeyPair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.currentCertificate(), nil
		},
	}
}

// MutualConfigs returns the server and client configurations for mutual TLS
// between routers and agents. Each side must present a certificate signed by a CA
// in caFile. Host names are not verified, since peers are addressed by IP address.
func (p *KeyPair) MutualConfigs(caFile string) (server, client *tls.Config, err error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, errors.Annotate(err, "certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.NotValidf("certificates in %s", caFile)
	}
	server = p.ServerConfig()
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain, but not the host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, pool)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.currentCertificate(), nil
		},
	}
	return server, client, nil
}

func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// currentCertificate returns the certificate. It reloads changed files first, at
// most once per checkPeriod. If the reload fails, the previous certificate remains
// in use.
func (p *KeyPair) currentCertificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.checkedAt) >= checkPeriod {
		p.checkedAt = now
		if p.lastModification().After(p.modifiedAt) {
			_ = p.reload()
		}
	}
	return p.current
}

func (p *KeyPair) reload() error {
	modified := p.lastModification()
	certificate, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Annotate(err, "certificate")
	}
	p.current = &certificate
	p.modifiedAt = modified
	return nil
}

// lastModification returns the later of the two files' modification times.
func (p *KeyPair) lastModification() time.Time {
	var latest time.Time
	for _, name := range []string{p.certFile, p.keyFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
