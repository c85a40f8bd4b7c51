package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer/peerpb"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/prefix"
)

// MaxAnnouncementDaemons is the number of listed daemons above which no placement
// announcements are sent: each goes to all other daemons, so the traffic grows with their
// number, and with many daemons few of them receive the same uncached document.
const MaxAnnouncementDaemons = 16

// maxAnnouncementTokens limits the tokens of one announcement; larger values are reduced
// to it.
const maxAnnouncementTokens = 1 << 20

// maxAnnouncementAge is the age above which an announcement is ignored.
const maxAnnouncementAge = 5 * time.Second

// AnnouncePlacements sends placement announcements to all other listed daemons and returns
// to how many. It does not wait for delivery: a late announcement is of no use, and a lost
// one costs no more than its saving.
func (s *Service) AnnouncePlacements(now time.Time, announcements []placement.Announcement) int {
	list := s.o.Daemons()
	if len(announcements) == 0 || len(list) > MaxAnnouncementDaemons {
		return 0
	}
	message := announcementsToWire(now, s.o.Self.ID, announcements)
	sent := 0
	for _, d := range list {
		if d.ID == s.o.Self.ID || d.State == fleet.VMLeaving || !s.exchanges.TryAcquire(1) {
			continue
		}
		sent++
		s.tasks.Go(func() {
			defer s.exchanges.Release(1)
			s.announceTo(d, message)
		})
	}
	return sent
}

func (s *Service) announceTo(d ports.Daemon, message *peerpb.Notices) {
	c, err := s.connectionTo(d.PeerAddress)
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, s.o.CallTimeout)
		defer cancel()
		_, err = c.client.Notify(ctx, message)
	}
	if err != nil {
		s.o.Observe(Event{EventUnreachable, d.ID, err})
	}
}

// Notify handles the placement announcements of another daemon.
func (h *handler) Notify(_ context.Context, m *peerpb.Notices) (*peerpb.NotifyReply, error) {
	if len(m.GetNotices()) > placement.MaxAnnouncements || len(m.GetDaemon()) > neighbour.MaxDaemonID {
		return nil, status.Error(codes.InvalidArgument, "too many announcements or daemon ID too long")
	}
	h.service.o.OnPlacementAnnouncements(m.GetDaemon(), announcementsFromWire(time.Now(), m.GetNotices()))
	return &peerpb.NotifyReply{}, nil
}

func announcementsToWire(now time.Time, daemon string, announcements []placement.Announcement) *peerpb.Notices {
	w := &peerpb.Notices{Daemon: daemon}
	for i := range announcements {
		n := &announcements[i]
		p := &peerpb.Notice{
			Endpoint:    string(n.Endpoint),
			Incarnation: uint64(n.Incarnation),
			Lost:        n.CacheLost,
			Tokens:      uint32(max(n.Tokens, 0)),
			Priority:    uint32(max(n.Priority, 0)),
			AgeMs:       uint32(max(now.Sub(n.At), 0).Milliseconds()),
		}
		if !n.CacheLost {
			p.Key = n.Key[:]
		}
		w.Notices = append(w.Notices, p)
	}
	return w
}

// announcementsFromWire converts announcements and leaves out those outside the limits.
func announcementsFromWire(now time.Time, list []*peerpb.Notice) []placement.Announcement {
	var announcements []placement.Announcement
	for _, p := range list {
		age := time.Duration(p.GetAgeMs()) * time.Millisecond
		complete := p.GetLost() || len(p.GetKey()) == prefix.KeySize
		if !complete || age > maxAnnouncementAge || len(p.GetEndpoint()) > neighbour.MaxEndpointID {
			continue
		}
		n := placement.Announcement{
			Endpoint:    fleet.EndpointID(p.GetEndpoint()),
			Incarnation: fleet.Incarnation(p.GetIncarnation()),
			CacheLost:   p.GetLost(),
			Tokens:      int(min(p.GetTokens(), maxAnnouncementTokens)),
			Priority:    contract.Priority(min(p.GetPriority(), uint32(contract.PriorityCount-1))),
			At:          now.Add(-age),
		}
		copy(n.Key[:], p.GetKey())
		announcements = append(announcements, n)
	}
	return announcements
}
