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

// PublishOutcome is the result of a publication.
type PublishOutcome string

// The outcomes of a publication.
const (
	PublishAccepted    PublishOutcome = "accepted"
	PublishRefused     PublishOutcome = "refused"
	PublishNotAppended PublishOutcome = "not_appended" // certainly without effect, now and later
	PublishUnknown     PublishOutcome = "unknown"      // may be accepted; publish the same again to find out
)

// PublishRequest proposes a manifest, or one section of it.
type PublishRequest struct {
	Base     ports.Offset // offset of the accepted manifest it is based on; 0 for the first
	Manifest manifest.Manifest
	// Section proposes a change of one section instead of a complete manifest; Base
	// and Manifest are then ignored. See ledger.NewSectionRecord.
	Section *ledger.SectionRecord
	Author  string
	// Checkpoint is the state to start from, needed when older records of the log
	// have expired. May be nil.
	Checkpoint *ledger.Checkpoint
	Seed       uint64 // of the jitter of retries
}

// PublishResult is the outcome of a publication with its details.
type PublishResult struct {
	Outcome       PublishOutcome  `json:"outcome"`
	Offset        ports.Offset    `json:"offset,omitempty"` // of the record with the manifest
	ConflictsWith ports.Offset    `json:"by,omitempty"`     // refused: the record that was accepted first
	Latest        ports.Offset    `json:"latest,omitempty"` // the manifest in force at the end of the publication
	Reason        ledger.Reason   `json:"reason,omitempty"`
	Detail        string          `json:"detail,omitempty"`
	Digest        manifest.Digest `json:"digest"`
}

// Publish appends a manifest and reads the log until the outcome is certain or
// the context ends. It may be called again with the same request and then returns
// the same outcome: a record that was appended twice is accepted once. It returns
// an error only for a request that is invalid in itself.
func Publish(ctx context.Context, log ports.Log, req PublishRequest) (PublishResult, error) {
	r, _, err := publish(ctx, log, req)
	return r, err
}

// publish is Publish; it also returns the state from which the result was read.
func publish(ctx context.Context, log ports.Log, req PublishRequest) (PublishResult, *ledger.State, error) {
	p, err := newPublisher(log, req)
	if err != nil {
		return PublishResult{}, nil, err
	}
	r := p.publish(ctx)
	r.Digest = p.proposal.digest
	r.Latest = p.state.Revision().Offset
	return r, p.state, nil
}

type publisher struct {
	log           ports.Log
	state         *ledger.State
	proposal      proposal
	data          []byte
	reads         backoff
	writes        backoff // separate from reads, whose success does not imply that appends work
	maybeAppended bool    // at least one append may have taken effect
	limit         int     // records requested in one read
}

// proposal identifies the published record among the decisions of ledger.State.
type proposal struct {
	kind    ledger.Kind
	section string
	base    ports.Offset
	digest  manifest.Digest
	key     manifest.Digest // digest in the list of recent acceptances
}

func (p *proposal) matches(d ledger.Decision) bool {
	return d.Kind == p.kind && d.Section == p.section && d.Base == p.base && d.Digest == p.digest
}

func newPublisher(log ports.Log, req PublishRequest) (*publisher, error) {
	proposed, body, err := propose(req)
	if err != nil {
		return nil, eris.Wrap(err, "logio: publish")
	}
	data, err := ledger.Encode(ledger.RulesVersion, body)
	if err != nil {
		return nil, eris.Wrap(err, "logio: publish")
	}
	p := &publisher{log: log, proposal: proposed, data: data, state: ledger.NewState(ledger.Options{Lazy: true}), limit: maxPageRecords}
	p.reads.random = newRand(req.Seed)
	p.writes.random = p.reads.random
	if req.Checkpoint == nil {
		return p, nil
	}
	_, err = p.state.Adopt(*req.Checkpoint)
	return p, eris.Wrap(err, "logio: publish")
}

func propose(req PublishRequest) (proposal, ledger.Body, error) {
	if s := req.Section; s != nil {
		return proposal{kind: ledger.KindSection, section: s.SectionName(), base: s.Base, digest: s.Digest, key: s.ChangeDigest()}, s, nil
	}
	if err := manifest.Check(req.Manifest); err != nil {
		return proposal{}, nil, err
	}
	text, err := manifest.Encode(req.Manifest)
	if err != nil {
		return proposal{}, nil, err
	}
	digest := manifest.DigestOfText(text)
	record := &ledger.ManifestRecord{Base: req.Base, Digest: digest, Author: req.Author, Manifest: text}
	return proposal{kind: ledger.KindManifest, base: req.Base, digest: digest, key: digest}, record, nil
}

func (p *publisher) publish(ctx context.Context) PublishResult {
	if err := p.catchUp(ctx, 0); err != nil {
		return p.unresolved(err.Error())
	}
	if !p.state.CanDecide() {
		return PublishResult{Outcome: PublishNotAppended, Reason: ledger.ReasonGap}
	}
	if r, ok := p.outcome(); ok {
		return r
	}
	if latest := p.state.Revision().Offset; latest != p.proposal.base && p.proposal.kind == ledger.KindManifest {
		return PublishResult{Outcome: PublishRefused, Reason: ledger.ReasonStale, ConflictsWith: latest}
	}
	for {
		offset, err := p.log.Append(ctx, ledger.StreamManifest, p.data)
		p.maybeAppended = p.maybeAppended || !errors.Is(err, ports.ErrNotAppended)
		if err == nil || p.maybeAppended {
			// After a lost answer the log may already hold the record; if
			// not, it is appended again.
			err = errors.Join(err, p.catchUp(ctx, offset))
		}
		if r, ok := p.outcome(); ok {
			return r
		}
		if ctx.Err() != nil {
			return p.unresolved(err.Error())
		}
		if waitErr := p.writes.wait(ctx); waitErr != nil {
			return p.unresolved(errors.Join(err, waitErr).Error())
		}
	}
}

func (p *publisher) unresolved(detail string) PublishResult {
	if p.maybeAppended {
		return PublishResult{Outcome: PublishUnknown, Detail: detail}
	}
	return PublishResult{Outcome: PublishNotAppended, Detail: detail}
}

// outcome searches the decisions read so far for the proposal, and returns false if
// there is none. An acceptance takes precedence over a refusal, as a repetition of
// an accepted record may come too late to be recognised as one.
func (p *publisher) outcome() (PublishResult, bool) {
	for _, a := range p.state.Recent() {
		if a.Digest == p.proposal.key && a.Base == p.proposal.base {
			return PublishResult{Outcome: PublishAccepted, Offset: a.Offset}, true
		}
	}
	var found PublishResult
	for _, d := range p.state.History() {
		if !p.proposal.matches(d) {
			continue
		}
		switch d.Outcome {
		case ledger.Repeated:
			return PublishResult{Outcome: PublishAccepted, Offset: d.By}, true
		case ledger.Refused:
			found = PublishResult{Outcome: PublishRefused, Offset: d.Offset, ConflictsWith: d.By, Reason: d.Reason, Detail: d.Detail}
		}
	}
	if v := p.state.InForce(); found.Outcome == "" && v != nil && v.Revision.Digest == p.proposal.digest {
		return PublishResult{Outcome: PublishAccepted, Offset: v.Revision.Offset}, true
	}
	return found, found.Outcome != ""
}

// catchUp applies the log's records up to its end, and at least through the given
// offset.
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
			p.apply(page.Records)
			if p.state.Next() >= page.Next && p.state.Next() > through {
				p.state.UseNewestCheckpoint()
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

func (p *publisher) apply(records []ports.Record) {
	for _, r := range records {
		p.state.Apply(r)
	}
}

// PublishTimeout is the recommended timeout for the context of Publish.
const PublishTimeout = 15 * time.Second
