package admin

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/merlindock/merlindock/manifest"
)

// ErrSectionChanged says that a section is no longer what a change was made
// against.
var ErrSectionChanged = errors.New("admin: the section has changed meanwhile")

// Change is a change of one section of the manifest.
type Change struct {
	Kind       manifest.SectionKind
	ID         string
	BaseDigest manifest.Digest // of the section it was made against; empty: none
	Text       []byte          // the new section; empty: remove it
}

const maxSectionBytes = 1 << 20

// getSection answers with one section; its ETag is what a change names in
// If-Match.
func (a *api) getSection(w http.ResponseWriter, r *http.Request) {
	_, m, err := a.System.Manifest()
	if err != nil {
		answer(w, http.StatusServiceUnavailable, problem{Error: err.Error()})
		return
	}
	text, err := manifest.SectionText(*m, manifest.SectionKind(r.PathValue("kind")), r.PathValue("id"))
	if err != nil || text == nil {
		answer(w, http.StatusNotFound, problem{Error: "the manifest in force has no such section"})
		return
	}
	w.Header().Set("ETag", strconv.Quote(string(manifest.DigestOfText(text))))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n'))
}

// changeSection takes a new section (PUT) or removes one (DELETE). If-Match
// names the section that the change was made against, If-None-Match: * says
// that there was none: without either, two operators would undo each other's
// changes unseen.
func (a *api) changeSection(w http.ResponseWriter, r *http.Request) {
	c := Change{Kind: manifest.SectionKind(r.PathValue("kind")), ID: r.PathValue("id")}
	was := strings.Trim(r.Header.Get("If-Match"), `"`)
	if was == "" && r.Header.Get("If-None-Match") != "*" {
		answer(w, http.StatusPreconditionRequired, problem{Error: "If-Match must name the ETag of the section that was changed, or If-None-Match: * for a new one"})
		return
	}
	c.BaseDigest = manifest.Digest(was)
	if r.Method == http.MethodPut {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSectionBytes))
		if err != nil || len(text) == 0 {
			answer(w, http.StatusBadRequest, problem{Error: "the section is empty or too long"})
			return
		}
		c.Text = text
	}
	p, err := a.System.PublishSection(r.Context(), c)
	var faults *manifest.Error
	switch {
	case errors.Is(err, ErrSectionChanged):
		answer(w, http.StatusPreconditionFailed, problem{Error: err.Error()})
	case errors.As(err, &faults):
		answer(w, http.StatusUnprocessableEntity, problem{Error: "the section is not valid", Faults: faultTexts(faults)})
	case err != nil:
		p.Reason = err.Error()
		answer(w, statusOf(p.Outcome), p)
	default:
		answer(w, statusOf(p.Outcome), p)
	}
}

func faultTexts(e *manifest.Error) []string {
	var texts []string
	for _, f := range e.Faults {
		texts = append(texts, f.Path+" "+f.Reason)
	}
	return texts
}
