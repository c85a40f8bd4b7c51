package daemon

import (
	"sync/atomic"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logging"
)

// catalogue holds the index of the manifest in force. Requests read it without
// a lock and keep the one they began with.
type catalogue struct {
	log     *logging.Logger
	current atomic.Pointer[catalog.Index]
}

func newCatalogue(log *logging.Logger) *catalogue { return &catalogue{log: log} }

func (c *catalogue) index() *catalog.Index { return c.current.Load() }

// buildIndex indexes a manifest. One that cannot be indexed leaves the one before
// in force: the fold has checked it, so this is a fault of the release.
func (c *catalogue) buildIndex(v *ledger.Version) (*catalog.Index, bool) {
	index, err := catalog.New(&v.Manifest)
	if err != nil {
		c.log.Error("Manifest cannot be indexed.", "offset", int64(v.Revision.Offset), "error", err.Error())
		return nil, false
	}
	return index, true
}

// activate brings an index into force for requests that begin now.
func (c *catalogue) activate(index *catalog.Index, v *ledger.Version) {
	c.current.Store(index)
	c.log.Info("Manifest is in force.", "offset", int64(v.Revision.Offset), "digest", string(v.Revision.Digest))
}

// onManifestChange brings a newer manifest into force in every part. The index comes
// last: with it the daemon says ready and knows the keys, and a caller that came
// before admission knew its organisation would be refused as one that may not
// use the fleet.
func (d *Daemon) onManifestChange(v *ledger.Version) {
	index, ok := d.catalogue.buildIndex(v)
	if !ok {
		return
	}
	d.fleet.setManifest(&v.Manifest)
	d.admission.setManifest(&v.Manifest)
	d.claimer.setManifest(&v.Manifest)
	d.catalogue.activate(index, v)
	d.peers.AnnounceManifest()
}
