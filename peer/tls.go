package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// TLSFiles names the PEM files for mutual TLS between daemons. They are read again when
// they change, so that certificates can be renewed without a restart. A Service uses the
// same value for both directions.
type TLSFiles struct {
	Certificate string // of the daemon, with any intermediate certificates
	Key         string
	Authority   string // certificates that sign those of the daemons
	// Name is a DNS name that the certificate of each daemon must have. It is the same for
	// all, since VMs are replaced and have no names of their own.
	Name string

	mu        sync.Mutex
	lastCheck time.Time
	changed   [3]time.Time // modification times of the files in use
	current   *keyMaterial
}

// keyMaterial holds the parsed contents of the files.
type keyMaterial struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// tlsRecheckInterval is the minimum time between checks of the files' modification times.
const tlsRecheckInterval = time.Second

// ErrNoAuthority is returned if the authority's file contains no certificate.
var ErrNoAuthority = errors.New("peer: authority file holds no certificate")

// config returns the TLS configuration for both directions. The standard verification of
// the server is replaced by verify, which uses the newest authority on each handshake.
func (f *TLSFiles) config() (*tls.Config, error) {
	if _, err := f.load(time.Now()); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert, // verified by VerifyConnection
		ServerName: f.Name,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.ownCertificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.ownCertificate()
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies
		VerifyConnection:   f.verify,
	}, nil
}

func (f *TLSFiles) ownCertificate() (*tls.Certificate, error) {
	m, err := f.load(time.Now())
	if err != nil {
		return nil, err
	}
	return &m.certificate, nil
}

// verify checks the other side's certificate chain against the authority, and its name.
func (f *TLSFiles) verify(state tls.ConnectionState) error {
	m, err := f.load(time.Now())
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer: no certificate presented")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       f.Name,
		Roots:         m.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	return err
}

// load returns the contents of the files, read again if one of them has changed. If they
// are inconsistent, such as a new key with the old certificate, those in use are kept: a
// failed renewal must not disconnect the daemon.
func (f *TLSFiles) load(now time.Time) (*keyMaterial, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && now.Sub(f.lastCheck) < tlsRecheckInterval {
		return f.current, nil
	}
	f.lastCheck = now
	changed, err := f.modTimes()
	if err == nil && f.current != nil && changed == f.changed {
		return f.current, nil
	}
	if err == nil {
		err = f.read(changed)
	}
	if f.current != nil {
		return f.current, nil
	}
	return nil, err
}

func (f *TLSFiles) modTimes() (out [3]time.Time, err error) {
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return out, eris.Wrap(err, "peer: TLS file")
		}
		out[i] = info.ModTime()
	}
	return out, nil
}

func (f *TLSFiles) read(changed [3]time.Time) error {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return eris.Wrap(err, "peer: load certificate and key")
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return eris.Wrap(err, "peer: read authority file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return ErrNoAuthority
	}
	f.current, f.changed = &keyMaterial{certificate, roots}, changed
	return nil
}
