package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Digest identifies a manifest by its content: the hex SHA-256 of its
// canonical text.
type Digest string

// Encode returns the canonical text of a manifest: JSON with the fields in the
// order of the Go types, without white space, and with empty lists as [] or
// omitted. Manifests with the same content have the same canonical text,
// regardless of the formatting of their source.
func Encode(m Manifest) ([]byte, error) {
	return json.Marshal(canonical(m))
}

// DigestOf returns the digest of m's canonical text.
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

// canonical returns m with missing lists replaced by empty ones, which mean the
// same but are encoded differently in JSON.
func canonical(m Manifest) Manifest {
	m.Organisations = cloneNonNil(m.Organisations)
	for i := range m.Organisations {
		o := &m.Organisations[i]
		o.KeyHashes = nonNil(o.KeyHashes)
		o.Priorities = nonNil(o.Priorities)
	}
	m.Models = cloneNonNil(m.Models)
	for i := range m.Models {
		m.Models[i].Adapters = cloneNonNil(m.Models[i].Adapters)
		for j := range m.Models[i].Adapters {
			a := &m.Models[i].Adapters[j]
			a.Organisations = nonNil(a.Organisations)
		}
	}
	m.Classes = nonNil(m.Classes)
	m.Services = cloneNonNil(m.Services)
	for i := range m.Services {
		m.Services[i].Calls = nonNil(m.Services[i].Calls)
	}
	return m
}

func cloneNonNil[T any](list []T) []T { return append(make([]T, 0, len(list)), list...) }

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
