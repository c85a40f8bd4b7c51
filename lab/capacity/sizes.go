package capacity

import "math"

// Sizes describe a deployment.
type Sizes struct {
	Name          string
	Daemons       float64
	Endpoints     float64 // runners, services and stores
	Requests      float64 // a second, over all daemons
	Tokens        float64 // generated a second, over all daemons
	CacheEvents   float64 // a second, over all runners
	Organisations float64
	Models        float64
	ConfigChanges float64 // of configuration a day
	VMChanges     float64 // VMs that fail or are replaced a day
	Zones         float64
}

// Deployments of today and the target of the users' letter. Where the users
// give no figure, docs/CAPACITY.md says what was taken.
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

// between grows every size by the same part of its way, on a scale of factors.
func between(a, b Sizes, part float64) Sizes {
	grow := func(x, y float64) float64 { return x * math.Pow(y/x, part) }
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

// Intervals that the sums use: the defaults of the settings.
const (
	day           = 86_400.0 // seconds
	leaseSeconds  = 3.0      // between reads of the lease stream
	pollSeconds   = 1.0      // between reads of the manifest stream
	listSeconds   = 2.0      // between reads of the list of VMs
	claimsPoll    = 2.0      // between reads of an idle claim stream
	prefixesKept  = 200_000  // routing.prefixes
	eventBytes    = 62       // of one cache event on the wire, docs/measurements/events.md
	listsRead     = 2        // endpoints and daemons
	promptBytes   = 40_000   // about 10,000 tokens
	tickBase      = 0.2      // seconds, of the fleet's upkeep
	tickEach      = 0.000_25 // seconds, for each endpoint
	ordersTick    = 1.0      // seconds
	loadSeconds   = 3.0      // routing.load-interval
	probesEach    = 2        // in a second
	wireExpansion = 4.0 / 3  // of records, which are read as base64
)

// Limits for one daemon's control, and for the log.
const (
	limitCore      = 0.016
	limitMemory    = 256 << 20
	limitBytes     = 3 << 10
	limitAppends   = 300
	limitChange    = 10 // seconds
	noLimit        = 0
	claimPart      = 0.001 // of all requests, as keyed calls; an assumption
	gbit           = 125e6 // bytes/s
	herdReadWithin = 10.0  // seconds
)
