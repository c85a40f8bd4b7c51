package daemon

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/peer/peerpb"
)

// Guards against pools that never appear in a digest because the usage of all
// models does not fit into one: the neighbours would divide the capacity of
// such a pool as if no other daemon used it.
func TestUsageDigestsCoverAllPools(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &admission{pools: map[string]*admissionPool{}}
	const models, organisations = 30, 32
	for m := range models {
		p := &admissionPool{core: contract.NewAdmission(contract.Options{Daemon: "d", Incarnation: 1})}
		var shares []contract.Share
		for o := range organisations {
			shares = append(shares, contract.Share{Organisation: contract.OrganisationID(fmt.Sprintf("o%d", o)), Weight: 1})
		}
		p.core.SetContract(now, shares)
		p.core.SetCapacity(now, 1e6, 1000)
		for o := range organisations {
			p.core.Offer(now, contract.Request{ID: contract.RequestID(o + 1), Organisation: shares[o].Organisation, Tokens: 1e4})
		}
		a.pools[fmt.Sprintf("model-%02d", m)] = p
	}
	seen := map[string]bool{}
	digests := 0
	for ; len(seen) < models && digests < models; digests++ {
		text := a.encodeUsage(now.Add(time.Duration(digests)*time.Second), false)
		if len(text) > 2*maxUsageBytes {
			t.Fatalf("usage of %d bytes", len(text))
		}
		var u peerpb.Usage
		if err := proto.Unmarshal(text, &u); err != nil {
			t.Fatal(err)
		}
		for _, p := range u.Pools {
			seen[p.Pool] = true
		}
	}
	if len(seen) != models {
		t.Errorf("%d of %d pools sent in %d digests", len(seen), models, digests)
	}
}
