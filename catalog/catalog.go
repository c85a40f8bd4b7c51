// Package catalog indexes a manifest for the request path: which organisation
// a key belongs to, which weights a request names and whether its organisation
// may use them, and which plain service a path belongs to.
//
// An Index is immutable, does no I/O and reads no clock; many goroutines may
// use it at once. A request keeps the Index it began with, so that a manifest
// accepted meanwhile cannot change its weights half-way.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

// AdapterSeparator parts the model from the adapter in a model name, as in
// "codes:registre-tags".
const AdapterSeparator = ":"

// Errors of the look-ups.
var (
	ErrKeyUnknown        = errors.New("catalog: key is not known")
	ErrModelUnknown      = errors.New("catalog: model is not known")
	ErrModelForbidden    = errors.New("catalog: organisation may not use the model")
	ErrAdapterUnknown    = errors.New("catalog: adapter is not known")
	ErrAdapterForbidden  = errors.New("catalog: organisation may not use the adapter")
	ErrPriorityForbidden = errors.New("catalog: organisation may not ask for the priority")
)

// Organisation is what the request path needs of one organisation.
type Organisation struct {
	ID         contract.OrganisationID
	Share      float64
	priorities [contract.PriorityCount]bool
	lowest     contract.Priority
	models     map[string]bool // nil: all
}

// Target names the weights that a request is bound to from its first attempt
// to its last.
type Target struct {
	Model          string
	Version        string // weight version of the model
	Adapter        string // empty: none
	AdapterVersion string
}

// Service is a plain service of the manifest.
type Service struct {
	ID     string
	Prefix string // without a trailing slash
	Class  string
	calls  []manifest.Call
}

// Index is a manifest prepared for look-ups.
type Index struct {
	keys          map[[sha256.Size]byte]*Organisation
	organisations map[contract.OrganisationID]*Organisation
	models        map[string]*model
	names         []string
	services      []*Service // longest prefix first
	classes       map[string]manifest.Class
	fleet         manifest.Fleet
}

type model struct {
	version  string
	adapters map[string]*adapter
	names    []string
}

type adapter struct {
	version       string
	organisations map[contract.OrganisationID]bool
}

// New indexes a manifest that has passed its checks. It returns an error when
// a key hash is not the hexadecimal SHA-256 it must be, or a priority has no
// such name.
func New(m *manifest.Manifest) (*Index, error) {
	x := &Index{
		keys:          make(map[[sha256.Size]byte]*Organisation),
		organisations: make(map[contract.OrganisationID]*Organisation, len(m.Organisations)),
		models:        make(map[string]*model, len(m.Models)),
		classes:       make(map[string]manifest.Class, len(m.Classes)),
		fleet:         m.Fleet,
	}
	for i := range m.Organisations {
		if err := x.addOrganisation(&m.Organisations[i]); err != nil {
			return nil, err
		}
	}
	for i := range m.Models {
		x.addModel(&m.Models[i])
	}
	for _, c := range m.Classes {
		x.classes[c.ID] = c
	}
	for i := range m.Services {
		x.addService(&m.Services[i])
	}
	// The longest prefix first, so that /receipts/archive wins over /receipts.
	slices.SortStableFunc(x.services, func(a, b *Service) int { return len(b.Prefix) - len(a.Prefix) })
	slices.Sort(x.names)
	return x, nil
}

func (x *Index) addOrganisation(o *manifest.Organisation) error {
	org := &Organisation{ID: o.ID, Share: o.Share}
	for _, name := range o.Priorities {
		p, err := contract.ParsePriority(name)
		if err != nil {
			return fmt.Errorf("catalog: organisation %s: %w", o.ID, err)
		}
		org.priorities[p] = true
		org.lowest = max(org.lowest, p)
	}
	if len(o.Models) > 0 {
		org.models = make(map[string]bool, len(o.Models))
		for _, id := range o.Models {
			org.models[id] = true
		}
	}
	for _, h := range o.KeyHashes {
		var sum [sha256.Size]byte
		if n, err := hex.Decode(sum[:], []byte(h)); err != nil || n != len(sum) || len(h) != 2*len(sum) {
			return fmt.Errorf("catalog: organisation %s: key hash %q is not a hexadecimal SHA-256", o.ID, h)
		}
		x.keys[sum] = org
	}
	x.organisations[o.ID] = org
	return nil
}

func (x *Index) addModel(m *manifest.Model) {
	entry := &model{version: m.Version, adapters: make(map[string]*adapter, len(m.Adapters))}
	for _, a := range m.Adapters {
		rights := make(map[contract.OrganisationID]bool, len(a.Organisations))
		for _, id := range a.Organisations {
			rights[id] = true
		}
		entry.adapters[a.ID] = &adapter{version: a.Version, organisations: rights}
		entry.names = append(entry.names, a.ID)
	}
	slices.Sort(entry.names)
	x.models[m.ID] = entry
	x.names = append(x.names, m.ID)
}

func (x *Index) addService(s *manifest.Service) {
	x.services = append(x.services, &Service{
		ID:     s.ID,
		Prefix: strings.TrimRight(s.PathPrefix, "/"),
		Class:  s.Class,
		calls:  s.Calls,
	})
}

// Authenticate returns the organisation that an API key belongs to, or
// ErrKeyUnknown. Only the key's hash is compared, so neither the manifest nor
// the time taken tells anything of a key.
func (x *Index) Authenticate(key string) (*Organisation, error) {
	org, ok := x.keys[sha256.Sum256([]byte(key))]
	if !ok {
		return nil, ErrKeyUnknown
	}
	return org, nil
}

// Organisation returns the organisation of the given name.
func (x *Index) Organisation(id contract.OrganisationID) (*Organisation, bool) {
	org, ok := x.organisations[id]
	return org, ok
}

// Resolve returns the weights that a model name and an adapter name stand for.
// The model name may carry the adapter after AdapterSeparator; then adapter
// must be empty or the same.
func (x *Index) Resolve(org *Organisation, name, adapterName string) (Target, error) {
	base, suffix, _ := strings.Cut(name, AdapterSeparator)
	if suffix != "" && adapterName != "" && suffix != adapterName {
		return Target{}, fmt.Errorf("%w: %q and %q are both asked for", ErrAdapterUnknown, suffix, adapterName)
	}
	if adapterName == "" {
		adapterName = suffix
	}
	m, ok := x.models[base]
	if !ok {
		return Target{}, fmt.Errorf("%w: %q", ErrModelUnknown, base)
	}
	if org.models != nil && !org.models[base] {
		return Target{}, fmt.Errorf("%w: %q", ErrModelForbidden, base)
	}
	t := Target{Model: base, Version: m.version}
	if adapterName == "" {
		return t, nil
	}
	a, ok := m.adapters[adapterName]
	if !ok {
		return Target{}, fmt.Errorf("%w: %q", ErrAdapterUnknown, adapterName)
	}
	if !a.organisations[org.ID] {
		return Target{}, fmt.Errorf("%w: %q", ErrAdapterForbidden, adapterName)
	}
	t.Adapter, t.AdapterVersion = adapterName, a.version
	return t, nil
}

// Priority returns the priority that a request of the organisation gets when
// it asks for the given one by name. With no name it is the standard one, or
// the least urgent of the organisation's when it lacks that.
func (o *Organisation) Priority(name string) (contract.Priority, error) {
	if name == "" {
		if o.priorities[contract.PriorityStandard] {
			return contract.PriorityStandard, nil
		}
		return o.lowest, nil
	}
	p, err := contract.ParsePriority(name)
	if err != nil {
		return 0, err
	}
	if !o.priorities[p] {
		return 0, fmt.Errorf("%w: %q", ErrPriorityForbidden, name)
	}
	return p, nil
}

// Models lists the model names the organisation may use, adapters included, in
// the order of their names.
func (x *Index) Models(org *Organisation) []string {
	var names []string
	for _, base := range x.names {
		if org.models != nil && !org.models[base] {
			continue
		}
		names = append(names, base)
		m := x.models[base]
		for _, a := range m.names {
			if m.adapters[a].organisations[org.ID] {
				names = append(names, base+AdapterSeparator+a)
			}
		}
	}
	return names
}

// Service returns the plain service that a path belongs to and the rest of the
// path below its prefix, which is empty or begins with a slash.
func (x *Index) Service(path string) (s *Service, rest string, ok bool) {
	for _, s := range x.services {
		rest, found := strings.CutPrefix(path, s.Prefix)
		if found && (rest == "" || rest[0] == '/') {
			return s, rest, true
		}
	}
	return nil, "", false
}

// Idempotent tells whether a call of the service may be repeated. The first
// rule that matches counts; a call that no rule names may not be repeated,
// whatever its method.
func (s *Service) Idempotent(method, rest string) bool {
	for _, c := range s.calls {
		if c.Method == method && matches(c.Path, rest) {
			return c.Idempotent
		}
	}
	return false
}

func matches(pattern, path string) bool {
	if stem, wild := strings.CutSuffix(pattern, "*"); wild {
		return strings.HasPrefix(path, stem)
	}
	return pattern == path
}

// Serves tells whether endpoints of a class are of the given kind and, for
// model engines, serve the model.
func (x *Index) Serves(class string, kind fleet.Kind, model string) bool {
	c, ok := x.classes[class]
	if !ok || c.Kind != kind {
		return false
	}
	return kind != fleet.KindModel || slices.Contains(c.Models, model)
}

// Fleet returns the manifest's figures for all endpoints.
func (x *Index) Fleet() manifest.Fleet { return x.fleet }
