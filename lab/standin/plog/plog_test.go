package plog

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/ports/httplog"
)

const s = ports.Stream("manifest")

func client(t *testing.T, l *Log, v *VMs) *httplog.Client {
	t.Helper()
	server := httptest.NewServer(Handler(l, v))
	t.Cleanup(server.Close)
	c, err := httplog.New(httplog.Options{BaseURL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestClientAgainstStandIn(t *testing.T) {
	ctx := t.Context()
	l, v := New(Options{AppendRate: -1}), NewVMs(nil, 0)
	c := client(t, l, v)
	for i := range 3 {
		o, err := c.Append(ctx, s, []byte{byte(i)})
		if err != nil || o != ports.Offset(i+1) {
			t.Fatalf("append %d: offset %d, %v", i, o, err)
		}
	}
	l.Truncate(s, 2)
	var truncated *ports.TruncatedError
	if _, err := c.Read(ctx, s, 1, 10); !errors.As(err, &truncated) || truncated.First != 2 {
		t.Fatalf("read of expired records: %v", err)
	}
	page, err := c.Read(ctx, s, 2, 10)
	if err != nil || len(page.Records) != 2 || page.Next != 4 || page.Records[1].Data[0] != 2 {
		t.Fatalf("page %+v, %v", page, err)
	}
	want := []fleet.Endpoint{{ID: "r1", Zone: "quebec-est-a", Address: "127.0.0.1:1", State: fleet.VMLive}}
	v.Set(want, []ports.Daemon{{ID: "d1"}})
	got, err := c.Endpoints(ctx)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatal(diff, err)
	}
}

func TestClientDistinguishesNotAppendedFromUnknown(t *testing.T) {
	// The log either refuses an append, or appends the record and loses the answer.
	// A client that confused the two would report a call as not run although its
	// record is in the log.
	ctx := t.Context()
	l := New(Options{AppendRate: -1})
	c := client(t, l, NewVMs(nil, 0))
	l.SetOutage(true)
	if _, err := c.Append(ctx, s, nil); !errors.Is(err, ports.ErrNotAppended) {
		t.Fatalf("outage: %v", err)
	}
	l.SetOutage(false)
	l.LoseAnswers(1)
	if _, err := c.Append(ctx, s, nil); !errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrNotAppended) {
		t.Fatalf("lost answer: %v", err)
	}
	if l.Counts().Appends != 1 {
		t.Fatal("the append whose answer was lost had no effect")
	}
	unreachable, err := httplog.New(httplog.Options{BaseURL: "http://127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unreachable.Append(ctx, s, nil); !errors.Is(err, ports.ErrNotAppended) {
		t.Fatalf("no connection: %v", err)
	}
}

func TestInjectedFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		l := New(Options{Retention: time.Hour, AppendRate: 10})
		if _, err := l.Append(ctx, s, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := l.Append(ctx, s, nil); !errors.Is(err, ports.ErrNotAppended) {
			t.Fatalf("over the rate: %v", err)
		}
		l.OutageFor(10 * time.Minute)
		if _, err := l.Read(ctx, s, 1, 1); !errors.Is(err, ports.ErrUnavailable) {
			t.Fatalf("outage: %v", err)
		}
		time.Sleep(10 * time.Minute)
		if _, err := l.Append(ctx, s, nil); err != nil {
			t.Fatal(err)
		}
		l.RepeatReads(1)
		if p, err := l.Read(ctx, s, 3, 10); err != nil || len(p.Records) != 2 {
			t.Fatalf("duplicate delivery: %+v %v", p, err)
		}
		time.Sleep(time.Second)
		l.SetDelay(time.Minute)
		slow, cancel := context.WithTimeout(ctx, 40*time.Second)
		defer cancel()
		if _, err := l.Append(slow, s, nil); !errors.Is(err, ports.ErrUnavailable) || l.Counts().Appends != 3 {
			t.Fatalf("slowness: %v", err)
		}
		l.SetDelay(0)
		time.Sleep(time.Hour)
		if p, err := l.Read(ctx, s, 4, 1); err != nil || p.First != 4 || p.Next != 4 {
			t.Fatalf("retention: %+v %v", p, err)
		}
	})
}
