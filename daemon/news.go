package daemon

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// recentEvidence is what the neighbours are told of endpoints.
func (v *fleetView) recentEvidence(now time.Time) []fleet.Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.RecentEvidence(now, evidenceWindow, maxEvidence)
}

// announcePlacements tells the other daemons where cold prefixes went, so that the next
// question on the same document follows to the same endpoint.
func (v *fleetView) announcePlacements() {
	notices := v.placement.TakeAnnouncements(nil)
	if v.daemon.o.DisableAnnouncements {
		return
	}
	if v.daemon.peers.AnnouncePlacements(v.now(), notices) > 0 {
		v.daemon.metrics.Scope.Counter("notices_sent").Inc(int64(len(notices)))
	}
}

// receiveAnnouncements takes another daemon's notices.
func (v *fleetView) receiveAnnouncements(_ string, notices []placement.Announcement) {
	v.placement.ReceiveAnnouncements(notices)
	v.daemon.metrics.Scope.Counter("notices_heard").Inc(int64(len(notices)))
}

// applyNeighbourEvidence takes what a neighbour heard of endpoints.
func (v *fleetView) applyNeighbourEvidence(now time.Time, es []fleet.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyChanges(v.members.ApplyNeighbourEvidence(now, es))
}
