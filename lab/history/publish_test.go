package history

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

func publish(t *testing.T, log ports.Log, base ports.Offset, loads int) logio.PublishResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), logio.PublishTimeout)
	defer cancel()
	r, err := logio.Publish(ctx, log, logio.PublishRequest{Base: base, Manifest: SampleManifest(loads)})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestPublishOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := plog.New(plog.Options{})
		check := func(r logio.PublishResult, o logio.PublishOutcome, offset, by ports.Offset) {
			t.Helper()
			if r.Outcome != o || r.Offset != offset || r.ConflictsWith != by {
				t.Fatalf("got %+v, want %s at %d by %d", r, o, offset, by)
			}
		}
		check(publish(t, log, 0, 1), logio.PublishAccepted, 1, 0)
		check(publish(t, log, 0, 2), logio.PublishRefused, 0, 1)
		log.LoseAnswers(2)
		check(publish(t, log, 1, 3), logio.PublishAccepted, 2, 0)
		check(publish(t, log, 1, 3), logio.PublishAccepted, 2, 0)
		log.SetOutage(true)
		check(publish(t, log, 2, 4), logio.PublishNotAppended, 0, 0)
		log.SetOutage(false)

		// The log appends the record, and then the connection to the log is lost.
		disconnected := log.View()
		log.LoseAnswers(1)
		done := make(chan logio.PublishResult)
		go func() { done <- publish(t, &disconnectAfterAppend{disconnected}, 2, 5) }()
		check(<-done, logio.PublishUnknown, 0, 0)
		check(publish(t, log, 2, 5), logio.PublishAccepted, log.Head(ledger.StreamManifest)-1, 0)
	})
}

// disconnectAfterAppend is a log whose connection is lost after the first append.
type disconnectAfterAppend struct{ *plog.View }

func (c *disconnectAfterAppend) Append(ctx context.Context, s ports.Stream, data []byte) (ports.Offset, error) {
	defer c.Disconnect()
	return c.View.Append(ctx, s, data)
}

func TestManifestCheckpointBeforeExpiry(t *testing.T) {
	// A manifest is published once, and nothing else for a day. Its record expires
	// after an hour. A daemon that starts after a day must still find the manifest,
	// and the checkpoints that ensure it must be few.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := plog.New(plog.Options{Retention: Retention})
		if r := publish(t, log, 0, 1); r.Outcome != logio.PublishAccepted {
			t.Fatal(r)
		}
		for seed := range uint64(3) {
			go func() {
				_ = logio.NewManifests(logio.ManifestsOptions{Log: log, Seed: seed, Poll: 10 * time.Second}).Run(ctx)
			}()
		}
		time.Sleep(24 * time.Hour)
		appended := log.Counts().Appends
		late := logio.NewManifests(logio.ManifestsOptions{Log: log, Seed: 9})
		go func() { _ = late.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if v := late.InForce(); v == nil || v.Revision.Offset != 1 {
			t.Fatalf("manifest in force at the daemon that started late: %+v", v)
		}
		if appended > 100 {
			t.Fatalf("%d appends in a day without publications, want at most 100", appended)
		}
		cancel()
		synctest.Wait()
	})
}

func TestSectionPublishedOnceAfterLostAnswer(t *testing.T) {
	// The share of one organisation among 500 changes, and the answer to the append
	// is lost. The operator must get the true outcome, and daemons must apply the
	// change without reading the other organisations again.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := plog.New(plog.Options{Retention: Retention})
		a := logio.NewManifests(logio.ManifestsOptions{Log: log, Seed: 1, Poll: time.Second})
		b := logio.NewManifests(logio.ManifestsOptions{Log: log, Seed: 2, Poll: time.Second})
		go func() { _ = a.Run(ctx) }()
		go func() { _ = b.Run(ctx) }()
		if _, err := a.Publish(ctx, 0, SampleManifestWith(1, 500), ""); err != nil {
			t.Fatal(err)
		}
		before := log.Counts().BytesIn
		text := []byte(`{"id":"organisation-7","key_hashes":["` + strings.Repeat("ab", 32) + `"],"share":5,"priorities":["batch"]}`)
		change, err := ledger.NewSectionRecord(a.InForce(), manifest.SectionOrganisation, "organisation-7", text)
		if err != nil {
			t.Fatal(err)
		}
		log.LoseAnswers(1)
		if r, err := a.PublishSection(ctx, change); err != nil || r.Outcome != logio.PublishAccepted || r.Offset != 2 {
			t.Fatalf("result %+v, %v", r, err)
		}
		time.Sleep(3 * time.Second)
		if v := b.InForce(); v.Revision.Offset != 2 || v.Manifest.Organisations[7].Share != 5 {
			t.Fatalf("revision in force: %+v", v.Revision)
		}
		if n := log.Counts().BytesIn - before; n > 2048 {
			t.Fatalf("the change took %d bytes, want at most 2048", n)
		}
		cancel()
		synctest.Wait()
	})
}

func TestFirstManifestAfterExpiredInvalidRecord(t *testing.T) {
	// The first record of the stream is not a manifest, and it expires before
	// anything else is published. An operator must still be able to publish a day
	// later.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := plog.New(plog.Options{Retention: Retention})
		if _, err := log.Append(ctx, ledger.StreamManifest, []byte("no manifest")); err != nil {
			t.Fatal(err)
		}
		go func() {
			_ = logio.NewManifests(logio.ManifestsOptions{Log: log, Seed: 1, Poll: 10 * time.Second, Retention: Retention}).Run(ctx)
		}()
		time.Sleep(24 * time.Hour)
		if r := publish(t, log, 0, 1); r.Outcome != logio.PublishAccepted {
			t.Fatalf("result %+v", r)
		}
		cancel()
		synctest.Wait()
	})
}
