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

// TLSFiles names the PEM files for mutual TLS between daemons. They are read
// again when they change, so that certificates can be renewed without a
// restart. A Service uses one value of it for both directions.
type TLSFiles struct {
	Certificate string // the daemon's own, with any intermediates
	Key         string
	Authority   string // that signs the daemons' certificates
	// Name is a DNS name that each daemon's certificate must have. VMs are
	// replaced and have no names of their own, so it is the same for all.
	Name string

	mu        sync.Mutex
	lastCheck time.Time
	changed   [3]time.Time // modification times of the files in use
	current   *keyMaterial
}

// keyMaterial is what the files held.
type keyMaterial struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// tlsRecheckInterval bounds how often the files are looked at.
const tlsRecheckInterval = time.Second

// ErrNoAuthority says that the authority's file holds no certificate.
var ErrNoAuthority = errors.New("peer: authority file holds no certificate")

// config returns the settings for both directions. The standard check of the
// server's name is replaced by verify, which uses the newest authority on
// each handshake.
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

// verify checks the other side's chain against the authority, and its name.
func (f *TLSFiles) verify(state tls.ConnectionState) error {
	m, err := f.load(time.Now())
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer: no certificate given")
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

// load returns what the files hold, read again when one of them has changed. A
// half-written set, such as a new key beside the old certificate, keeps the one
// in use: a failed renewal must not cut the daemon off.
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
		return eris.Wrap(err, "peer: certificate and key")
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return eris.Wrap(err, "peer: authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return ErrNoAuthority
	}
	f.current, f.changed = &keyMaterial{certificate, roots}, changed
	return nil
}
