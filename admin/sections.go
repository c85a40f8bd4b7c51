package admin

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/merlindock/merlindock/manifest"
)

// ErrSectionChanged means that a section differs from the one that a change was
// based on.
var ErrSectionChanged = errors.New("admin: the section has changed meanwhile")

// Change is a change of one section of the manifest.
type Change struct {
	Kind       manifest.SectionKind
	ID         string
	BaseDigest manifest.Digest // digest of the section the change is based on; empty: a new section
	Text       []byte          // JSON of the new section; empty: remove the section
}

const maxSectionBytes = 1 << 20

// getSection answers with one section. Its digest is the ETag, to be sent in
// If-Match with a change.
func (a *api) getSection(w http.ResponseWriter, r *http.Request) {
	_, m, err := a.System.Manifest()
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error()})
		return
	}
	text, err := manifest.SectionText(*m, manifest.SectionKind(r.PathValue("kind")), r.PathValue("id"))
	if err != nil || text == nil {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "the manifest in force has no such section"})
		return
	}
	w.Header().Set("ETag", strconv.Quote(string(manifest.DigestOfText(text))))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n'))
}

// changeSection sets (PUT) or removes (DELETE) a section. If-Match gives the ETag
// of the section that the change is based on, If-None-Match: * a new section.
// Without either, the change is refused, since two operators could undo each
// other's changes without noticing.
func (a *api) changeSection(w http.ResponseWriter, r *http.Request) {
	c := Change{Kind: manifest.SectionKind(r.PathValue("kind")), ID: r.PathValue("id")}
	ifMatch := strings.Trim(r.Header.Get("If-Match"), `"`)
	if ifMatch == "" && r.Header.Get("If-None-Match") != "*" {
		writeJSON(w, http.StatusPreconditionRequired, errorResponse{Error: "If-Match must name the ETag of the section that was changed, or If-None-Match: * for a new one"})
		return
	}
	c.BaseDigest = manifest.Digest(ifMatch)
	if r.Method == http.MethodPut {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSectionBytes))
		if err != nil || len(text) == 0 {
			writeJSON(w, http.StatusBadRequest, errorResponse{Error: "the section is empty or too long"})
			return
		}
		c.Text = text
	}
	p, err := a.System.PublishSection(r.Context(), c)
	var faults *manifest.Error
	switch {
	case errors.Is(err, ErrSectionChanged):
		writeJSON(w, http.StatusPreconditionFailed, errorResponse{Error: err.Error()})
	case errors.As(err, &faults):
		writeJSON(w, http.StatusUnprocessableEntity, errorResponse{Error: "the section is not valid", Faults: faultTexts(faults)})
	case err != nil:
		p.Reason = err.Error()
		writeJSON(w, outcomeStatus(p.Outcome), p)
	default:
		writeJSON(w, outcomeStatus(p.Outcome), p)
	}
}

func faultTexts(e *manifest.Error) []string {
	var texts []string
	for _, f := range e.Faults {
		texts = append(texts, f.Path+" "+f.Reason)
	}
	return texts
}
