package manifest

import (
	"fmt"
	"strings"
)

// Fault is one error in a manifest.
type Fault struct {
	Path   string `json:"path"` // for example organisations[3].share
	Reason string `json:"reason"`
}

func (f Fault) String() string { return f.Path + " " + f.Reason }

// Error lists the faults of a manifest.
type Error struct {
	Faults  []Fault `json:"faults"`
	Omitted int     `json:"more"` // number of further faults that are not listed
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.Omitted))
	}
	return "manifest: " + strings.Join(lines, "; ")
}

type faultList struct {
	faults  []Fault
	omitted int
}

func (l *faultList) add(p *path, format string, args ...any) {
	if len(l.faults) >= MaxFaults {
		l.omitted++
		return
	}
	l.faults = append(l.faults, Fault{Path: p.String(), Reason: fmt.Sprintf(format, args...)})
}

func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return &Error{Faults: l.faults, Omitted: l.omitted}
}
