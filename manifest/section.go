package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// SectionKind names a part of the manifest that can change by itself.
type SectionKind string

// The kinds of section.
const (
	SectionOrganisation SectionKind = "organisation"
	SectionModel        SectionKind = "model"
	SectionClass        SectionKind = "class"
	SectionService      SectionKind = "service"
)

// SectionDigest returns the digest of one section's canonical text, and the
// empty digest when the manifest has no such section.
func SectionDigest(m Manifest, kind SectionKind, id string) (Digest, error) {
	text, err := SectionText(m, kind, id)
	if err != nil || text == nil {
		return "", err
	}
	return DigestOfText(text), nil
}

// SectionText returns the canonical text of one section, and nil when the
// manifest has no such section.
func SectionText(m Manifest, kind SectionKind, id string) ([]byte, error) {
	var part any
	var ok bool
	switch kind {
	case SectionOrganisation:
		part, ok = find(m.Organisations, id, organisationID)
	case SectionModel:
		part, ok = find(m.Models, id, modelID)
	case SectionClass:
		part, ok = find(m.Classes, id, classID)
	case SectionService:
		part, ok = find(m.Services, id, serviceID)
	default:
		return nil, unknownSection(kind)
	}
	if !ok {
		return nil, nil
	}
	return json.Marshal(part)
}

// ReplaceSection returns m with one section set to the given text, or without it when
// the text is empty. It shares the other sections with m, and checks the whole.
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
	i := slices.IndexFunc(list, func(part T) bool { return idOf(part) == id })
	if i < 0 {
		var none T
		return none, false
	}
	return list[i], true
}

func replace[T any](list []T, id string, text []byte, idOf func(T) string) ([]T, error) {
	i := slices.IndexFunc(list, func(part T) bool { return idOf(part) == id })
	list = slices.Clone(list)
	if len(text) == 0 {
		if i < 0 {
			return nil, &Error{Faults: []Fault{{Path: id, Reason: "is not in the manifest"}}}
		}
		return slices.Delete(list, i, i+1), nil
	}
	part, err := decodePart[T](text)
	if err != nil {
		return nil, err
	}
	if idOf(part) != id {
		return nil, &Error{Faults: []Fault{{Path: id, Reason: fmt.Sprintf("holds a section of id %q", idOf(part))}}}
	}
	if i < 0 {
		return append(list, part), nil
	}
	list[i] = part
	return list, nil
}

// decodePart reads one section as strictly as Decode reads the whole.
func decodePart[T any](text []byte) (T, error) {
	var part T
	d := decoder{faults: &faultList{}}
	if d.wellFormed(text) {
		d.dec = json.NewDecoder(bytes.NewReader(text))
		d.dec.UseNumber()
		d.value(nil, reflect.ValueOf(&part).Elem(), 0)
	}
	return part, d.faults.err()
}
