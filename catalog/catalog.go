// Package catalog indexes a manifest for look-ups on the request path: from API
// keys to organisations, from model names to weight versions with their access
// rights, and from paths to plain services.
//
// An Index is immutable and safe for concurrent use, does no I/O and reads no
// clock. A request uses the same Index from beginning to end, so that a manifest
// accepted meanwhile cannot change its weights.
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

// AdapterSeparator separates the model from the adapter in a model name, as in
// "codes:registre-tags".
const AdapterSeparator = ":"

// Errors returned by look-ups.
var (
	ErrKeyUnknown        = errors.New("catalog: key is not known")
	ErrModelUnknown      = errors.New("catalog: model is not known")
	ErrModelForbidden    = errors.New("catalog: organisation may not use the model")
	ErrAdapterUnknown    = errors.New("catalog: adapter is not known")
	ErrAdapterForbidden  = errors.New("catalog: organisation may not use the adapter")
	ErrPriorityForbidden = errors.New("catalog: organisation may not ask for the priority")
)

// Organisation holds the share, priorities and models of an organisation.
type Organisation struct {
	ID          contract.OrganisationID
	Share       float64
	priorities  [contract.PriorityCount]bool
	leastUrgent contract.Priority
	models      map[string]bool // allowed models; nil allows all
}

// Target identifies the weights that all attempts of a request must use.
type Target struct {
	Model          string
	Version        string // weight version of the model
	Adapter        string // empty without an adapter
	AdapterVersion string
}

// Service is a plain service, one without models, of the manifest.
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
	modelNames    []string
	services      []*Service // longest prefix first
	classes       map[string]manifest.Class
	fleet         manifest.Fleet
}

type model struct {
	version      string
	adapters     map[string]*adapter
	adapterNames []string
}

type adapter struct {
	version       string
	organisations map[contract.OrganisationID]bool
}

// New indexes a validated manifest. It returns an error when a key hash is not a
// hexadecimal SHA-256 or a priority name is unknown.
func New(m *manifest.Manifest) (*Index, error) {
	index := &Index{
		keys:          make(map[[sha256.Size]byte]*Organisation),
		organisations: make(map[contract.OrganisationID]*Organisation, len(m.Organisations)),
		models:        make(map[string]*model, len(m.Models)),
		classes:       make(map[string]manifest.Class, len(m.Classes)),
		fleet:         m.Fleet,
	}
	for i := range m.Organisations {
		if err := index.addOrganisation(&m.Organisations[i]); err != nil {
			return nil, err
		}
	}
	for i := range m.Models {
		index.addModel(&m.Models[i])
	}
	for _, c := range m.Classes {
		index.classes[c.ID] = c
	}
	for i := range m.Services {
		index.addService(&m.Services[i])
	}
	// Longest prefix first, so that /receipts/archive takes precedence over
	// /receipts.
	slices.SortStableFunc(index.services, func(a, b *Service) int { return len(b.Prefix) - len(a.Prefix) })
	slices.Sort(index.modelNames)
	return index, nil
}

func (i *Index) addOrganisation(o *manifest.Organisation) error {
	org := &Organisation{ID: o.ID, Share: o.Share}
	for _, name := range o.Priorities {
		p, err := contract.ParsePriority(name)
		if err != nil {
			return fmt.Errorf("catalog: organisation %s: %w", o.ID, err)
		}
		org.priorities[p] = true
		org.leastUrgent = max(org.leastUrgent, p)
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
		i.keys[sum] = org
	}
	i.organisations[o.ID] = org
	return nil
}

func (i *Index) addModel(m *manifest.Model) {
	entry := &model{version: m.Version, adapters: make(map[string]*adapter, len(m.Adapters))}
	for _, a := range m.Adapters {
		rights := make(map[contract.OrganisationID]bool, len(a.Organisations))
		for _, id := range a.Organisations {
			rights[id] = true
		}
		entry.adapters[a.ID] = &adapter{version: a.Version, organisations: rights}
		entry.adapterNames = append(entry.adapterNames, a.ID)
	}
	slices.Sort(entry.adapterNames)
	i.models[m.ID] = entry
	i.modelNames = append(i.modelNames, m.ID)
}

func (i *Index) addService(s *manifest.Service) {
	i.services = append(i.services, &Service{
		ID:     s.ID,
		Prefix: strings.TrimRight(s.PathPrefix, "/"),
		Class:  s.Class,
		calls:  s.Calls,
	})
}

// Authenticate returns the organisation that an API key belongs to, or
// ErrKeyUnknown. It looks up the key's hash, so that neither the manifest nor the
// time of the look-up reveals anything about a key.
func (i *Index) Authenticate(key string) (*Organisation, error) {
	org, ok := i.keys[sha256.Sum256([]byte(key))]
	if !ok {
		return nil, ErrKeyUnknown
	}
	return org, nil
}

// Organisation returns the organisation with the given ID, and false if there is
// none.
func (i *Index) Organisation(id contract.OrganisationID) (*Organisation, bool) {
	org, ok := i.organisations[id]
	return org, ok
}

// Resolve returns the weights for a model name and an adapter name. The model name
// may contain the adapter after AdapterSeparator; then adapterName must be empty
// or the same. The errors are ErrModelUnknown, ErrModelForbidden,
// ErrAdapterUnknown and ErrAdapterForbidden.
func (i *Index) Resolve(org *Organisation, name, adapterName string) (Target, error) {
	base, suffix, _ := strings.Cut(name, AdapterSeparator)
	if suffix != "" && adapterName != "" && suffix != adapterName {
		return Target{}, fmt.Errorf("%w: %q and %q are both asked for", ErrAdapterUnknown, suffix, adapterName)
	}
	if adapterName == "" {
		adapterName = suffix
	}
	m, ok := i.models[base]
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

// Priority returns the priority with the given name, or ErrPriorityForbidden if
// the organisation may not use it. Without a name it returns the standard priority,
// or the least urgent of the organisation if that one is not allowed.
func (o *Organisation) Priority(name string) (contract.Priority, error) {
	if name == "" {
		if o.priorities[contract.PriorityStandard] {
			return contract.PriorityStandard, nil
		}
		return o.leastUrgent, nil
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

// Models returns the model names that the organisation may use, with adapters,
// in the order of their names.
func (i *Index) Models(org *Organisation) []string {
	var names []string
	for _, base := range i.modelNames {
		if org.models != nil && !org.models[base] {
			continue
		}
		names = append(names, base)
		m := i.models[base]
		for _, a := range m.adapterNames {
			if m.adapters[a].organisations[org.ID] {
				names = append(names, base+AdapterSeparator+a)
			}
		}
	}
	return names
}

// Service returns the plain service with the longest prefix of the path, and the
// rest of the path, which is empty or begins with a slash. It returns false if no
// service matches.
func (i *Index) Service(path string) (s *Service, rest string, ok bool) {
	for _, s := range i.services {
		rest, found := strings.CutPrefix(path, s.Prefix)
		if found && (rest == "" || rest[0] == '/') {
			return s, rest, true
		}
	}
	return nil, "", false
}

// Idempotent reports whether a call of the service may be repeated. The first
// matching rule decides; a call without a rule may not be repeated, whatever its
// method.
func (s *Service) Idempotent(method, rest string) bool {
	for _, c := range s.calls {
		if c.Method == method && matchesPath(c.Path, rest) {
			return c.Idempotent
		}
	}
	return false
}

func matchesPath(pattern, path string) bool {
	if stem, wild := strings.CutSuffix(pattern, "*"); wild {
		return strings.HasPrefix(path, stem)
	}
	return pattern == path
}

// Serves reports whether endpoints of a class are of the given kind and, for
// model engines, serve the model.
func (i *Index) Serves(class string, kind fleet.Kind, model string) bool {
	c, ok := i.classes[class]
	if !ok || c.Kind != kind {
		return false
	}
	return kind != fleet.KindModel || slices.Contains(c.Models, model)
}

// Fleet returns the fleet settings of the manifest.
func (i *Index) Fleet() manifest.Fleet { return i.fleet }
