package measure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/merlindock/merlindock/peer"
)

// peerName is the DNS name in the daemons' certificate.
const peerName = "merlindock"

// writeCertificates writes a self-signed certificate and its key into dir, as
// authority and certificate of the daemons.
func writeCertificates(dir string) (*peer.TLSFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	// One self-signed certificate is both authority and leaf. The handshake
	// and the encryption cost as much as with separate certificates.
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		DNSNames:              []string{peerName},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	files := &peer.TLSFiles{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
		Name:        peerName,
	}
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	for path, text := range map[string][]byte{
		files.Certificate: certificate,
		files.Authority:   certificate,
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
	}
	return files, nil
}
