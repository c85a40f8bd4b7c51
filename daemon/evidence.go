package daemon

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// recentEvidence returns the recent endpoint evidence for the digest to the
// neighbours.
func (v *fleetView) recentEvidence(now time.Time) []fleet.Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.RecentEvidence(now, evidenceWindow, maxEvidence)
}

// announcePlacements announces to the other daemons where prefixes without a
// cached location were placed, so that the next prompt about the same document
// goes to the same endpoint.
func (v *fleetView) announcePlacements() {
	announcements := v.placement.TakeAnnouncements(nil)
	if v.daemon.o.DisableAnnouncements {
		return
	}
	if v.daemon.peers.AnnouncePlacements(v.now(), announcements) > 0 {
		v.daemon.metrics.Scope.Counter("notices_sent").Inc(int64(len(announcements)))
	}
}

// receiveAnnouncements applies another daemon's placement announcements.
func (v *fleetView) receiveAnnouncements(_ string, announcements []placement.Announcement) {
	v.placement.ReceiveAnnouncements(announcements)
	v.daemon.metrics.Scope.Counter("notices_heard").Inc(int64(len(announcements)))
}

// applyNeighbourEvidence applies a neighbour's endpoint evidence.
func (v *fleetView) applyNeighbourEvidence(now time.Time, evidence []fleet.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyChanges(v.members.ApplyNeighbourEvidence(now, evidence))
}
