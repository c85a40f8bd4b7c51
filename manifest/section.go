package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// SectionKind is the type of a section, a part of the manifest that can be changed
// separately.
type SectionKind string

// Kinds of section.
const (
	SectionOrganisation SectionKind = "organisation"
	SectionModel        SectionKind = "model"
	SectionClass        SectionKind = "class"
	SectionService      SectionKind = "service"
)

// SectionDigest returns the digest of one section's canonical text, and the empty
// digest if the manifest has no such section. It returns an error for an unknown
// kind.
func SectionDigest(m Manifest, kind SectionKind, id string) (Digest, error) {
	text, err := SectionText(m, kind, id)
	if err != nil || text == nil {
		return "", err
	}
	return DigestOfText(text), nil
}

// SectionText returns the canonical text of one section, and nil if the manifest
// has no such section. It returns an error for an unknown kind.
func SectionText(m Manifest, kind SectionKind, id string) ([]byte, error) {
	var section any
	var ok bool
	switch kind {
	case SectionOrganisation:
		section, ok = find(m.Organisations, id, organisationID)
	case SectionModel:
		section, ok = find(m.Models, id, modelID)
	case SectionClass:
		section, ok = find(m.Classes, id, classID)
	case SectionService:
		section, ok = find(m.Services, id, serviceID)
	default:
		return nil, unknownSection(kind)
	}
	if !ok {
		return nil, nil
	}
	return json.Marshal(section)
}

// ReplaceSection returns a manifest with the contents of m but with one section set
// to the given text, or removed if the text is empty. The result shares the other
// sections with m. It returns an error if the section cannot be decoded or the
// resulting manifest is not valid.
func ReplaceSection(m Manifest, kind SectionKind, id string, text []byte) (Manifest, error) {
	var err error
	switch kind {
	case SectionOrganisation:
		m.Organisations, err = replace(m.Organisations, id, text, organisationID)
	case SectionModel:
		m.Models, err = replace(m.Models, id, text, modelID)
	case SectionClass:
		m.Classes, err = replace(m.Classes, id, text, classID)
	case SectionService:
		m.Services, err = replace(m.Services, id, text, serviceID)
	default:
		err = unknownSection(kind)
	}
	if err != nil {
		return Manifest{}, err
	}
	m = canonical(m)
	return m, Check(m)
}

func unknownSection(kind SectionKind) error {
	return &Error{Faults: []Fault{{Path: "section", Reason: fmt.Sprintf("%q is not a kind of section", kind)}}}
}

func organisationID(o Organisation) string { return string(o.ID) }
func modelID(m Model) string               { return m.ID }
func classID(c Class) string               { return c.ID }
func serviceID(s Service) string           { return s.ID }

func find[T any](list []T, id string, idOf func(T) string) (T, bool) {
	i := slices.IndexFunc(list, func(section T) bool { return idOf(section) == id })
	if i < 0 {
		var none T
		return none, false
	}
	return list[i], true
}

func replace[T any](list []T, id string, text []byte, idOf func(T) string) ([]T, error) {
	i := slices.IndexFunc(list, func(section T) bool { return idOf(section) == id })
	list = slices.Clone(list)
	if len(text) == 0 {
		if i < 0 {
			return nil, &Error{Faults: []Fault{{Path: id, Reason: "is not in the manifest"}}}
		}
		return slices.Delete(list, i, i+1), nil
	}
	section, err := decodeSection[T](text)
	if err != nil {
		return nil, err
	}
	if idOf(section) != id {
		return nil, &Error{Faults: []Fault{{Path: id, Reason: fmt.Sprintf("holds a section of id %q", idOf(section))}}}
	}
	if i < 0 {
		return append(list, section), nil
	}
	list[i] = section
	return list, nil
}

// decodeSection decodes one section as strictly as Decode does a manifest.
func decodeSection[T any](text []byte) (T, error) {
	var section T
	d := decoder{faults: &faultList{}}
	if d.wellFormed(text) {
		d.dec = json.NewDecoder(bytes.NewReader(text))
		d.dec.UseNumber()
		d.value(nil, reflect.ValueOf(&section).Elem(), 0)
	}
	return section, d.faults.err()
}
