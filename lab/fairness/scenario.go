package fairness

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// Policy names an admission.
type Policy string

// The policies.
const (
	PolicyContract  Policy = "contract" // the real one
	PolicyNoDigests Policy = "no_peers" // the real one, without digests
	PolicyOpen      Policy = "open"
	PolicyFIFO      Policy = "fifo"
	PolicyStatic    Policy = "static"
)

// Policies lists all, the real one first.
var Policies = []Policy{PolicyContract, PolicyNoDigests, PolicyOpen, PolicyFIFO, PolicyStatic}

// Flow is the demand of one organisation at one priority.
type Flow struct {
	Priority contract.Priority
	Rate     func(now time.Duration) float64 // requests a second over all daemons
	Prefill  float64                         // mean tokens that aren't cached
	Decode   float64                         // mean tokens generated
}

// Organisation is one customer of a scenario.
type Organisation struct {
	ID    contract.OrganisationID
	Share float64
	Flows []Flow
	// Spread is the relative part of its callers at each daemon; empty: even.
	Spread []float64
}

// Scenario is one run.
type Scenario struct {
	Policy        Policy
	Seed          uint64
	Daemons       int
	Engines       EngineOptions
	Rate          float64 // tokens a second that the daemons are told the fleet can do
	Organisations []Organisation
	Length        time.Duration
	WarmUp        time.Duration // requests first offered before it aren't counted
	CoolDown      time.Duration // nor are those in the last part of the run

	DigestEvery      time.Duration
	DigestLoss       float64
	CrashedDaemon    int           // daemon that dies, with callers going to the others; -1: none
	IsolatedDaemon   int           // daemon that is cut off from the others; -1: none
	FaultAt          time.Duration // of CrashedDaemon and IsolatedDaemon
	ExpelSilentPeers bool          // trial: each daemon takes silent peers for dead
	MaxRetries       int           // times that a refused caller comes back after Retry-After
	Window           time.Duration // of the figures over time; 0: none
}

// Constant is a rate that stays.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Between is a rate that holds between two times and is zero else.
func Between(from, to time.Duration, rate float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < from || now >= to {
			return 0
		}
		return rate
	}
}

// tokensOf is the mean work of a request of the flow.
func (f *Flow) tokensOf() float64 { return f.Prefill + f.Decode }

// size draws a request's tokens around the mean, from half to twice of it.
func size(rng *rand.Rand, mean float64) float64 {
	return mean * math.Exp((rng.Float64()-0.5)*2*math.Ln2) * meanOfSize
}

// meanOfSize makes the mean of size the mean it is given.
const meanOfSize = 2 * math.Ln2 / 1.5

// Tsukushi is the overload of the brief's second user: eight organisations, a
// few of them large, and one that asks for three times its share. Each asks
// half of its work for phones and half for batch reading of service histories.
func Tsukushi(policy Policy, seed uint64) Scenario {
	const capacity = 46_000 // tokens a second, as measured with this mix
	s := Scenario{
		Policy: policy, Seed: seed, Daemons: 9, Rate: capacity,
		Engines: EngineOptions{Count: 9, Slots: 16, Prefill: 9000, Decode: 40},
		Length:  240 * time.Second, WarmUp: 20 * time.Second, CoolDown: 30 * time.Second, DigestEvery: time.Second,
		CrashedDaemon: -1, IsolatedDaemon: -1, MaxRetries: 1,
	}
	shares := []float64{0.30, 0.20, 0.15, 0.10, 0.10, 0.05, 0.05, 0.05}
	for i, share := range shares {
		load := 0.95 // of its share
		if i == 1 {
			load = 3
		}
		work := share * load * capacity
		phone := Flow{Priority: contract.PriorityInteractive, Prefill: 400, Decode: 60}
		batch := Flow{Priority: contract.PriorityBatch, Prefill: 1800, Decode: 200}
		phone.Rate = Constant(work * 0.4 / phone.tokensOf())
		batch.Rate = Constant(work * 0.6 / batch.tokensOf())
		s.Organisations = append(s.Organisations, Organisation{
			ID: contract.OrganisationID("garage-" + string(rune('a'+i))), Share: share, Flows: []Flow{phone, batch},
		})
	}
	return s
}

// Skewed is the same overload with callers that don't come evenly: those of the
// overloading organisation come to three of nine daemons, most of another's to
// one, as the balancer of a branch office keeps its connections.
func Skewed(policy Policy, seed uint64) Scenario {
	s := Tsukushi(policy, seed)
	s.Organisations[1].Spread = []float64{1, 1, 1, 0, 0, 0, 0, 0, 0}
	s.Organisations[0].Spread = []float64{0, 0, 0, 1, 1, 1, 1, 1, 1}
	s.Organisations[2].Spread = []float64{1, 1, 1, 1, 8, 1, 1, 1, 1}
	return s
}

// LentShare is a fleet that all but the largest organisation fill beyond their
// shares, until that one's callers come back at the given time.
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
