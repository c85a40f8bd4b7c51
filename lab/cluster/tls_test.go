package cluster

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// authority is a certificate authority that signs the certificates of daemons.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// virtualStart is the time at which a synctest bubble begins.
var virtualStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{key: key, cert: &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             virtualStart.AddDate(-1, 0, 0),
		NotAfter:              virtualStart.AddDate(1, 0, 0),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}}
}

// flags writes a daemon's certificate, its key and the authority's certificate to
// files, and returns the command-line flags that name them.
func (a *authority) flags(t *testing.T) []string {
	t.Helper()
	dir := t.TempDir()
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    a.cert.NotBefore,
		NotAfter:     a.cert.NotAfter,
		DNSNames:     []string{"merlindock"},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	secret, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, der []byte, err error) string {
		path := filepath.Join(dir, name)
		text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		if err != nil || os.WriteFile(path, text, 0o600) != nil {
			t.Fatalf("%s cannot be written: %v", path, err)
		}
		return path
	}
	signed, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &a.key.PublicKey, a.key)
	cert := write("cert.pem", "CERTIFICATE", signed, err)
	own, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	ca := write("authority.pem", "CERTIFICATE", own, err)
	key := write("key.pem", "PRIVATE KEY", secret, nil)
	return []string{"-tls.peers-cert=" + cert, "-tls.peers-key=" + key, "-tls.peers-ca=" + ca}
}

// A process on the daemons' network has a certificate of another authority, or none.
// It must not get the manifest, which names the organisations, nor be able to send one
// of its own. A daemon with a trusted certificate must still get the manifest.
func TestPeersRequireTrustedCertificate(t *testing.T) {
	good, bad := newAuthority(t), newAuthority(t)
	flags := [][]string{good.flags(t), good.flags(t), good.flags(t), bad.flags(t), nil}
	synctest.Test(t, func(t *testing.T) {
		o := Options{Daemons: len(flags), Runners: 1, Flags: func(node int) []string { return flags[node] }}
		c, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for _, n := range c.Nodes[2:] {
			n.LogView.Disconnect() // so that they can get the manifest only from neighbours
		}
		c.publish(t, 0, "v1")
		for i := range 3 {
			c.waitReady(t, i, 5*time.Second)
		}
		time.Sleep(20 * time.Second) // virtual
		for i, n := range c.Nodes[3:] {
			if offset := n.Daemon.Revision().Offset; offset != 0 {
				t.Errorf("daemon %d without a trusted certificate has the manifest at offset %d", i+4, offset)
			}
		}
	})
}
