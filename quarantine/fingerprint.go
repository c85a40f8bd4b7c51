package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint. 127 bits make collisions infeasible.
const fingerprintBytes = 16

// segmentBit of the first byte is set in the fingerprints of segments.
const segmentBit = 0x80

// Fingerprint identifies what endpoints may crash on: the content of a request, or a
// segment of prompts. It is the same at every daemon, whatever the IDs of requests are.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsSegment reports whether it is the fingerprint of a segment.
func (f Fingerprint) IsSegment() bool { return f[0]&segmentBit != 0 }

// fieldsBytes is a buffer size that fits the fields of most requests.
const fieldsBytes = 512

// FingerprintOf returns the fingerprint of a request. organisation is empty if the
// route needs no API key; target is the path with the query as sent by the caller.
func FingerprintOf(organisation, method, host, target string, body []byte) Fingerprint {
	f := digest(body, organisation, method, host, target)
	f[0] &^= segmentBit
	return f
}

// SegmentFingerprint returns the fingerprint of a segment of the organisation's prompts
// for a model.
func SegmentFingerprint(organisation, model, id string) Fingerprint {
	f := digest(nil, organisation, model, id)
	f[0] |= segmentBit
	return f
}

func digest(body []byte, texts ...string) Fingerprint {
	fields := make([]byte, 0, fieldsBytes)
	for _, text := range texts {
		// Length-prefixed, so that different lists of fields never encode equally.
		fields = binary.LittleEndian.AppendUint32(fields, uint32(len(text)))
		fields = append(fields, text...)
	}
	h := sha256.New()
	_, _ = h.Write(fields)
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(fields[:0])[:fingerprintBytes])
}
