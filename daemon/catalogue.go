package daemon

import (
	"sync/atomic"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logging"
)

// catalogue holds the index of the manifest in force. Requests read it without
// a lock and use the same index until they end.
type catalogue struct {
	log     *logging.Logger
	current atomic.Pointer[catalog.Index]
}

func newCatalogue(log *logging.Logger) *catalogue { return &catalogue{log: log} }

func (c *catalogue) index() *catalog.Index { return c.current.Load() }

// buildIndex indexes a manifest. If it fails, the previous manifest stays in
// force. The log's state only accepts manifests that pass validation, so a
// failure is a bug of the release.
func (c *catalogue) buildIndex(v *ledger.Version) (*catalog.Index, bool) {
	index, err := catalog.New(&v.Manifest)
	if err != nil {
		c.log.Error("Manifest cannot be indexed.", "offset", int64(v.Revision.Offset), "error", err.Error())
		return nil, false
	}
	return index, true
}

// activate makes the index the one that new requests use.
func (c *catalogue) activate(index *catalog.Index, v *ledger.Version) {
	c.current.Store(index)
	c.log.Info("Manifest is in force.", "offset", int64(v.Revision.Offset), "digest", string(v.Revision.Digest))
}

// onManifestChange applies a newer manifest to all components. The index is
// activated last: from then on the daemon is ready and knows the API keys, and
// a request that arrived before admission has its organisation would be refused
// as not permitted.
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
