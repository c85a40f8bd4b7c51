package daemon

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/admin"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Publish implements admin.System.
func (s *system) Publish(ctx context.Context, base ports.Offset, m *manifest.Manifest) (admin.Publication, error) {
	ctx, cancel := context.WithTimeout(ctx, logio.PublishTimeout)
	defer cancel()
	r, err := s.manifests.Publish(ctx, base, *m, s.o.Settings.Daemon.ID)
	return newPublication(base, r), err
}

// PublishSection implements admin.System. A change that is already in force is
// accepted, so that an operator whose answer was lost can repeat the call.
func (s *system) PublishSection(ctx context.Context, c admin.Change) (admin.Publication, error) {
	v := s.manifests.InForce()
	if v == nil {
		return admin.Publication{Outcome: admin.OutcomeNotPublished}, eris.New("no manifest is in force yet")
	}
	change, err := ledger.NewSectionRecord(v, c.Kind, c.ID, c.Text)
	if err != nil {
		return admin.Publication{Outcome: admin.OutcomeNotPublished}, err
	}
	if change.Was == change.Digest {
		return admin.Publication{Outcome: admin.OutcomeAccepted, Revision: adminRevision(v.Revision), Base: v.Base}, nil
	}
	if change.Was != c.BaseDigest {
		return admin.Publication{Outcome: admin.OutcomeRefused}, admin.ErrSectionChanged
	}
	ctx, cancel := context.WithTimeout(ctx, logio.PublishTimeout)
	defer cancel()
	r, err := s.manifests.PublishSection(ctx, change)
	return newPublication(v.Revision.Offset, r), err
}

// publishOutcomes maps the outcomes of the log to those of the administration
// API.
var publishOutcomes = map[logio.PublishOutcome]admin.Outcome{
	logio.PublishAccepted:    admin.OutcomeAccepted,
	logio.PublishRefused:     admin.OutcomeRefused,
	logio.PublishNotAppended: admin.OutcomeNotPublished,
	logio.PublishUnknown:     admin.OutcomeUnknown,
}

func newPublication(base ports.Offset, r logio.PublishResult) admin.Publication {
	p := admin.Publication{
		Outcome:   admin.OutcomeUnknown,
		Revision:  admin.Revision{Offset: r.Offset, Digest: string(r.Digest)},
		Base:      base,
		RefusedBy: r.ConflictsWith,
		Reason:    string(r.Reason),
	}
	if o, known := publishOutcomes[r.Outcome]; known {
		p.Outcome = o
	}
	if r.Detail != "" {
		p.Reason += ": " + r.Detail
	}
	return p
}
