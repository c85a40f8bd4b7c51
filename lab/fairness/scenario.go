package fairness

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// Policy names an admission policy.
type Policy string

// Admission policies.
const (
	PolicyContract  Policy = "contract" // contract.Admission
	PolicyNoDigests Policy = "no_peers" // contract.Admission without digests between daemons
	PolicyOpen      Policy = "open"
	PolicyFIFO      Policy = "fifo"
	PolicyStatic    Policy = "static"
)

// Policies lists all policies, the daemon's own first.
var Policies = []Policy{PolicyContract, PolicyNoDigests, PolicyOpen, PolicyFIFO, PolicyStatic}

// Flow is the demand of one organisation at one priority.
type Flow struct {
	Priority contract.Priority
	Rate     func(now time.Duration) float64 // requests per second over all daemons
	Prefill  float64                         // mean prompt tokens that are not cached
	Decode   float64                         // mean generated tokens
}

// Organisation is one organisation of a scenario, with its share and demand.
type Organisation struct {
	ID    contract.OrganisationID
	Share float64
	Flows []Flow
	// Spread holds the relative number of its requests at each daemon. If empty,
	// they are spread evenly.
	Spread []float64
}

// Scenario holds the parameters of a run.
type Scenario struct {
	Policy        Policy
	Seed          uint64
	Daemons       int
	Engines       EngineOptions
	Rate          float64 // capacity of the fleet as configured at the daemons, tokens per second
	Organisations []Organisation
	Length        time.Duration
	WarmUp        time.Duration // requests first offered before its end are not measured
	CoolDown      time.Duration // requests first offered in this last period are not measured

	DigestEvery      time.Duration
	DigestLoss       float64
	CrashedDaemon    int           // dies at FaultAt, its callers use the others; -1: none
	IsolatedDaemon   int           // loses its connections to the others at FaultAt; -1: none
	FaultAt          time.Duration // time of the faults
	ExpelSilentPeers bool          // each daemon counts silent peers as crashed; not done by the product
	MaxRetries       int           // retries of a refused request, each after Retry-After
	Window           time.Duration // length of a Window in the result; 0: no windows
}

// Constant returns a rate that does not change.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Between returns a rate that applies from one time until another and is zero
// otherwise.
func Between(from, to time.Duration, rate float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < from || now >= to {
			return 0
		}
		return rate
	}
}

// meanTokens returns the mean tokens of a request of the flow.
func (f *Flow) meanTokens() float64 { return f.Prefill + f.Decode }

// drawTokens draws a request's tokens from a log-uniform distribution with the
// given mean, whose largest value is four times the smallest.
func drawTokens(rng *rand.Rand, mean float64) float64 {
	return mean * math.Exp((rng.Float64()-0.5)*2*math.Ln2) * drawScale
}

// drawScale scales the log-uniform distribution from 0.5 to 2 to a mean of 1.
const drawScale = 2 * math.Ln2 / 1.5

// Tsukushi returns an overload of eight organisations, a few of them large, of
// which one asks for three times its share. Of each organisation's work, 40% is
// interactive and 60% is batch.
func Tsukushi(policy Policy, seed uint64) Scenario {
	const capacity = 46_000 // tokens per second that the engines reach with this mix of requests
	s := Scenario{
		Policy: policy, Seed: seed, Daemons: 9, Rate: capacity,
		Engines: EngineOptions{Count: 9, Slots: 16, Prefill: 9000, Decode: 40},
		Length:  240 * time.Second, WarmUp: 20 * time.Second, CoolDown: 30 * time.Second, DigestEvery: time.Second,
		CrashedDaemon: -1, IsolatedDaemon: -1, MaxRetries: 1,
	}
	shares := []float64{0.30, 0.20, 0.15, 0.10, 0.10, 0.05, 0.05, 0.05}
	for i, share := range shares {
		load := 0.95 // relative to its share
		if i == 1 {
			load = 3
		}
		work := share * load * capacity
		interactive := Flow{Priority: contract.PriorityInteractive, Prefill: 400, Decode: 60}
		batch := Flow{Priority: contract.PriorityBatch, Prefill: 1800, Decode: 200}
		interactive.Rate = Constant(work * 0.4 / interactive.meanTokens())
		batch.Rate = Constant(work * 0.6 / batch.meanTokens())
		s.Organisations = append(s.Organisations, Organisation{
			ID: contract.OrganisationID("garage-" + string(rune('a'+i))), Share: share, Flows: []Flow{interactive, batch},
		})
	}
	return s
}

// Skewed returns the overload of Tsukushi with an uneven spread over the nine
// daemons: the overloading organisation uses three of them, and most requests of
// another arrive at one, as with a balancer that keeps its connections open.
func Skewed(policy Policy, seed uint64) Scenario {
	s := Tsukushi(policy, seed)
	s.Organisations[1].Spread = []float64{1, 1, 1, 0, 0, 0, 0, 0, 0}
	s.Organisations[0].Spread = []float64{0, 0, 0, 1, 1, 1, 1, 1, 1}
	s.Organisations[2].Spread = []float64{1, 1, 1, 1, 8, 1, 1, 1, 1}
	return s
}

// LentShare returns a fleet in which all organisations but the largest exceed
// their shares. The largest sends no requests until back, and then its usual
// traffic.
func LentShare(policy Policy, seed uint64, back time.Duration) Scenario {
	s := Tsukushi(policy, seed)
	s.Length = back + 60*time.Second
	s.Window = time.Second
	for i := range s.Organisations {
		for f := range s.Organisations[i].Flows {
			flow := &s.Organisations[i].Flows[f]
			usual := flow.Rate(0)
			if i == 0 {
				flow.Rate = Between(back, s.Length, usual)
			} else {
				flow.Rate = Constant(1.6 * usual)
			}
		}
	}
	return s
}
