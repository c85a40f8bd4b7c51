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

var recordsStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// EncodeSampleManifest returns the canonical text of a sample manifest with the
// given number of organisations.
func EncodeSampleManifest(organisations int) ([]byte, error) {
	return manifest.Encode(history.SampleManifestWith(3, organisations))
}

// NewManifestRecord returns the first record of a log, which proposes the sample
// manifest with the given number of organisations.
func NewManifestRecord(organisations int) (ports.Record, error) {
	text, err := EncodeSampleManifest(organisations)
	if err != nil {
		return ports.Record{}, err
	}
	data, err := ledger.Encode(ledger.RulesVersion, &ledger.ManifestRecord{Digest: manifest.DigestOfText(text), Manifest: text})
	return ports.Record{Offset: 1, Time: recordsStart, Data: data}, err
}

// SectionApplier returns a function that applies a record with a change of one
// organisation to a manifest with the given number of organisations, and the
// size of such a record in bytes.
func SectionApplier(organisations int) (apply func() error, bytes int, err error) {
	first, err := NewManifestRecord(organisations)
	if err != nil {
		return nil, 0, err
	}
	s := ledger.NewState(ledger.Options{})
	s.Apply(first)
	record := func() (ports.Record, error) {
		newShare := 1 + int(s.Next())%7
		text := fmt.Sprintf(`{"id":"organisation-1","key_hashes":["%064x"],"share":%d,"priorities":["batch"]}`, 1, newShare)
		b, err := ledger.NewSectionRecord(s.InForce(), manifest.SectionOrganisation, "organisation-1", []byte(text))
		if err != nil {
			return ports.Record{}, err
		}
		data, err := ledger.Encode(ledger.RulesVersion, b)
		return ports.Record{Offset: s.Next(), Time: recordsStart, Data: data}, err
	}
	sample, err := record()
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
			return fmt.Errorf("measure: section record was not accepted: %+v", d[0])
		}
		return nil
	}, len(sample.Data), nil
}

// NewClaimRecords returns records that each hold a batch of claims, as a daemon
// appends them.
func NewClaimRecords(records, claimsPerRecord int) ([]ports.Record, error) {
	request := ledger.HashID("request")
	var list []ports.Record
	for i := range records {
		at := recordsStart.Add(time.Duration(i) * 3 * time.Millisecond)
		b := &ledger.ClaimBatch{Writer: "entry-0001", Layout: ClaimLayout()}
		for j := range claimsPerRecord {
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

// ClaimLayout returns the partition layout that NewClaimRecords uses.
func ClaimLayout() ledger.Layout {
	return ledger.Layout{Partitions: 1, Window: manifest.Duration(claimWindow)}
}

// NewLeaseRecords returns the acquisition of a lease, followed by n-1 renewals.
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
		list = append(list, ports.Record{Offset: ports.Offset(i + 1), Time: recordsStart.Add(time.Duration(i) * 5 * time.Second), Data: data})
	}
	return list, nil
}

// LogReadBytes returns the bytes sent and received, HTTP included, by a read
// that finds no new record and by a read of one record of the given size.
func LogReadBytes(recordBytes int) (emptyRead, oneRecord int64, err error) {
	log := plog.New(plog.Options{AppendRate: -1})
	server := httptest.NewServer(plog.Handler(log, plog.NewVMs(nil, 0)))
	defer server.Close()
	var transferred atomic.Int64
	client, err := httplog.New(httplog.Options{BaseURL: server.URL, Token: "0123456789abcdef", Client: &http.Client{Transport: &http.Transport{DialContext: CountingDial(&transferred)}}})
	if err != nil {
		return 0, 0, err
	}
	read := func(from ports.Offset) (int64, error) {
		before := transferred.Load()
		_, err := client.Read(context.Background(), ledger.StreamManifest, from, 256)
		return transferred.Load() - before, err
	}
	if emptyRead, err = read(1); err != nil {
		return 0, 0, err
	}
	if _, err = client.Append(context.Background(), ledger.StreamManifest, make([]byte, recordBytes)); err != nil {
		return 0, 0, err
	}
	oneRecord, err = read(1)
	return emptyRead, oneRecord, err
}
