package routed

import (
	"net/http"
	"slices"
	"testing"

	"github.com/merlindock/merlindock/lab/metastore"
)

// nameVersion writes a weight version of the model as the operator does.
func (w *testbed) nameVersion(version int64) {
	w.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": version})
}

// waitForVersion waits until both engines have the version.
func (w *testbed) waitForVersion(version int64) {
	w.t.Helper()
	w.waitUntil("both engines have the version", func() bool {
		return w.runners["llm-1"].Version() == version && w.runners["llm-2"].Version() == version
	})
}

// restoreDuringOutage takes the store away, restores it from the copy, has what the
// operator and the runners wrote since written again, and brings it back.
func (w *testbed) restoreDuringOutage(c metastore.Copy, rewrite func()) {
	w.store.SetFault(metastore.Busy)
	w.store.Restore(c)
	rewrite()
	w.store.SetFault(metastore.NoFault)
}

// Guards against rollouts that stand still for ever after the store was restored from a
// copy, as the daemons claim the lease at an offset that it no longer has, and against
// fencing tokens that are given out again.
func TestRolloutAfterStoreWasRestored(t *testing.T) {
	w := newTestbed(t)
	empty := w.store.Copy()
	w.nameVersion(2)
	w.waitForVersion(2)
	afterFirst := w.store.Copy()
	version := int64(2)
	for _, c := range []metastore.Copy{empty, afterFirst} {
		version += 2
		w.nameVersion(version - 1)
		w.waitForVersion(version - 1)
		w.restoreDuringOutage(c, func() { w.nameVersion(version - 1) })
		w.nameVersion(version)
		w.waitForVersion(version)
	}
	for id, r := range w.runners {
		if got := r.FencingTokens(); !slices.IsSorted(got) {
			t.Errorf("%s got the fencing tokens %v", id, got)
		}
	}
}

// Guards against records that a daemon never reads, because the restored topic has grown
// beyond the offset that the daemon had read before: no read fails, and a revoked key
// stays in use.
func TestChangeWrittenBeforeRestoredTopicGrewIsRead(t *testing.T) {
	w := newTestbed(t)
	early := w.store.Copy()
	for range 3 {
		w.configure("key-a", "key-b")
	}
	w.waitUntil("the key is accepted", func() bool { return w.send(http.MethodGet, "/look/a", "key-b", nil).status == http.StatusOK })
	w.restoreDuringOutage(early, func() {
		w.configure("key-a")
		for range 8 {
			w.store.Put("keyed.op", "note", map[string]any{"unknown": true})
		}
	})
	w.waitUntil("the key is refused as unknown", func() bool {
		return w.send(http.MethodGet, "/look/a", "key-b", nil).status == http.StatusUnauthorized
	})
}
