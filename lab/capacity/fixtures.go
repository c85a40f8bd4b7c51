package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/prefix"
)

// epoch is the start of measurements in virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const zones = 5

func zone(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprintf("zone-%d", i%zones)) }

func organisation(i int) contract.OrganisationID {
	return contract.OrganisationID(fmt.Sprintf("organisation-%05d", i))
}

func endpoints(n int) []fleet.Endpoint {
	list := make([]fleet.Endpoint, n)
	for i := range list {
		list[i] = fleet.Endpoint{
			ID:      fleet.EndpointID(fmt.Sprintf("runner-%05d", i)),
			VM:      fleet.VMID(fmt.Sprintf("vm-%05d", i)),
			Zone:    zone(i),
			Class:   "runner",
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
			State:   fleet.VMLive,
		}
	}
	return list
}

func daemons(n int) []ports.Daemon {
	list := make([]ports.Daemon, n)
	for i := range list {
		list[i] = ports.Daemon{
			ID:          fmt.Sprintf("daemon-%04d", i),
			Zone:        zone(i),
			PeerAddress: fmt.Sprintf("10.200.%d.%d:8082", i>>8, i&255),
			State:       fleet.VMLive,
		}
	}
	return list
}

// newManifest returns a valid manifest with n organisations.
func newManifest(n int) manifest.Manifest {
	m := manifest.Manifest{
		Rules:   manifest.RulesVersion,
		Name:    "capacity",
		Fleet:   manifest.Fleet{PieceTokens: 2000, BytesPerToken: 4, LoadsAtOnce: 3, FirstTokenLimit: manifest.Duration(time.Second)},
		Models:  []manifest.Model{{ID: "codes", Version: "v1"}},
		Classes: []manifest.Class{{ID: "runner", Kind: fleet.KindModel, Models: []string{"codes"}}, {ID: "counter", Kind: fleet.KindService}},
		Services: []manifest.Service{{
			ID: "receipts", PathPrefix: "/receipts/", Class: "counter",
			Calls: []manifest.Call{{Method: http.MethodGet, Path: "*", Idempotent: true}},
		}},
		Retention: manifest.Retention{ClaimWindow: manifest.Duration(time.Hour), LogRecords: manifest.Duration(6 * time.Hour)},
	}
	for i := range n {
		sum := sha256.Sum256([]byte(organisation(i)))
		m.Organisations = append(m.Organisations, manifest.Organisation{
			ID:         organisation(i),
			KeyHashes:  []string{hex.EncodeToString(sum[:])},
			Share:      1,
			Priorities: []string{"interactive", "standard", "batch"},
		})
	}
	return m
}

// promptLevels returns the prefix levels of a typical prompt: a preamble, a
// document of several pieces and a question.
func promptLevels(splitter *prefix.Splitter, org, document, question int) []prefix.Level {
	splitter.Reset(prefix.Seed{Organisation: organisation(org), Model: "codes", Version: "v1"})
	for _, segment := range []struct {
		name   string
		tokens int
	}{
		{fmt.Sprintf("preamble %d", org), 800},
		{fmt.Sprintf("document %d %d", org, document), 9000},
		{fmt.Sprintf("question %d", question), 100},
	} {
		splitter.Write(paddedText(segment.name, segment.tokens*prefix.DefaultBytesPerToken))
		splitter.EndMessage()
	}
	return append([]prefix.Level(nil), splitter.Levels()...)
}

// paddedText returns n bytes that begin with the name.
func paddedText(name string, n int) []byte {
	b := make([]byte, n)
	copy(b, name)
	return b
}
