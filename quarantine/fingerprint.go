package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes are enough that nobody can make two requests share one.
const fingerprintBytes = 16

// Fingerprint names what a request asks for: all repeats of it by the same
// organisation have the same one, whatever their ids are and whichever daemon they
// come to.
type Fingerprint [fingerprintBytes]byte

// String returns the digits used in logs and messages.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// fieldsBytes is room for the fields of most requests beside the body.
const fieldsBytes = 512

// FingerprintOf returns the fingerprint of a request. organisation is empty if the
// request needs no key; target is the path with the query, as the caller sent it.
func FingerprintOf(organisation, method, host, target string, body []byte) Fingerprint {
	fields := make([]byte, 0, fieldsBytes)
	for _, text := range [...]string{organisation, method, host, target} {
		// Behind its length, so that no two lists of fields give the same bytes.
		fields = binary.LittleEndian.AppendUint32(fields, uint32(len(text)))
		fields = append(fields, text...)
	}
	h := sha256.New()
	_, _ = h.Write(fields)
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(fields[:0])[:fingerprintBytes])
}
