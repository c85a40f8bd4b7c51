package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Digest identifies a manifest by its content: the hex SHA-256 of its
// canonical text.
type Digest string

// Encode writes the canonical text: the fields in the order of the types, no
// white space, empty lists as [] or left out. Two manifests that say the same
// have the same text, however they were written.
func Encode(m Manifest) ([]byte, error) {
	return json.Marshal(canonical(m))
}

// DigestOf returns the digest of m.
func DigestOf(m Manifest) (Digest, error) {
	text, err := Encode(m)
	if err != nil {
		return "", err
	}
	return DigestOfText(text), nil
}

// DigestOfText returns the digest of a manifest's canonical text.
func DigestOfText(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(hex.EncodeToString(sum[:]))
}

// canonical replaces missing lists by empty ones, since JSON tells them apart
// and the meaning does not.
func canonical(m Manifest) Manifest {
	m.Organisations = copied(m.Organisations)
	for i := range m.Organisations {
		o := &m.Organisations[i]
		o.KeyHashes = present(o.KeyHashes)
		o.Priorities = present(o.Priorities)
	}
	m.Models = copied(m.Models)
	for i := range m.Models {
		m.Models[i].Adapters = copied(m.Models[i].Adapters)
		for j := range m.Models[i].Adapters {
			a := &m.Models[i].Adapters[j]
			a.Organisations = present(a.Organisations)
		}
	}
	m.Classes = present(m.Classes)
	m.Services = copied(m.Services)
	for i := range m.Services {
		m.Services[i].Calls = present(m.Services[i].Calls)
	}
	return m
}

func copied[T any](list []T) []T { return append(make([]T, 0, len(list)), list...) }

func present[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
