package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/merlindock/merlindock/claims"
	"github.com/merlindock/merlindock/gateway"
)

// writeCertificate writes a certificate with the given common name and sets the
// modification time of its file.
func writeCertificate(t *testing.T, dir, name string, changed time.Time) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    testTime,
		NotAfter:     testTime.Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, certFile, "CERTIFICATE", der)
	writePEM(t, keyFile, "EC PRIVATE KEY", secret)
	if err := os.Chtimes(certFile, changed, changed); err != nil {
		t.Fatal(err)
	}
	return certFile, keyFile
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// servedName returns the common name of the certificate that a client would
// receive.
func servedName(t *testing.T, c *certificate) string {
	t.Helper()
	got, err := c.get(nil)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(got.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return leaf.Subject.CommonName
}

// Guards against a certificate that is renewed while the daemon runs, first by
// a truncated file: callers would get the old one until it expires, or none at
// all.
func TestCertificateIsReloadedWithoutRestart(t *testing.T) {
	now := testTime
	dir := t.TempDir()
	certFile, keyFile := writeCertificate(t, dir, "first", now)
	c, err := newCertificate(certFile, keyFile, time.Minute, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	writeCertificate(t, dir, "second", now.Add(time.Second))
	if name := servedName(t, c); name != "first" {
		t.Errorf("%q is served before the reload interval has passed", name)
	}
	content, err := os.ReadFile(certFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(certFile, content[:len(content)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	if name := servedName(t, c); name != "first" {
		t.Errorf("%q is served while the file is truncated", name)
	}
	writeCertificate(t, dir, "third", now)
	now = now.Add(time.Minute)
	if name := servedName(t, c); name != "third" {
		t.Errorf("%q is served after the renewal", name)
	}
	if err := os.Remove(certFile); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	if name := servedName(t, c); name != "third" {
		t.Errorf("%q is served after the file was removed", name)
	}
}

// Guards against answers to refused claims that leave open whether the call
// ran, or whether a retry with the same key can succeed.
func TestClaimRefusalStatusAndOutcome(t *testing.T) {
	const wait = 5 * time.Second
	for reason, want := range map[claims.Reason]struct {
		status  int
		outcome gateway.Outcome
	}{
		claims.ReasonInvalidKey:      {400, gateway.OutcomeRefused},
		claims.ReasonExpired:         {409, gateway.OutcomeNotRun},
		claims.ReasonEarly:           {409, gateway.OutcomeNotRun},
		claims.ReasonDiffers:         {422, gateway.OutcomeRefused},
		claims.ReasonTooManyAttempts: {409, gateway.OutcomeNotRun},
		claims.ReasonLogUnavailable:  {503, gateway.OutcomeNotRun},
		claims.ReasonNotReady:        {503, gateway.OutcomeNotRun},
		claims.ReasonTooManyKeys:     {503, gateway.OutcomeNotRun},
		claims.ReasonLayout:          {503, gateway.OutcomeNotRun},
	} {
		r := claimRefusal(claims.Answer{Outcome: claims.Refused, Reason: reason, RetryAfter: wait})
		if r.Status != want.status || r.Outcome != want.outcome || r.RetryAfter != wait || r.Message == "" {
			t.Errorf("%s: %+v", reason, r)
		}
	}
}
