package permits

import (
	"time"

	"github.com/merlindock/merlindock/gossip"
)

// noticeTTL is how long endpoints of a service that have not answered are taken for brittle
// after an answer of one that is.
const noticeTTL = 10 * time.Second

// noticeSources is the number of daemons that one that has started asks for notices.
const noticeSources = 8

// notices are the services of which some daemon had an answer of a brittle endpoint.
type notices struct {
	peers      *gossip.Peers
	reportedAt map[key]time.Duration // the newest such answer
}

// brittle reports whether endpoints of the service may be brittle.
func (s *notices) brittle(now time.Duration, service key) bool {
	at, some := s.reportedAt[service]
	return some && now-at < noticeTTL
}

// answered records an answer of a brittle endpoint.
func (s *notices) answered(now time.Duration, service key) {
	if !s.brittle(now, service) {
		s.peers.SendToSample(gossip.DirectFanout, encodeNotices([]notice{{service: service}}))
	}
	s.set(now, service, now)
}

// set records an answer of the given time, which another daemon may have received.
func (s *notices) set(now time.Duration, service key, at time.Duration) {
	if now-at >= noticeTTL || len(s.reportedAt) >= maxNotices && s.reportedAt[service] == 0 {
		return
	}
	s.reportedAt[service] = max(s.reportedAt[service], at)
}

// tell sends a daemon all notices.
func (s *notices) tell(now time.Duration, to string) {
	if all := s.list(now); len(all) > 0 {
		s.peers.Send(gossip.Peer{Address: to}, encodeNotices(all))
	}
}

// list returns the notices and removes those that have expired.
func (s *notices) list(now time.Duration) []notice {
	var all []notice
	for service, at := range s.reportedAt {
		if now-at >= noticeTTL {
			delete(s.reportedAt, service)
			continue
		}
		all = append(all, notice{service: service, age: now - at})
	}
	return all
}

// tick sends all notices to a random daemon every gossip.SyncInterval. So those that the
// first message did not reach learn of them within a few intervals, whatever their number.
func (s *notices) tick(now time.Duration) {
	if all := s.list(now); len(all) > 0 && s.peers.SyncDue(now) {
		s.peers.SendToSample(1, encodeNotices(all))
	}
}
