package measure

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/lab/history"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/ports/httplog"
)

var foldStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// EncodeSampleManifest is the canonical text of a manifest with so many organisations.
func EncodeSampleManifest(organisations int) ([]byte, error) {
	return manifest.Encode(history.SampleOf(3, organisations))
}

// NewManifestRecord is the log record that proposes such a manifest first.
func NewManifestRecord(organisations int) (ports.Record, error) {
	text, err := EncodeSampleManifest(organisations)
	if err != nil {
		return ports.Record{}, err
	}
	data, err := ledger.Encode(ledger.RulesVersion, &ledger.ManifestRecord{Digest: manifest.DigestOfText(text), Manifest: text})
	return ports.Record{Offset: 1, Time: foldStart, Data: data}, err
}

// SectionApplier returns a function that folds one change of one organisation of
// so many each time it is called, and the size of such a record.
func SectionApplier(organisations int) (fold func() error, bytes int, err error) {
	first, err := NewManifestRecord(organisations)
	if err != nil {
		return nil, 0, err
	}
	s := ledger.NewState(ledger.Options{})
	s.Apply(first)
	record := func() (ports.Record, error) {
		share := 1 + int(s.Next())%7
		text := fmt.Sprintf(`{"id":"organisation-1","key_hashes":["%064x"],"share":%d,"priorities":["batch"]}`, 1, share)
		b, err := ledger.NewSectionRecord(s.InForce(), manifest.SectionOrganisation, "organisation-1", []byte(text))
		if err != nil {
			return ports.Record{}, err
		}
		data, err := ledger.Encode(ledger.RulesVersion, b)
		return ports.Record{Offset: s.Next(), Time: foldStart, Data: data}, err
	}
	one, err := record()
	if err != nil {
		return nil, 0, err
	}
	return func() error {
		r, err := record()
		if err != nil {
			return err
		}
		d := s.Apply(r)
		if d[0].Outcome != ledger.Accepted {
			return fmt.Errorf("measure: %+v", d[0])
		}
		return nil
	}, len(one.Data), nil
}

// NewClaimRecords are batches of claims as daemons append them.
func NewClaimRecords(records, claimsEach int) ([]ports.Record, error) {
	request := ledger.HashID("request")
	var list []ports.Record
	for i := range records {
		at := foldStart.Add(time.Duration(i) * 3 * time.Millisecond)
		b := &ledger.ClaimBatch{Writer: "entry-0001", Layout: ClaimLayout()}
		for j := range claimsEach {
			b.Ops = append(b.Ops, ledger.ClaimOp{
				Verb: ledger.VerbClaim, Scope: ledger.HashID(fmt.Sprint(i), fmt.Sprint(j)), Attempt: ledger.HashID("attempt", fmt.Sprint(i), fmt.Sprint(j)),
				KeyTime: at.UnixMilli(), Request: &request,
			})
		}
		data, err := ledger.Encode(ledger.RulesVersion, b)
		if err != nil {
			return nil, err
		}
		list = append(list, ports.Record{Offset: ports.Offset(i + 1), Time: at, Data: data})
	}
	return list, nil
}

// ClaimLayout is the layout of ClaimRecords.
func ClaimLayout() ledger.Layout {
	return ledger.Layout{Partitions: 1, Window: manifest.Duration(claimWindow)}
}

// NewLeaseRecords are renewals of one lease after its acquisition.
func NewLeaseRecords(n int) ([]ports.Record, error) {
	var list []ports.Record
	for i := range n {
		b := &ledger.LeaseRecord{Op: ledger.LeaseRenew, Name: "orders", Holder: "entry-0001/1", TTL: manifest.Duration(15 * time.Second), Fence: 1, Serial: i}
		if i == 0 {
			b.Op = ledger.LeaseAcquire
		}
		data, err := ledger.Encode(ledger.RulesVersion, b)
		if err != nil {
			return nil, err
		}
		list = append(list, ports.Record{Offset: ports.Offset(i + 1), Time: foldStart.Add(time.Duration(i) * 5 * time.Second), Data: data})
	}
	return list, nil
}

// LogReadBytes is what one read at the end of a stream and one read of a single
// record of the given size put on the wire, both ways, HTTP included.
func LogReadBytes(recordBytes int) (idle, one int64, err error) {
	log := plog.New(plog.Options{AppendRate: -1})
	server := httptest.NewServer(plog.Handler(log, plog.NewVMs(nil, 0)))
	defer server.Close()
	var wire atomic.Int64
	client, err := httplog.New(httplog.Options{BaseURL: server.URL, Token: "0123456789abcdef", Client: &http.Client{Transport: &http.Transport{DialContext: CountingDial(&wire)}}})
	if err != nil {
		return 0, 0, err
	}
	read := func(from ports.Offset) (int64, error) {
		before := wire.Load()
		_, err := client.Read(context.Background(), ledger.StreamManifest, from, 256)
		return wire.Load() - before, err
	}
	if idle, err = read(1); err != nil {
		return 0, 0, err
	}
	if _, err = client.Append(context.Background(), ledger.StreamManifest, make([]byte, recordBytes)); err != nil {
		return 0, 0, err
	}
	one, err = read(1)
	return idle, one, err
}
