package router

import (
	"math/rand/v2"
	"net"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/reach"
	"github.com/merlindock/merlindock/relay"
)

// connectEndpoints creates the client of the endpoints, whose connections other daemons
// relay while this daemon is cut off, and the server that does so for others.
func (r *Router) connectEndpoints() {
	o := &r.options
	d := forward.Dialer()
	direct, peers := o.Dial, o.DialPeer
	if direct == nil {
		direct = d.DialContext
	}
	if peers == nil {
		peers = d.DialContext
	}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())) }
	r.paths = relay.NewDialer(relay.Options{
		Direct: direct, Peers: peers, Clock: r.clock, Log: r.log,
		PathsLost: r.pathsLost,
		PathsBack: func() { r.client.CloseIdleRelayed() },
	}, reach.NewTracker(random()), reach.NewHelpers(string(o.Settings.Zone), random()))
	r.client = forward.NewClient(o.Wire, r.paths.Dial)
	r.client.Limits = r.answerLimits
	r.relayServer = relay.NewServer(relay.ServerOptions{
		Dial: direct, Known: r.state.hasEndpointAt, Peer: r.isPeer, Log: r.log,
		Unable: func() bool { return r.paths.Isolated() || r.shuttingDown.Load() },
	})
}

// pathsLost drops what depends on paths that carry no packets: idle connections, and waits
// that were observed over them. An empty address stands for all endpoints.
func (r *Router) pathsLost(address string) {
	r.client.CloseIdleDirect(address)
	concerned := map[fleet.EndpointID]bool{}
	r.state.mu.Lock()
	for key, e := range r.state.roster.All() {
		if address == "" || e.Address == address {
			concerned[key] = true
		}
	}
	r.state.mu.Unlock()
	r.placer.forgetWaits(concerned)
}

// setPeers sets the daemons that may relay connections of this one, and for which this one
// relays, and which share the endpoints.
func (r *Router) setPeers(all []Neighbour) {
	hosts := map[string]bool{}
	var peers []reach.Peer
	for _, n := range all {
		if n.Address == "" || n.Name == r.options.Settings.Name {
			continue
		}
		peers = append(peers, reach.Peer{Name: n.Name, Address: n.Address, Zone: string(n.Zone)})
		if host, _, err := net.SplitHostPort(n.Address); err == nil {
			hosts[host] = true
		}
	}
	r.peerHosts.Store(&hosts)
	r.paths.SetPeers(peers)
	r.placer.permits.setPeers(peersOf(all))
	r.placer.admission.setDaemons(all)
}

// isPeer reports whether a connection from the address may be that of another daemon.
func (r *Router) isPeer(remote string) bool {
	hosts := r.peerHosts.Load()
	host, _, err := net.SplitHostPort(remote)
	return err == nil && hosts != nil && (*hosts)[host]
}
