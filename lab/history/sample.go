// Package history runs merlindock's components for claims, leases and manifests
// against stand-ins with faults, records the operations of callers and
// operators, and checks the histories for consistency with porcupine.
package history

import (
	"fmt"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

// SampleManifest returns a small valid manifest with one organisation.
// Manifests with different loads have different digests.
func SampleManifest(loads int) manifest.Manifest { return SampleManifestWith(loads, 1) }

// SampleManifestWith is SampleManifest with the given number of organisations.
func SampleManifestWith(loads, organisations int) manifest.Manifest {
	m := manifest.Manifest{
		Rules: manifest.RulesVersion, Name: "quebec-est",
		Fleet: manifest.Fleet{
			PieceTokens: 2000, BytesPerToken: 4, LoadsAtOnce: loads,
			FirstTokenLimit: manifest.Duration(time.Second),
		},
		Models:  []manifest.Model{{ID: "plan-reader", Version: "v1"}},
		Classes: []manifest.Class{{ID: "runner", Kind: fleet.KindModel, Models: []string{"plan-reader"}}},
		Retention: manifest.Retention{
			ClaimWindow: manifest.Duration(ClaimWindow), LogRecords: manifest.Duration(Retention),
		},
	}
	for i := range organisations {
		m.Organisations = append(m.Organisations, organisation(i))
	}
	return m
}

// Retention is the retention of log records in the tests.
const Retention = 3 * ClaimWindow

func organisation(i int) manifest.Organisation {
	return manifest.Organisation{
		ID:         contract.OrganisationID(fmt.Sprintf("organisation-%d", i)),
		KeyHashes:  []string{fmt.Sprintf("%064x", i)},
		Share:      1,
		Priorities: []string{"interactive", "standard", "batch"},
	}
}
