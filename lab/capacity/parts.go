package capacity

import (
	"encoding/json"
	"time"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/prefix"
)

// Sizes that slopes are measured at, from today's to the target's.
var (
	endpointSizes     = []int{18, 500, 4600}
	organisationSizes = []int{8, 1000, 11_000}
	prefixSizes       = []int{1000, 10_000, 60_000}
	daemonSizes       = []int{9, 100, 1100}
	promptSizes       = []int{4 << 10, 32 << 10, 256 << 10}
)

// must stops a measurement whose fixture is wrong: a fault of this package.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func cutPrompt() Slope {
	return measure("cut a prompt into keys", "bytes of prompt", "ns", promptSizes, func(size int) float64 {
		c := prefix.NewSplitter(prefix.Options{})
		b := text("prompt", size)
		return nanoseconds(func(n int) {
			for range n {
				c.Reset(prefix.Seed{Organisation: "o", Model: "m", Version: "v"})
				c.Write(b)
				c.EndMessage()
			}
		})
	})
}

// viewOf is a view with n endpoints.
func viewOf(n int) *placement.View {
	v := placement.NewView(placement.Options{Zone: zone(0), Daemons: 9})
	v.SetPool("codes", endpoints(n))
	return v
}

// placeOne places a request, has it answered and ended.
func placeOne(v *placement.View, now time.Time, id uint64, l []prefix.Level) {
	tokens := l[len(l)-1].Tokens
	d := must(v.Place(now, placement.Request{ID: id, Pool: "codes", Levels: l, Tokens: tokens, Priority: contract.PriorityStandard}))
	v.Answered(now, placement.Answer{ID: id, Endpoint: d.Endpoint, Incarnation: 1, CachedTokens: tokens / 2, Levels: l})
	v.Finished(now, id)
}

func place() Slope {
	return measure("place, answer and end a request", "endpoints", "ns", endpointSizes, func(size int) float64 {
		v := viewOf(size)
		c := prefix.NewSplitter(prefix.Options{})
		var prompts [][]prefix.Level
		for i := range 512 {
			prompts = append(prompts, levels(c, i%64, i%8, i))
		}
		id := uint64(0)
		now := epoch
		return nanoseconds(func(n int) {
			for range n {
				id++
				now = now.Add(time.Millisecond)
				placeOne(v, now, id, prompts[id%uint64(len(prompts))])
			}
		})
	})
}

func placementEndpointBytes() Slope {
	return measure("placement state", "endpoints", "bytes", endpointSizes, func(size int) float64 {
		return heapBytes(func() any { return viewOf(size) })
	})
}

func placementPrefixBytes() Slope {
	return measure("placement state", "remembered prefixes", "bytes", prefixSizes, func(size int) float64 {
		c := prefix.NewSplitter(prefix.Options{})
		return heapBytes(func() any {
			v := placement.NewView(placement.Options{Zone: zone(0), Daemons: 9, MaxPrefixes: size})
			v.SetPool("codes", endpoints(18))
			for i := range 2 * size / 6 {
				placeOne(v, epoch, uint64(i+1), levels(c, i%8, i, i))
			}
			return v
		})
	})
}

func admissionOf(n int) *contract.Admission {
	a := contract.NewAdmission(contract.Options{Daemon: "d", Incarnation: 1})
	shares := make([]contract.Share, n)
	for i := range shares {
		shares[i] = contract.Share{Organisation: organisation(i), Weight: 1}
	}
	a.SetContract(epoch, shares)
	a.SetCapacity(epoch, 1e9, 1<<20)
	return a
}

// activate has every organisation run one request at the admission.
func activate(a *contract.Admission, n int) {
	for i := range n {
		a.Offer(epoch, contract.Request{ID: contract.RequestID(i + 1), Organisation: organisation(i), Tokens: 100})
	}
}

func admit() Slope {
	return measure("admit and finish a request", "organisations", "ns", organisationSizes, func(size int) float64 {
		a := admissionOf(size)
		ids := make([]contract.OrganisationID, size)
		for i := range ids {
			ids[i] = organisation(i)
		}
		id := contract.RequestID(0)
		now := epoch
		return nanoseconds(func(n int) {
			for range n {
				id++
				now = now.Add(100 * time.Microsecond)
				a.Offer(now, contract.Request{ID: id, Organisation: ids[int(id)%size], Tokens: 100})
				a.Finish(now, id, 100)
			}
		})
	})
}

func admissionBytes() Slope {
	return measure("admission state, all active", "organisations", "bytes", organisationSizes, func(size int) float64 {
		return heapBytes(func() any {
			a := admissionOf(size)
			activate(a, size)
			return a
		})
	})
}

func admissionIdleBytes() Slope {
	return measure("admission state, all idle", "organisations", "bytes", organisationSizes, func(size int) float64 {
		return heapBytes(func() any { return admissionOf(size) })
	})
}

func useDigestBytes() Slope {
	return measure("digest of organisations' use", "active organisations, 64 at most", "bytes", []int{1, 8, 32}, func(size int) float64 {
		a := admissionOf(size)
		activate(a, size)
		d := a.Digest(epoch.Add(time.Second), false)
		return float64(len(must(d.AppendBinary(nil))))
	})
}

func manifestRecord(n int) []byte {
	m := manifestOf(n)
	text := must(manifest.Encode(m))
	return must(ledger.Encode(ledger.RulesVersion, &ledger.ManifestRecord{Digest: manifest.DigestOfText(text), Manifest: text}))
}

func manifestBytes() Slope {
	return measure("manifest record in the log", "organisations", "bytes", organisationSizes, func(size int) float64 {
		return float64(len(manifestRecord(size)))
	})
}

func foldManifest() Slope {
	return measure("fold a manifest record", "organisations", "ns", organisationSizes, func(size int) float64 {
		record := manifestRecord(size)
		return nanoseconds(func(n int) {
			for range n {
				s := ledger.NewState(ledger.Options{})
				d := s.Apply(ports.Record{Offset: 1, Time: epoch, Data: record})
				if len(d) == 0 || d[len(d)-1].Outcome != ledger.Accepted {
					panic("capacity: manifest not accepted")
				}
			}
		})
	})
}

func indexBytes() Slope {
	return measure("manifest in force and its index", "organisations", "bytes", organisationSizes, func(size int) float64 {
		return heapBytes(func() any {
			m := manifestOf(size)
			return []any{&m, must(catalog.New(&m))}
		})
	})
}

func membershipOf(n int) *fleet.Membership {
	m := fleet.NewMembership(fleet.MembershipOptions{})
	m.SetList(epoch, endpoints(n))
	return m
}

func membershipList() Slope {
	return measure("take an unchanged list of VMs", "endpoints", "ns", endpointSizes, func(size int) float64 {
		m := membershipOf(size)
		list := endpoints(size)
		now := epoch
		return nanoseconds(func(n int) {
			for range n {
				now = now.Add(time.Second)
				m.SetList(now, list)
			}
		})
	})
}

func membershipUsable() Slope {
	return measure("work out the usable endpoints", "endpoints", "ns", endpointSizes, func(size int) float64 {
		m := membershipOf(size)
		var kept []fleet.Member
		return nanoseconds(func(n int) {
			for range n {
				kept = m.AppendUsable(kept[:0], epoch)
			}
		})
	})
}

func membershipBytes() Slope {
	return measure("membership and health state", "endpoints", "bytes", endpointSizes, func(size int) float64 {
		return heapBytes(func() any {
			h := health.New(health.Options{})
			h.Sync(epoch, endpoints(size))
			return []any{membershipOf(size), h}
		})
	})
}

func listBytes() Slope {
	return measure("list of VMs as JSON", "endpoints", "bytes", endpointSizes, func(size int) float64 {
		return float64(len(must(json.Marshal(endpoints(size)))))
	})
}

func chooseNeighbours() Slope {
	return measure("choose the neighbours", "daemons", "ns", daemonSizes, func(size int) float64 {
		list := daemons(size)
		return nanoseconds(func(n int) {
			for range n {
				neighbour.Choose(list[0], list, neighbour.Options{})
			}
		})
	})
}

// Measurement makes one slope.
type Measurement struct {
	Key string // by which the sums refer to it
	Run func() Slope
}

// Measurements lists all slopes of the parts.
func Measurements() []Measurement {
	claims := claimRuns{}
	control := controlRuns{}
	return []Measurement{
		{keyCut, cutPrompt},
		{keyPlace, place},
		{keyPlacementEndpoint, placementEndpointBytes},
		{keyPlacementPrefix, placementPrefixBytes},
		{keyAdmit, admit},
		{keyAdmissionBytes, admissionBytes},
		{keyAdmissionIdle, admissionIdleBytes},
		{keyUseDigest, useDigestBytes},
		{keyManifestRecord, manifestBytes},
		{keyFold, foldManifest},
		{keyIndexBytes, indexBytes},
		{keyListTake, membershipList},
		{keyUsable, membershipUsable},
		{keyMembershipBytes, membershipBytes},
		{keyListBytes, listBytes},
		{keyNeighbours, chooseNeighbours},
		{keyDigest, digestBytes},
		{keySection, sectionBytes},
		{keySectionFold, sectionFold},
		{keyPoll, pollBytes},
		{keyPlan, planOrders},
		{keyControl, control.bytes},
		{keyControlTime, control.processor},
		{keyClaims, claims.perSecond},
		{keyClaimBytes, claims.bytes},
		{keyProbe, probeBytes},
		{keyRosterTick, rosterTick},
		{keyRosterChange, rosterChange},
		{keyRosterBytes, rosterBytes},
		{keyFeedBytes, feedBytes},
		{keyFeedTime, feedTime},
		{keyFeedState, feedState},
		{keyReaders, readersSet},
	}
}

// Keys of the slopes.
const (
	keyCut               = "cut"
	keyPlace             = "place"
	keyPlacementEndpoint = "placement-endpoint"
	keyPlacementPrefix   = "placement-prefix"
	keyAdmit             = "admit"
	keyAdmissionBytes    = "admission-bytes"
	keyAdmissionIdle     = "admission-idle"
	keyUseDigest         = "use-digest"
	keyManifestRecord    = "manifest-record"
	keyFold              = "fold"
	keyIndexBytes        = "index-bytes"
	keyListTake          = "list-take"
	keyUsable            = "usable"
	keyMembershipBytes   = "membership-bytes"
	keyListBytes         = "list-bytes"
	keyNeighbours        = "neighbours"
	keyDigest            = "digest"
	keySection           = "section"
	keySectionFold       = "section-fold"
	keyPoll              = "poll"
	keyPlan              = "plan"
	keyControl           = "control"
	keyControlTime       = "control-time"
	keyClaims            = "claims"
	keyClaimBytes        = "claim-bytes"
	keyProbe             = "probe"
	keyRosterTick        = "roster-tick"
	keyRosterChange      = "roster-change"
	keyRosterBytes       = "roster-bytes"
	keyFeedBytes         = "feed-bytes"
	keyFeedTime          = "feed-time"
	keyFeedState         = "feed-state"
	keyReaders           = "readers"
)
