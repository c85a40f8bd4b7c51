package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/merlindock/merlindock/cacheevents"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/rollout"
)

// Intervals and limits of the maintenance of the fleet view.
const (
	baseTickInterval = 200 * time.Millisecond
	tickPerEndpoint  = 250 * time.Microsecond // added to the interval for each endpoint
	probeBurst       = 8
	// probesPerSecond limits how many endpoints are asked for their load. A
	// probe takes 404 bytes on the wire (docs/CAPACITY.md): probing 22
	// endpoints every second would take three times the control traffic that a
	// daemon may cause. Daemons probe different endpoints and report a leaving
	// endpoint to each other at once, so nine daemons together still probe each
	// endpoint about once a second.
	probesPerSecond  = 2
	announceInterval = 100 * time.Millisecond
	evidenceWindow   = 10 * time.Second
	maxEvidence      = 32
)

// fleetView is this daemon's local state of the endpoints: the platform's list
// merged with what the endpoints report, their health, and the prefix locations
// that placement has observed.
type fleetView struct {
	daemon *Daemon
	client *engine.Client
	log    *logging.Logger
	now    func() time.Time

	placement *placement.SharedView

	probeBudget *rate.Limiter

	mu            sync.Mutex // guards the fields below
	members       *fleet.Membership
	manifest      *manifest.Manifest
	listed        bool // a platform list with endpoints has been read
	poolsStale    bool // pools must be computed again
	pools         map[string][]fleet.Endpoint
	capacity      map[string]capacity // by model
	versionGroups map[string][]rollout.VersionGroup
	reports       map[fleet.EndpointID]endpointReport
	availability  map[fleet.EndpointID]placement.Availability
	all           []fleet.Member // as of the last refresh, ordered by ID
	usable        []fleet.Member // subset of all that may receive requests
	failing       []fleet.EndpointID
	endpoints     map[fleet.EndpointID]fleet.Endpoint

	healthMu sync.Mutex
	health   *health.Tracker

	events        *cacheevents.Follower
	countedEvents cacheevents.Stats // statistics already added to the metrics; used by tick only

	splitters *sync.Pool // of *prefix.Splitter; the pointer is guarded by mu
	ids       requestIDs
}

func newFleetView(d *Daemon, client *engine.Client) *fleetView {
	s := d.o.Settings
	v := &fleetView{
		daemon:       d,
		client:       client,
		log:          d.o.Logs.For(logging.ComponentFleet),
		now:          d.o.Now,
		members:      fleet.NewMembership(fleet.MembershipOptions{ProbeAfter: s.Routing.LoadInterval}),
		pools:        map[string][]fleet.Endpoint{},
		availability: map[fleet.EndpointID]placement.Availability{},
		probeBudget:  rate.NewLimiter(probesPerSecond, probeBurst),
		reports:      map[fleet.EndpointID]endpointReport{},
		endpoints:    map[fleet.EndpointID]fleet.Endpoint{},
		health:       health.New(health.Options{Rand: newRand(s.Daemon.ID, d.startedAt)}),
	}
	v.placement = placement.NewSharedView(placement.Options{
		Zone:        s.Daemon.Zone,
		PrefillRate: s.Routing.RunnerTokens,
		MaxPrefixes: s.Routing.Prefixes,
	})
	v.splitters = &sync.Pool{New: func() any { return prefix.NewSplitter(prefix.Options{}) }}
	v.events = newEventFollower(d, v.placement)
	return v
}

// setManifest applies a new manifest: the pools and the parameters of prefix
// splitting.
func (v *fleetView) setManifest(m *manifest.Manifest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.manifest = m
	v.poolsStale = true
	options := prefix.Options{PieceTokens: m.Fleet.PieceTokens, BytesPerToken: m.Fleet.BytesPerToken}
	v.splitters = &sync.Pool{New: func() any { return prefix.NewSplitter(options) }}
	v.refresh()
}

// run maintains the view and sends placement announcements until ctx ends.
func (v *fleetView) run(ctx context.Context) error {
	go v.pollList(ctx)
	defer v.events.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	announcements := time.NewTicker(announceInterval)
	defer announcements.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-announcements.C:
			v.announcePlacements()
			continue
		case <-timer.C:
		}
		v.tick(ctx)
		timer.Reset(v.tickInterval())
	}
}

// tickInterval returns the time between ticks. It grows with the fleet, so that
// the maintenance of thousands of endpoints takes a small fraction of a core.
// Endpoints that leave do not wait for a tick: their own reports and the
// platform's list stop new requests to them at once.
func (v *fleetView) tickInterval() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return baseTickInterval + time.Duration(v.members.Len())*tickPerEndpoint
}

// pollList reads the platform's lists periodically until ctx ends. A failed
// read changes nothing: the endpoints' own reports show whether they serve.
func (v *fleetView) pollList(ctx context.Context) {
	ticker := time.NewTicker(v.daemon.o.Settings.Platform.ListInterval)
	defer ticker.Stop()
	for {
		list, err := v.daemon.o.VMs.Endpoints(ctx)
		if err != nil {
			v.log.Debug("VM list could not be read.", "error", err.Error())
		} else {
			v.setList(list)
		}
		v.daemon.readDaemons(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (v *fleetView) setList(list []fleet.Endpoint) {
	now := v.now()
	v.healthMu.Lock()
	v.health.Sync(now, list)
	v.healthMu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = v.listed || len(list) > 0
	v.applyChanges(v.members.SetList(now, list))
	v.refresh()
}

// applyChanges logs membership changes and marks the pools as stale. Endpoints
// that leave or have restarted are reported to the neighbours at once. The
// caller holds v.mu.
func (v *fleetView) applyChanges(changes []fleet.Change) {
	v.poolsStale = v.poolsStale || len(changes) > 0
	for _, c := range changes {
		if c.Kind == fleet.ChangeLeaving || c.Kind == fleet.ChangeRestarted {
			v.daemon.peers.AnnounceEvidence()
		}
		v.log.Info("Endpoint changed.", "endpoint", string(c.Endpoint), "change", string(c.Kind))
	}
}

func (v *fleetView) tick(ctx context.Context) {
	now := v.now()
	v.placement.Expire(now)
	v.mu.Lock()
	v.applyChanges(v.members.Expire(now))
	probes := v.members.Probes(now, v.takeProbes(now))
	for i := range probes {
		v.members.RecordProbe(now, probes[i].ID)
	}
	v.refresh()
	loads := v.loads()
	runners := v.poolEndpoints()
	v.mu.Unlock()
	v.events.SetEndpoints(runners)
	v.updateEventMetrics()
	for model, l := range loads {
		v.daemon.admission.setLoad(model, l.requests, l.slots)
	}
	for _, e := range probes {
		go v.probe(ctx, e)
	}
}

// takeProbes takes up to probeBurst probes from the budget and returns their
// number.
func (v *fleetView) takeProbes(now time.Time) int {
	n := 0
	for n < probeBurst && v.probeBudget.AllowN(now, 1) {
		n++
	}
	return n
}

// probe asks an endpoint for its load if no recent answer contained it.
func (v *fleetView) probe(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, fleet.DefaultProbeAfter)
	defer cancel()
	load, err := readLoad(ctx, v.client, e)
	if err != nil {
		v.recordRefusal(e.ID)
		return
	}
	v.applyReport(e.ID, load)
	v.healthMu.Lock()
	v.health.RecordProbe(v.now(), e.ID, load.Incarnation)
	v.healthMu.Unlock()
}

// applyReport applies a load report that an endpoint has just sent.
func (v *fleetView) applyReport(id fleet.EndpointID, l fleet.Load) {
	now := v.now()
	l.At = now
	v.mu.Lock()
	v.applyChanges(v.members.ApplyReport(now, id, l))
	if last := v.reports[id]; last.slots != l.Slots || !slices.Equal(last.weights, l.Weights) {
		v.reports[id] = endpointReport{weights: l.Weights, slots: l.Slots}
		v.poolsStale = true
	}
	v.mu.Unlock()
	v.placement.LoadReported(id, l)
	v.healthMu.Lock()
	v.health.UpdateLoad(now, id, l)
	v.healthMu.Unlock()
}

func (v *fleetView) recordRefusal(id fleet.EndpointID) {
	now := v.now()
	v.mu.Lock()
	v.members.RecordRefusal(now, id)
	v.mu.Unlock()
	v.healthMu.Lock()
	v.health.RecordFailure(now, id, 0)
	v.healthMu.Unlock()
}

// hasEndpoints reports whether at least one endpoint is known.
func (v *fleetView) hasEndpoints() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.endpoints) > 0
}

// clampPriority limits a priority from outside to the range of valid
// priorities, which are used as indices.
func clampPriority(p contract.Priority) contract.Priority {
	return min(max(p, 0), contract.PriorityCount-1)
}
