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

// set indexes a manifest. One that cannot be indexed leaves the one before in
// force: the fold has checked it, so this is a fault of the release.
func (c *catalogue) set(v *ledger.Version) bool {
	index, err := catalog.New(&v.Manifest)
	if err != nil {
		c.log.Error("Manifest cannot be indexed.", "offset", int64(v.Revision.Offset), "error", err.Error())
		return false
	}
	c.current.Store(index)
	c.log.Info("Manifest is in force.", "offset", int64(v.Revision.Offset), "digest", string(v.Revision.Digest))
	return true
}

// changed brings a newer manifest into force in every part.
func (d *Daemon) changed(v *ledger.Version) {
	if !d.catalogue.set(v) {
		return
	}
	d.fleet.setManifest(&v.Manifest)
	d.admission.setManifest(&v.Manifest)
	d.claimer.setManifest(&v.Manifest)
	d.peers.Announce()
}
