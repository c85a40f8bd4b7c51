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

// Sizes at which slopes are measured, from current deployments to the target.
var (
	endpointSizes     = []int{18, 500, 4600}
	organisationSizes = []int{8, 1000, 11_000}
	prefixSizes       = []int{1000, 10_000, 60_000}
	daemonSizes       = []int{9, 100, 1100}
	promptSizes       = []int{4 << 10, 32 << 10, 256 << 10}
)

// must returns v and panics on an error, which can only be caused by a wrong
// fixture of this package.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func splitPrompt() Slope {
	return measure("split a prompt into prefix keys", "bytes of prompt", "ns", promptSizes, func(size int) float64 {
		splitter := prefix.NewSplitter(prefix.Options{})
		b := paddedText("prompt", size)
		return nanoseconds(func(n int) {
			for range n {
				splitter.Reset(prefix.Seed{Organisation: "o", Model: "m", Version: "v"})
				splitter.Write(b)
				splitter.EndMessage()
			}
		})
	})
}

// newView returns a placement view with n endpoints.
func newView(n int) *placement.View {
	v := placement.NewView(placement.Options{Zone: zone(0), Daemons: 9})
	v.SetPool("codes", endpoints(n))
	return v
}

// placeAndFinish places a request and reports its answer and its end to the
// view.
func placeAndFinish(v *placement.View, now time.Time, id uint64, l []prefix.Level) {
	tokens := l[len(l)-1].Tokens
	d := must(v.Place(now, placement.Request{ID: id, Pool: "codes", Levels: l, Tokens: tokens, Priority: contract.PriorityStandard}))
	v.Answered(now, placement.Answer{ID: id, Endpoint: d.Endpoint, Incarnation: 1, CachedTokens: tokens / 2, Levels: l})
	v.Finished(now, id)
}

func place() Slope {
	return measure("place, answer and finish a request", "endpoints", "ns", endpointSizes, func(size int) float64 {
		v := newView(size)
		splitter := prefix.NewSplitter(prefix.Options{})
		var prompts [][]prefix.Level
		for i := range 512 {
			prompts = append(prompts, promptLevels(splitter, i%64, i%8, i))
		}
		id := uint64(0)
		now := epoch
		return nanoseconds(func(n int) {
			for range n {
				id++
				now = now.Add(time.Millisecond)
				placeAndFinish(v, now, id, prompts[id%uint64(len(prompts))])
			}
		})
	})
}

func placementEndpointBytes() Slope {
	return measure("placement state", "endpoints", "bytes", endpointSizes, func(size int) float64 {
		return heapBytes(func() any { return newView(size) })
	})
}

func placementPrefixBytes() Slope {
	return measure("placement state", "remembered prefixes", "bytes", prefixSizes, func(size int) float64 {
		splitter := prefix.NewSplitter(prefix.Options{})
		return heapBytes(func() any {
			v := placement.NewView(placement.Options{Zone: zone(0), Daemons: 9, MaxPrefixes: size})
			v.SetPool("codes", endpoints(18))
			for i := range 2 * size / 6 {
				placeAndFinish(v, epoch, uint64(i+1), promptLevels(splitter, i%8, i, i))
			}
			return v
		})
	})
}

func newAdmission(n int) *contract.Admission {
	a := contract.NewAdmission(contract.Options{Daemon: "d", Incarnation: 1})
	shares := make([]contract.Share, n)
	for i := range shares {
		shares[i] = contract.Share{Organisation: organisation(i), Weight: 1}
	}
	a.SetContract(epoch, shares)
	a.SetCapacity(epoch, 1e9, 1<<20)
	return a
}

// activate offers one request of every organisation to the admission.
func activate(a *contract.Admission, n int) {
	for i := range n {
		a.Offer(epoch, contract.Request{ID: contract.RequestID(i + 1), Organisation: organisation(i), Tokens: 100})
	}
}

func admit() Slope {
	return measure("admit and finish a request", "organisations", "ns", organisationSizes, func(size int) float64 {
		a := newAdmission(size)
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
			a := newAdmission(size)
			activate(a, size)
			return a
		})
	})
}

func admissionIdleBytes() Slope {
	return measure("admission state, all idle", "organisations", "bytes", organisationSizes, func(size int) float64 {
		return heapBytes(func() any { return newAdmission(size) })
	})
}

func useDigestBytes() Slope {
	return measure("digest of organisations' use", "active organisations, 64 at most", "bytes", []int{1, 8, 32}, func(size int) float64 {
		a := newAdmission(size)
		activate(a, size)
		d := a.Digest(epoch.Add(time.Second), false)
		return float64(len(must(d.AppendBinary(nil))))
	})
}

func manifestRecord(n int) []byte {
	m := newManifest(n)
	text := must(manifest.Encode(m))
	return must(ledger.Encode(ledger.RulesVersion, &ledger.ManifestRecord{Digest: manifest.DigestOfText(text), Manifest: text}))
}

func manifestBytes() Slope {
	return measure("manifest record in the log", "organisations", "bytes", organisationSizes, func(size int) float64 {
		return float64(len(manifestRecord(size)))
	})
}

func applyManifest() Slope {
	return measure("apply a manifest record", "organisations", "ns", organisationSizes, func(size int) float64 {
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
			m := newManifest(size)
			return []any{&m, must(catalog.New(&m))}
		})
	})
}

func newMembership(n int) *fleet.Membership {
	m := fleet.NewMembership(fleet.MembershipOptions{})
	m.SetList(epoch, endpoints(n))
	return m
}

func setMembershipList() Slope {
	return measure("apply an unchanged list of VMs", "endpoints", "ns", endpointSizes, func(size int) float64 {
		m := newMembership(size)
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

func usableEndpoints() Slope {
	return measure("determine the usable endpoints", "endpoints", "ns", endpointSizes, func(size int) float64 {
		m := newMembership(size)
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
			return []any{newMembership(size), h}
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

// Measurement measures one slope.
type Measurement struct {
	Key string // of the slope, in a SlopeSet
	Run func() Slope
}

// Measurements lists the measurements of all components.
func Measurements() []Measurement {
	claims := claimRuns{}
	control := controlRuns{}
	return []Measurement{
		{keySplit, splitPrompt},
		{keyPlace, place},
		{keyPlacementEndpoint, placementEndpointBytes},
		{keyPlacementPrefix, placementPrefixBytes},
		{keyAdmit, admit},
		{keyAdmissionBytes, admissionBytes},
		{keyAdmissionIdle, admissionIdleBytes},
		{keyUseDigest, useDigestBytes},
		{keyManifestRecord, manifestBytes},
		{keyApplyManifest, applyManifest},
		{keyIndexBytes, indexBytes},
		{keySetList, setMembershipList},
		{keyUsable, usableEndpoints},
		{keyMembershipBytes, membershipBytes},
		{keyListBytes, listBytes},
		{keyNeighbours, chooseNeighbours},
		{keyDigest, digestBytes},
		{keySection, sectionBytes},
		{keyApplySection, applySection},
		{keyPoll, pollBytes},
		{keyPlan, planOrders},
		{keyControl, control.bytes},
		{keyControlTime, control.processor},
		{keyClaims, claims.perSecond},
		{keyClaimBytes, claims.bytes},
		{keyProbe, probeBytes},
		{keyRosterTick, rosterRefresh},
		{keyRosterChange, rosterChange},
		{keyRosterBytes, rosterBytes},
		{keyFeedBytes, feedBytes},
		{keyFeedTime, feedTime},
		{keyFeedState, feedState},
		{keyReaders, setReaders},
	}
}

// Keys of the slopes.
const (
	keySplit             = "cut"
	keyPlace             = "place"
	keyPlacementEndpoint = "placement-endpoint"
	keyPlacementPrefix   = "placement-prefix"
	keyAdmit             = "admit"
	keyAdmissionBytes    = "admission-bytes"
	keyAdmissionIdle     = "admission-idle"
	keyUseDigest         = "use-digest"
	keyManifestRecord    = "manifest-record"
	keyApplyManifest     = "fold"
	keyIndexBytes        = "index-bytes"
	keySetList           = "list-take"
	keyUsable            = "usable"
	keyMembershipBytes   = "membership-bytes"
	keyListBytes         = "list-bytes"
	keyNeighbours        = "neighbours"
	keyDigest            = "digest"
	keySection           = "section"
	keyApplySection      = "section-fold"
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
