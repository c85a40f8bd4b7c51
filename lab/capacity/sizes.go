package capacity

import "math"

// Sizes describe a deployment. Rates are totals over all daemons or runners.
type Sizes struct {
	Name          string
	Daemons       float64
	Endpoints     float64 // runners, services and stores
	Requests      float64 // per second
	Tokens        float64 // generated per second
	CacheEvents   float64 // per second
	Organisations float64
	Models        float64
	ConfigChanges float64 // changes of the configuration per day
	VMChanges     float64 // VMs that fail or are replaced per day
	Zones         float64
}

// Current deployments, and the target that the users have set. Assumptions,
// where the users give no figure, are listed in docs/CAPACITY.md.
var (
	Registre = Sizes{
		Name: "Registre", Daemons: 9, Endpoints: 22, Requests: 35, Tokens: 7000, CacheEvents: 18000,
		Organisations: 8, Models: 2, ConfigChanges: 20, VMChanges: 10, Zones: 3,
	}
	Tsukushi = Sizes{
		Name: "Tsukushi", Daemons: 9, Endpoints: 13, Requests: 20, Tokens: 4000, CacheEvents: 9000,
		Organisations: 8, Models: 2, ConfigChanges: 20, VMChanges: 10, Zones: 3,
	}
	Target = Sizes{
		Name: "target", Daemons: 1100, Endpoints: 4600, Requests: 68_000, Tokens: 17e6, CacheEvents: 4.6e6,
		Organisations: 11_000, Models: 30, ConfigChanges: 3000, VMChanges: 1050, Zones: 5,
	}
)

// interpolate returns the sizes at a fraction of the growth from a to b, from 0
// to 1. Sizes grow geometrically.
func interpolate(a, b Sizes, fraction float64) Sizes {
	grow := func(x, y float64) float64 { return x * math.Pow(y/x, fraction) }
	return Sizes{
		Name:          "between",
		Daemons:       grow(a.Daemons, b.Daemons),
		Endpoints:     grow(a.Endpoints, b.Endpoints),
		Requests:      grow(a.Requests, b.Requests),
		Tokens:        grow(a.Tokens, b.Tokens),
		CacheEvents:   grow(a.CacheEvents, b.CacheEvents),
		Organisations: grow(a.Organisations, b.Organisations),
		Models:        grow(a.Models, b.Models),
		ConfigChanges: grow(a.ConfigChanges, b.ConfigChanges),
		VMChanges:     grow(a.VMChanges, b.VMChanges),
		Zones:         grow(a.Zones, b.Zones),
	}
}

// Constants of the rows. Intervals and bounds are the defaults of the settings.
const (
	day                    = 86_400.0 // seconds
	leaseSeconds           = 3.0      // between reads of the lease stream
	pollSeconds            = 1.0      // between reads of the manifest stream
	listSeconds            = 2.0      // between reads of the list of VMs
	claimsPollSeconds      = 2.0      // between reads of an idle claim stream
	maxPrefixes            = 200_000  // default of routing.prefixes
	cacheEventBytes        = 62       // size of one cache event on the wire, see docs/measurements/events.md
	listCount              = 2        // the lists of endpoints and of daemons
	promptBytes            = 40_000   // about 10,000 tokens
	refreshBaseSeconds     = 0.2      // base of the interval at which the membership is refreshed
	refreshEndpointSeconds = 0.000_25 // added to that interval for each endpoint
	ordersTickSeconds      = 1.0      // between rounds of planning orders
	loadSeconds            = 3.0      // default of routing.load-interval
	maxProbesPerSecond     = 2        // load requests of one daemon to silent endpoints
	wireExpansion          = 4.0 / 3  // of records, which are base64 on the wire
)

// Limits of one daemon's control plane and of the log, and assumptions.
const (
	limitCore          = 0.016
	limitMemory        = 256 << 20
	limitBytes         = 3 << 10
	limitAppends       = 300
	limitChangeSeconds = 10
	noLimit            = 0
	keyedFraction      = 0.001 // of requests with an idempotency key; an assumption
	gbitBytes          = 125e6 // bytes/s
	restartReadSeconds = 10.0
)
