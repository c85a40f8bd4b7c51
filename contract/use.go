package contract

import (
	"slices"
	"strings"
	"time"
)

// OrganisationUse compares an organisation's use of this daemon with its
// guarantee. Rates are in tokens per second.
type OrganisationUse struct {
	Organisation OrganisationID `json:"organisation"`
	Share        float64        `json:"share"`     // fraction of the fleet by the contract
	Fraction     float64        `json:"fraction"`  // of its demand that arrives at this daemon
	Guarantee    float64        `json:"guarantee"` // rate guaranteed by the contract at this daemon
	Demand       float64        `json:"demand"`    // rate of the offered work
	Use          float64        `json:"use"`       // rate of the admitted work
	Queued       int            `json:"queued"`
	Running      int            `json:"running"`
	Counts       Counts         `json:"counts"`
}

// UseReport is the state of admission for the administration API and the dump.
type UseReport struct {
	FleetFraction float64           `json:"part"` // of the fleet's capacity that this daemon may use
	Slots         int               `json:"slots"`
	Reserve       int               `json:"reserve"`
	Rate          float64           `json:"rate"`
	Running       int               `json:"running"`
	Queued        int               `json:"queued"`
	Daemons       int               `json:"daemons"`
	Silent        int               `json:"silent"` // peers without a recent digest
	Organisations []OrganisationUse `json:"organisations"`
	Omitted       int               `json:"omitted"` // active organisations beyond the limit
}

// Use returns the state of admission with at most limit organisations, those with
// the highest use first.
func (a *Admission) Use(now time.Time, limit int) UseReport {
	a.advance(now)
	slots := a.localSlots()
	r := UseReport{
		FleetFraction: a.fleetFraction, Slots: slots, Reserve: a.reserve(slots), Rate: a.localRate(),
		Running: a.running, Queued: a.backlog.queued, Daemons: a.liveDaemons(), Silent: a.silentPeers(),
	}
	for _, o := range a.activeList {
		r.Organisations = append(r.Organisations, a.useOf(o))
	}
	slices.SortFunc(r.Organisations, func(x, y OrganisationUse) int {
		if x.Use != y.Use {
			if x.Use > y.Use {
				return -1
			}
			return 1
		}
		return strings.Compare(string(x.Organisation), string(y.Organisation))
	})
	if over := len(r.Organisations) - max(limit, 0); over > 0 {
		r.Omitted = over
		r.Organisations = r.Organisations[:len(r.Organisations)-over]
	}
	return r
}

func (a *Admission) useOf(o *organisation) OrganisationUse {
	constant := a.opts.MeterConstant.Seconds()
	u := OrganisationUse{
		Organisation: o.id, Fraction: o.fraction, Guarantee: a.guarantee(o),
		Demand: a.demand(o), Use: o.use.decayedRate(a.clock, constant),
		Running: o.running, Counts: o.counts,
	}
	if a.totalWeight > 0 {
		u.Share = o.contractWeight / a.totalWeight
	}
	for p := range o.queues {
		u.Queued += o.queues[p].n
	}
	return u
}
