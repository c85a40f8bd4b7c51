package logio

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// PublishOutcome is what a publisher is told.
type PublishOutcome string

// The outcomes of a publication.
const (
	PublishAccepted    PublishOutcome = "accepted"
	PublishRefused     PublishOutcome = "refused"
	PublishNotAppended PublishOutcome = "not_appended" // certainly without effect, now and later
	PublishUnknown     PublishOutcome = "unknown"      // may be accepted; publish the same again to learn
)

// PublishRequest proposes a manifest, or one section of it.
type PublishRequest struct {
	Base     ports.Offset // offset of the accepted manifest it was made against; 0 for the first
	Manifest manifest.Manifest
	// Section proposes one section in place of a whole manifest, whose fields
	// above are then left out. See ledger.NewSectionRecord.
	Section *ledger.SectionRecord
	Author  string
	// Proof lets the publisher decide behind a log whose older records have
	// expired. May be nil.
	Proof *ledger.Checkpoint
	Seed  uint64 // of the retries' jitter
}

// PublishResult tells what became of a publication.
type PublishResult struct {
	Outcome       PublishOutcome  `json:"outcome"`
	Offset        ports.Offset    `json:"offset,omitempty"` // of the record that brought the manifest
	ConflictsWith ports.Offset    `json:"by,omitempty"`     // refused: the record that came first
	Latest        ports.Offset    `json:"latest,omitempty"` // the manifest in force when this was answered
	Reason        ledger.Reason   `json:"reason,omitempty"`
	Detail        string          `json:"detail,omitempty"`
	Digest        manifest.Digest `json:"digest"`
}

// Publish appends a manifest and reads the log until its fate is certain or
// the context ends. It may be called again with the same request, and is told
// the same: a record that was appended twice is accepted once. The error tells
// of a manifest that no log would accept.
func Publish(ctx context.Context, log ports.Log, req PublishRequest) (PublishResult, error) {
	r, _, err := publish(ctx, log, req)
	return r, err
}

// publish also returns the fold that the result rests on.
func publish(ctx context.Context, log ports.Log, req PublishRequest) (PublishResult, *ledger.State, error) {
	p, err := newPublisher(log, req)
	if err != nil {
		return PublishResult{}, nil, err
	}
	r := p.publish(ctx)
	r.Digest = p.what.digest
	r.Latest = p.state.Revision().Offset
	return r, p.state, nil
}

type publisher struct {
	log    ports.Log
	state  *ledger.State
	what   proposal
	data   []byte
	reads  backoff
	writes backoff // apart from reads, whose success says nothing of appends
	sent   bool    // an append may have taken effect
	limit  int     // records asked for in one read
}

// proposal is how the fold's decisions name what is published.
type proposal struct {
	kind    ledger.Kind
	section string
	base    ports.Offset
	digest  manifest.Digest
	key     manifest.Digest // among acceptances
}

func (w *proposal) is(d ledger.Decision) bool {
	return d.Kind == w.kind && d.Section == w.section && d.Base == w.base && d.Digest == w.digest
}

func newPublisher(log ports.Log, req PublishRequest) (*publisher, error) {
	what, body, err := propose(req)
	if err != nil {
		return nil, eris.Wrap(err, "logio: publish")
	}
	data, err := ledger.Encode(ledger.RulesVersion, body)
	if err != nil {
		return nil, eris.Wrap(err, "logio: publish")
	}
	p := &publisher{log: log, what: what, data: data, state: ledger.NewState(ledger.Options{Lazy: true}), limit: pageLimit}
	p.reads.random = newRand(req.Seed)
	p.writes.random = p.reads.random
	if req.Proof == nil {
		return p, nil
	}
	_, err = p.state.Adopt(*req.Proof)
	return p, eris.Wrap(err, "logio: publish")
}

func propose(req PublishRequest) (proposal, ledger.Body, error) {
	if s := req.Section; s != nil {
		return proposal{kind: ledger.KindSection, section: s.Name(), base: s.Base, digest: s.Digest, key: s.Key()}, s, nil
	}
	if err := manifest.Check(req.Manifest); err != nil {
		return proposal{}, nil, err
	}
	text, err := manifest.Encode(req.Manifest)
	if err != nil {
		return proposal{}, nil, err
	}
	digest := manifest.SumText(text)
	record := &ledger.ManifestRecord{Base: req.Base, Digest: digest, Author: req.Author, Manifest: text}
	return proposal{kind: ledger.KindManifest, base: req.Base, digest: digest, key: digest}, record, nil
}

func (p *publisher) publish(ctx context.Context) PublishResult {
	if err := p.catchUp(ctx, 0); err != nil {
		return p.undecided(err.Error())
	}
	if !p.state.Decided() {
		return PublishResult{Outcome: PublishNotAppended, Reason: ledger.ReasonGap}
	}
	if r, ok := p.verdict(); ok {
		return r
	}
	if latest := p.state.Revision().Offset; latest != p.what.base && p.what.kind == ledger.KindManifest {
		return PublishResult{Outcome: PublishRefused, Reason: ledger.ReasonStale, ConflictsWith: latest}
	}
	for {
		offset, err := p.log.Append(ctx, ledger.StreamManifest, p.data)
		p.sent = p.sent || !errors.Is(err, ports.ErrNotAppended)
		if err == nil || p.sent {
			// A lost answer is followed by a look at the log, which may
			// already hold the record; if not, it is appended once more.
			err = errors.Join(err, p.catchUp(ctx, offset))
		}
		if r, ok := p.verdict(); ok {
			return r
		}
		if ctx.Err() != nil {
			return p.undecided(err.Error())
		}
		if waited := p.writes.wait(ctx); waited != nil {
			return p.undecided(errors.Join(err, waited).Error())
		}
	}
}

func (p *publisher) undecided(detail string) PublishResult {
	if p.sent {
		return PublishResult{Outcome: PublishUnknown, Detail: detail}
	}
	return PublishResult{Outcome: PublishNotAppended, Detail: detail}
}

// verdict looks for the fate of the manifest among the decisions read so far.
// An acceptance counts before a refusal, since a repeat of an accepted record
// may come too late to be recognised.
func (p *publisher) verdict() (PublishResult, bool) {
	for _, a := range p.state.Recent() {
		if a.Digest == p.what.key && a.Base == p.what.base {
			return PublishResult{Outcome: PublishAccepted, Offset: a.Offset}, true
		}
	}
	var found PublishResult
	for _, d := range p.state.History() {
		if !p.what.is(d) {
			continue
		}
		switch d.Outcome {
		case ledger.Repeated:
			return PublishResult{Outcome: PublishAccepted, Offset: d.By}, true
		case ledger.Refused:
			found = PublishResult{Outcome: PublishRefused, Offset: d.Offset, ConflictsWith: d.By, Reason: d.Reason, Detail: d.Detail}
		}
	}
	if v := p.state.InForce(); found.Outcome == "" && v != nil && v.Revision.Digest == p.what.digest {
		return PublishResult{Outcome: PublishAccepted, Offset: v.Revision.Offset}, true
	}
	return found, found.Outcome != ""
}

// catchUp folds the log to its end, and at least through the given offset.
func (p *publisher) catchUp(ctx context.Context, through ports.Offset) error {
	for {
		page, err := p.log.Read(ctx, ledger.StreamManifest, p.state.Next(), p.limit)
		var truncated *ports.TruncatedError
		switch {
		case errors.As(err, &truncated):
			p.state.Gap(truncated.First)
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ports.ErrTooLong):
			p.limit = max(1, p.limit/2)
		case err == nil:
			p.reads.reset()
			p.fold(page.Records)
			if p.state.Next() >= page.Next && p.state.Next() > through {
				p.state.Settle()
				return nil
			}
			if len(page.Records) > 0 {
				continue
			}
		}
		if err := p.reads.wait(ctx); err != nil {
			return err
		}
	}
}

func (p *publisher) fold(records []ports.Record) {
	for _, r := range records {
		p.state.Apply(r)
	}
}

// PublishTimeout is a sensible bound for the context of a Publish.
const PublishTimeout = 15 * time.Second
