package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// fingerprintBytes are enough that nobody can make two requests share one.
const fingerprintBytes = 16

// Fingerprint names what a request asks for: all repeats of it by the same
// organisation have the same one, whatever their ids are and whichever daemon they
// come to.
type Fingerprint [fingerprintBytes]byte

// String returns the digits used in logs and messages.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintOf returns the fingerprint of a request. organisation is empty if the
// request needs no key; target is the path with the query, as the caller sent it.
func FingerprintOf(organisation, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, text := range []string{organisation, method, host, target} {
		addField(h, text)
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// addField writes a field behind its length, so that no two lists of fields give the
// same bytes.
func addField(h hash.Hash, text string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(text)))
	_, _ = h.Write(length[:])
	_, _ = io.WriteString(h, text)
}
