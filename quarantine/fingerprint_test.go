package quarantine

import "testing"

// A repeated request must be recognised under another id, and no request that differs
// in any field or organisation may have the same fingerprint.
func TestFingerprintIdentifiesRequestAndOrganisation(t *testing.T) {
	base := FingerprintOf("org", "POST", "h", "/a?b", []byte("body"))
	if base != FingerprintOf("org", "POST", "h", "/a?b", []byte("body")) {
		t.Error("a repeat has another fingerprint")
	}
	for name, other := range map[string]Fingerprint{
		"organisation": FingerprintOf("other", "POST", "h", "/a?b", []byte("body")),
		"method":       FingerprintOf("org", "PUT", "h", "/a?b", []byte("body")),
		"host":         FingerprintOf("org", "POST", "g", "/a?b", []byte("body")),
		"path":         FingerprintOf("org", "POST", "h", "/a?c", []byte("body")),
		"body":         FingerprintOf("org", "POST", "h", "/a?b", []byte("bodY")),
		"shifted":      FingerprintOf("orgP", "OST", "h", "/a?b", []byte("body")),
	} {
		if other == base {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("org", "POST", "host.example", "/a/b", body)
	}
}

// BenchmarkSetSegments measures the fingerprints of a prompt with three segments.
func BenchmarkSetSegments(b *testing.B) {
	ids := []string{"5c1e07a2", "91bd3f06", "e4402b7d"}
	b.ReportAllocs()
	var id Identity
	for b.Loop() {
		id.SetSegments("sese880", "daka510000", ids)
	}
}
