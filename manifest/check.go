package manifest

import (
	"encoding/hex"
	"math"
	"strings"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// Limits of the contents of a manifest.
const (
	MaxOrganisations       = 20_000
	MaxKeysPerOrganisation = 64 // API keys of one organisation
	MaxModels              = 256
	MaxAdaptersPerModel    = 4_096 // adapters of one model
	MaxClasses             = 256
	MaxServices            = 256
	MaxCallsPerService     = 1_024 // calls of one service
	MaxIDBytes             = 128
	MaxShare               = 1e6
	MaxPieceTokens         = 1 << 20
	MaxLoadsAtOnce         = 10_000
	MaxClaimWindow         = 24 * time.Hour
	MinClaimWindow         = time.Minute
	MinRetentionWindows    = 2 // minimum log retention, in claim windows
	keyHashBytes           = 32
	modelProtocolPrefix    = "/v1/"
	adminPrefix            = "/merlin/"
)

// Check validates m and returns an *Error that lists all faults which can be found
// without the log: exceeded limits, duplicate names, references to undeclared
// names, and values out of range. It is part of the rules of a manifest's version:
// a later release must give the same result for a manifest of the same rules.
func Check(m Manifest) error {
	c := checker{faults: &faultList{}, m: m}
	c.rules()
	c.fleet()
	c.models()
	c.organisations()
	c.adapters()
	c.classes()
	c.services()
	c.retention()
	return c.faults.err()
}

type checker struct {
	faults   *faultList
	m        Manifest
	modelIDs map[string]bool
	orgs     map[contract.OrganisationID]bool
	kinds    map[string]fleet.Kind
}

func fieldPath(name string) *path { return (*path)(nil).field(name) }

func (c *checker) rules() {
	if c.m.Rules != RulesVersion {
		c.faults.add(fieldPath("rules"), "is %d, expected %d", c.m.Rules, RulesVersion)
	}
	c.id(fieldPath("name"), c.m.Name)
}

func (c *checker) fleet() {
	f, p := c.m.Fleet, fieldPath("fleet")
	c.inRange(p.field("piece_tokens"), f.PieceTokens, 1, MaxPieceTokens)
	c.inRange(p.field("loads_at_once"), f.LoadsAtOnce, 1, MaxLoadsAtOnce)
	if !(f.BytesPerToken > 0) || math.IsInf(f.BytesPerToken, 0) {
		c.faults.add(p.field("bytes_per_token"), "is %v, expected more than 0", f.BytesPerToken)
	}
	if f.FirstTokenLimit <= 0 {
		c.faults.add(p.field("first_token_limit"), "is %v, expected more than 0s", time.Duration(f.FirstTokenLimit))
	}
}

func (c *checker) models() {
	p := fieldPath("models")
	c.modelIDs = make(map[string]bool, len(c.m.Models))
	c.inRange(p, len(c.m.Models), 1, MaxModels)
	for i, model := range c.m.Models {
		c.id(p.item(i).field("id"), model.ID)
		c.unique(p.item(i).field("id"), c.modelIDs, model.ID)
		c.id(p.item(i).field("version"), model.Version)
	}
}

func (c *checker) organisations() {
	p := fieldPath("organisations")
	c.inRange(p, len(c.m.Organisations), 1, MaxOrganisations)
	c.orgs = make(map[contract.OrganisationID]bool, len(c.m.Organisations))
	keys := make(map[string]bool, len(c.m.Organisations))
	for i := range c.m.Organisations {
		c.organisation(p.item(i), &c.m.Organisations[i], keys)
	}
}

func (c *checker) organisation(p *path, o *Organisation, keys map[string]bool) {
	c.id(p.field("id"), string(o.ID))
	if c.orgs[o.ID] {
		c.faults.add(p.field("id"), "%q is declared twice", o.ID)
	}
	c.orgs[o.ID] = true
	c.inRange(p.field("key_hashes"), len(o.KeyHashes), 1, MaxKeysPerOrganisation)
	for i, h := range o.KeyHashes {
		c.keyHash(p.field("key_hashes").item(i), h)
		c.unique(p.field("key_hashes").item(i), keys, h)
	}
	if !(o.Share > 0) || o.Share > MaxShare {
		c.faults.add(p.field("share"), "is %v, expected more than 0 and at most %v", o.Share, float64(MaxShare))
	}
	c.priorities(p.field("priorities"), o.Priorities)
	for i, id := range o.Models {
		c.declared(p.field("models").item(i), c.modelIDs, id, "model")
	}
}

func (c *checker) priorities(p *path, names []string) {
	c.inRange(p, len(names), 1, int(contract.PriorityCount))
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if _, err := contract.ParsePriority(name); err != nil {
			c.faults.add(p.item(i), "is %q, expected interactive, standard or batch", name)
		}
		c.unique(p.item(i), seen, name)
	}
}

func (c *checker) adapters() {
	for i, model := range c.m.Models {
		p := fieldPath("models").item(i).field("adapters")
		c.inRange(p, len(model.Adapters), 0, MaxAdaptersPerModel)
		seen := make(map[string]bool, len(model.Adapters))
		for j, a := range model.Adapters {
			c.id(p.item(j).field("id"), a.ID)
			c.unique(p.item(j).field("id"), seen, a.ID)
			c.id(p.item(j).field("version"), a.Version)
			for k, o := range a.Organisations {
				if !c.orgs[o] {
					c.faults.add(p.item(j).field("organisations").item(k), "%q is not an organisation of this manifest", o)
				}
			}
		}
	}
}

func (c *checker) classes() {
	p := fieldPath("classes")
	c.inRange(p, len(c.m.Classes), 1, MaxClasses)
	c.kinds = make(map[string]fleet.Kind, len(c.m.Classes))
	served := make(map[string]bool, len(c.modelIDs))
	for i, class := range c.m.Classes {
		c.class(p.item(i), class)
		for _, id := range class.Models {
			served[id] = true
		}
	}
	for i, model := range c.m.Models {
		if !served[model.ID] {
			c.faults.add(fieldPath("models").item(i), "%q is served by no class", model.ID)
		}
	}
}

func (c *checker) class(p *path, class Class) {
	c.id(p.field("id"), class.ID)
	if _, twice := c.kinds[class.ID]; twice {
		c.faults.add(p.field("id"), "%q is declared twice", class.ID)
	}
	c.kinds[class.ID] = class.Kind
	switch class.Kind {
	case fleet.KindModel, fleet.KindService, fleet.KindStore:
	default:
		c.faults.add(p.field("kind"), "is %q, expected model, service or store", class.Kind)
	}
	if class.Kind != fleet.KindModel && len(class.Models) > 0 {
		c.faults.add(p.field("models"), "is given for a class of kind %q", class.Kind)
	}
	for i, id := range class.Models {
		c.declared(p.field("models").item(i), c.modelIDs, id, "model")
	}
}

func (c *checker) services() {
	p := fieldPath("services")
	c.inRange(p, len(c.m.Services), 0, MaxServices)
	seen := make(map[string]bool, len(c.m.Services))
	for i, s := range c.m.Services {
		c.id(p.item(i).field("id"), s.ID)
		c.unique(p.item(i).field("id"), seen, s.ID)
		c.servicePrefix(p.item(i).field("path_prefix"), i)
		if c.kinds[s.Class] != fleet.KindService {
			c.faults.add(p.item(i).field("class"), "%q is not a class of kind service", s.Class)
		}
		c.inRange(p.item(i).field("calls"), len(s.Calls), 0, MaxCallsPerService)
		for j, call := range s.Calls {
			c.call(p.item(i).field("calls").item(j), call)
		}
	}
}

// servicePrefix adds a fault for a path prefix that overlaps with merlindock's own
// paths or with another service, since calls would reach the wrong service.
func (c *checker) servicePrefix(p *path, i int) {
	prefix := c.m.Services[i].PathPrefix
	if len(prefix) < 3 || prefix[0] != '/' || !strings.HasSuffix(prefix, "/") || len(prefix) > MaxIDBytes {
		c.faults.add(p, "is %q, expected /name/ of at most %d bytes", prefix, MaxIDBytes)
		return
	}
	for _, reserved := range []string{modelProtocolPrefix, adminPrefix} {
		if prefixesOverlap(prefix, reserved) {
			c.faults.add(p, "%q overlaps with %s, which is merlindock's own", prefix, reserved)
		}
	}
	for _, other := range c.m.Services[:i] {
		if prefixesOverlap(prefix, other.PathPrefix) {
			c.faults.add(p, "%q overlaps with service %q", prefix, other.ID)
		}
	}
}

func prefixesOverlap(a, b string) bool { return strings.HasPrefix(a, b) || strings.HasPrefix(b, a) }

func (c *checker) call(p *path, call Call) {
	switch call.Method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		c.faults.add(p.field("method"), "is %q, expected an HTTP method in capitals", call.Method)
	}
	if call.Path == "" || len(call.Path) > MaxIDBytes {
		c.faults.add(p.field("path"), "is %q, expected 1 to %d bytes", call.Path, MaxIDBytes)
	}
	if i := strings.IndexByte(call.Path, '*'); i >= 0 && i != len(call.Path)-1 {
		c.faults.add(p.field("path"), "is %q, * may stand at the end only", call.Path)
	}
}

func (c *checker) retention() {
	p := fieldPath("retention")
	window, retention := time.Duration(c.m.Retention.ClaimWindow), time.Duration(c.m.Retention.LogRecords)
	if window < MinClaimWindow || window > MaxClaimWindow {
		c.faults.add(p.field("claim_window"), "is %v, expected %v to %v", window, MinClaimWindow, MaxClaimWindow)
	}
	if retention < MinRetentionWindows*window {
		c.faults.add(p.field("log_records"), "is %v, expected at least %d times the claim window %v", retention, MinRetentionWindows, window)
	}
}

func (c *checker) inRange(p *path, n, low, high int) {
	if n < low || n > high {
		c.faults.add(p, "has %d, expected %d to %d", n, low, high)
	}
}

func (c *checker) unique(p *path, seen map[string]bool, name string) {
	if seen[name] {
		c.faults.add(p, "%q is declared twice", name)
	}
	seen[name] = true
}

func (c *checker) declared(p *path, names map[string]bool, name, what string) {
	if !names[name] {
		c.faults.add(p, "%q is not a %s of this manifest", name, what)
	}
}

func (c *checker) keyHash(p *path, h string) {
	raw, err := hex.DecodeString(h)
	if err != nil || len(raw) != keyHashBytes || strings.ToLower(h) != h {
		c.faults.add(p, "is not a SHA-256 in small hex letters")
	}
}

// id adds a fault for an id that would need escaping in a header, a path or a log
// line.
func (c *checker) id(p *path, id string) {
	if id == "" || len(id) > MaxIDBytes {
		c.faults.add(p, "is %q, expected 1 to %d bytes", id, MaxIDBytes)
		return
	}
	for _, r := range id {
		if !validIDRune(r) {
			c.faults.add(p, "is %q, expected letters, digits and . _ : / @ + - only", id)
			return
		}
	}
}

func validIDRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune("._:/@+-", r)
}
