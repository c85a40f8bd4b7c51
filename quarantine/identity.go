package quarantine

import "slices"

// maxSegments is the number of segments of a prompt that are counted. It bounds what one
// request adds to the memory and the messages of the daemons.
const maxSegments = 32

// Identity holds the fingerprints of a request.
type Identity struct {
	Request  Fingerprint
	Segments []Segment
}

// Segment is a segment of a prompt that other prompts may share.
type Segment struct {
	ID          string
	Fingerprint Fingerprint
}

// SetSegments sets the segments of the request's prompt by their IDs in order. The last
// one belongs to the request alone and is left out, as are those without an ID.
func (i *Identity) SetSegments(organisation, model string, ids []string) {
	i.Segments = nil
	for n := 0; n < len(ids)-1 && len(i.Segments) < maxSegments; n++ {
		if id := ids[n]; id != "" && !slices.Contains(ids[:n], id) {
			i.Segments = append(i.Segments, Segment{ID: id, Fingerprint: SegmentFingerprint(organisation, model, id)})
		}
	}
}

// fingerprints returns the fingerprints of the request and of its segments.
func (i *Identity) fingerprints() []Fingerprint {
	out := make([]Fingerprint, 0, 1+len(i.Segments))
	out = append(out, i.Request)
	for _, s := range i.Segments {
		out = append(out, s.Fingerprint)
	}
	return out
}

// SegmentID returns the ID of the segment with the fingerprint; empty: it is not a
// segment of the request.
func (i *Identity) SegmentID(f Fingerprint) string {
	for _, s := range i.Segments {
		if s.Fingerprint == f {
			return s.ID
		}
	}
	return ""
}
