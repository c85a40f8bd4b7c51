package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint. 128 bits make collisions infeasible.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request. All repeats by the same
// organisation have the same fingerprint at every daemon, whatever their ids are.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// fieldsBytes is a buffer size that fits the fields of most requests.
const fieldsBytes = 512

// FingerprintOf returns the fingerprint of a request. organisation is empty if the
// route needs no API key; target is the path with the query as sent by the caller.
func FingerprintOf(organisation, method, host, target string, body []byte) Fingerprint {
	fields := make([]byte, 0, fieldsBytes)
	for _, text := range [...]string{organisation, method, host, target} {
		// Length-prefixed, so that different lists of fields never encode equally.
		fields = binary.LittleEndian.AppendUint32(fields, uint32(len(text)))
		fields = append(fields, text...)
	}
	h := sha256.New()
	_, _ = h.Write(fields)
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(fields[:0])[:fingerprintBytes])
}
