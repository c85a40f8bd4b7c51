package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/admin"
	"github.com/merlindock/merlindock/cacheevents"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/orders"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/settings"
)

// Maximum lengths of lists in the administration API.
const (
	maxListedOrganisations = 1000
	maxListedEndpoints     = 10_000
)

// system implements admin.System for a Daemon.
type system Daemon

// Live implements admin.System.
func (s *system) Live() error { return nil }

// Ready implements admin.System.
func (s *system) Ready() error {
	switch {
	case !s.shutdown.ready():
		return eris.New("the daemon shuts down")
	case s.catalogue.index() == nil:
		return eris.New("no manifest is known yet")
	case !s.fleet.hasEndpoints():
		return eris.New("no endpoint is known yet")
	}
	return nil
}

// Manifest implements admin.System.
func (s *system) Manifest() (admin.Revision, *manifest.Manifest, error) {
	v := s.manifests.InForce()
	if v == nil {
		return admin.Revision{}, nil, eris.New("no manifest is in force yet")
	}
	return adminRevision(v.Revision), &v.Manifest, nil
}

func adminRevision(r ledger.Revision) admin.Revision {
	return admin.Revision{Offset: r.Offset, Digest: string(r.Digest)}
}

// History implements admin.System. A manifest that was adopted with a
// checkpoint, from a neighbour or by publishing it here, has no decision in the
// history, so it is listed from the accepted revisions of the checkpoint.
func (s *system) History() []admin.Publication {
	byOffset := map[ports.Offset]admin.Publication{}
	if checkpoint, ok := s.manifests.Checkpoint(); ok {
		for _, a := range checkpoint.Recent {
			byOffset[a.Offset] = admin.Publication{
				Outcome:  admin.OutcomeAccepted,
				Revision: admin.Revision{Offset: a.Offset, Digest: string(a.Digest)},
				Base:     a.Base,
			}
		}
	}
	for _, d := range s.manifests.Status().History {
		if d.Kind == ledger.KindManifest || d.Kind == ledger.KindSection {
			byOffset[d.Offset] = adminPublication(d)
		}
	}
	list := slices.Collect(maps.Values(byOffset))
	slices.SortFunc(list, func(a, b admin.Publication) int { return cmp.Compare(a.Revision.Offset, b.Revision.Offset) })
	return list
}

func adminPublication(d ledger.Decision) admin.Publication {
	return admin.Publication{
		Outcome:   admin.Outcome(d.Outcome),
		Revision:  admin.Revision{Offset: d.Offset, Digest: string(d.Digest)},
		Base:      d.Base,
		RefusedBy: refusedBy(d.Outcome != ledger.Accepted, d.By),
		Reason:    string(d.Reason),
	}
}

func refusedBy(refused bool, by ports.Offset) ports.Offset {
	if refused {
		return by
	}
	return 0
}

// endpointView is an endpoint in the administration API.
type endpointView struct {
	fleet.Member
	Gate string `json:"gate"`
}

// Endpoints implements admin.System.
func (s *system) Endpoints() any {
	v := s.fleet
	v.mu.Lock()
	defer v.mu.Unlock()
	list := []endpointView{}
	for _, m := range v.members.All(v.now()) {
		if len(list) == maxListedEndpoints {
			break
		}
		list = append(list, endpointView{Member: m, Gate: v.availability[m.ID].String()})
	}
	return list
}

// Organisations implements admin.System.
func (s *system) Organisations() any {
	usage := map[string]contract.UseReport{}
	for name, p := range s.admission.listPools() {
		p.mu.Lock()
		usage[name] = p.core.Use(p.now(), maxListedOrganisations)
		p.mu.Unlock()
	}
	return usage
}

// Drain implements admin.System.
func (s *system) Drain() { (*Daemon)(s).Drain() }

// dump is the state of the daemon for diagnosis. It contains no prompts and no
// API keys.
type dump struct {
	At            time.Time               `json:"at"`
	Started       time.Time               `json:"started"`
	Settings      settings.Settings       `json:"settings"`
	Open          int                     `json:"open_requests"`
	Ready         bool                    `json:"ready"`
	Manifest      logio.ManifestsStatus   `json:"manifest"`
	Endpoints     any                     `json:"endpoints"`
	Placement     placement.Dump          `json:"placement"`
	CacheEvents   cacheevents.Stats       `json:"cache_events"`
	Health        []health.EndpointHealth `json:"health"`
	Organisations any                     `json:"organisations"`
	Daemons       []ports.Daemon          `json:"daemons"`
	Neighbours    []ports.Daemon          `json:"neighbours"`
	Senders       []neighbour.Sender      `json:"senders"`
	Orders        orders.Report           `json:"orders"` // the plan is empty on daemons without the lease
}

// Dump implements admin.System.
func (s *system) Dump() any {
	now := s.o.Now()
	s.fleet.healthMu.Lock()
	state := s.fleet.health.Snapshot(now, maxListedEndpoints)
	s.fleet.healthMu.Unlock()
	return dump{
		At:            now,
		Started:       s.startedAt,
		Settings:      s.o.Settings,
		Open:          s.drainer.InFlight(),
		Ready:         s.Ready() == nil,
		Manifest:      s.manifests.Status(),
		Endpoints:     s.Endpoints(),
		Placement:     s.fleet.placement.Dump(now),
		CacheEvents:   s.fleet.events.Stats(),
		Health:        state,
		Organisations: s.Organisations(),
		Daemons:       s.daemons.get(),
		Neighbours:    s.peers.Neighbours(),
		Senders:       s.peers.Senders(),
		Orders:        s.orderLeader.leader.Report(),
	}
}

// Revision returns the revision of the manifest in force, with offset 0 before
// the first manifest.
func (d *Daemon) Revision() ledger.Revision {
	if v := d.manifests.InForce(); v != nil {
		return v.Revision
	}
	return ledger.Revision{}
}
