package shares

import (
	"testing"
	"time"
)

// Guards against daemons that choose different owners, and an owner with few cores.
func TestOwnerHasTheMostCores(t *testing.T) {
	all := []Daemon{testDaemon(1), testDaemon(2), testDaemon(3), testDaemon(4)}
	all[2].Cores = 2
	for i := 1; i <= 4; i++ {
		n := node(i, all...)
		n.o.Self = all[i-1]
		n.SetDaemons(all)
		address, self := n.Owner(sec, tested)
		if self != (i == 3) || !self && address != all[2].Address {
			t.Errorf("daemon %d: owner %q, self %v", i, address, self)
		}
	}
	// Services are spread over daemons with equally many cores.
	all[2].Cores = 1
	owners := map[string]int{}
	for service := range Service(400) {
		n := node(1, all...)
		address, _ := n.Owner(sec, service)
		owners[address]++
	}
	if len(owners) != 4 {
		t.Errorf("owners %v", owners)
	}
}

// Guards against a daemon that waits for owners that do not answer, or that never tries them
// again.
func TestSilentOwnersAreAvoided(t *testing.T) {
	all := []Daemon{testDaemon(1), testDaemon(2), testDaemon(3), testDaemon(4)}
	for i := range all {
		all[i].Cores = float64(i + 1)
	}
	n := NewNode(Options{Self: all[0], Nonce: 1, Rand: node(1).o.Rand})
	n.SetDaemons(all)
	n.SetSlots(tested, 10)
	first := map[string]time.Duration{}
	alone := time.Duration(0)
	for now := sec; now < 8*sec; now += TickInterval {
		shortage(n, now)
		n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 0.1, Objective: sec})
		n.Tick(now)
		for _, m := range n.Outbox() {
			if _, ok := first[m.To]; !ok {
				first[m.To] = now
			}
		}
		if !n.Short(tested) {
			t.Fatalf("%v: the service is not short without an owner", now)
		}
		if address, self := n.Owner(now, tested); self && address == "" && alone == 0 {
			alone = now
		}
	}
	if at := first[all[3].Address]; at != sec {
		t.Errorf("the first report to the owner was sent at %v", at)
	}
	if at := first[all[2].Address]; at < sec+400*ms || at > sec+600*ms {
		t.Errorf("the first report to the next owner was sent at %v, want two intervals later", at)
	}
	if alone < sec+800*ms || alone > sec+1200*ms {
		t.Errorf("the daemon decided alone at %v, want after two silent owners", alone)
	}
	if d := n.Offer(8*sec, &Work{Service: tested, Organisation: 1, Cost: 0.1, Objective: sec}); !d.Short || d.Owner != "" {
		t.Errorf("%+v", d)
	}
}

// Guards against refusals of a service that is not short, and of one for which an owner with
// the reports of most daemons says so.
func TestVerdictOverridesOwnObservations(t *testing.T) {
	all := []Daemon{testDaemon(1), testDaemon(2)}
	all[1].Cores = 8
	for _, covers := range []bool{false, true} {
		n := NewNode(Options{Self: all[0], Nonce: 1, Rand: node(1).o.Rand})
		n.SetDaemons(all)
		if d := n.Offer(sec, &Work{Service: tested, Cost: 1}); !d.Admitted || d.Short {
			t.Fatalf("%+v", d)
		}
		shortage(n, sec)
		v := &verdict{service: tested, covers: covers, rest: 1}
		if err := n.Receive(sec, all[1].Address, v.encode(0, nil)); err != nil {
			t.Fatal(err)
		}
		if d := n.Offer(sec, &Work{Service: tested, Cost: 1}); d.Short == covers {
			t.Errorf("reports of most daemons %v: %+v", covers, d)
		}
		// The statement that a service is not short holds for two intervals.
		if d := n.Offer(sec+450*ms, &Work{Service: tested, Cost: 1}); !d.Short {
			t.Errorf("reports of most daemons %v: %+v later", covers, d)
		}
	}
}

// Guards against a debt of a large request that limits its organisation in a later shortage.
func TestDebtEndsWithTheShortage(t *testing.T) {
	n, now := limitedNode(t)
	o := n.services[tested].byID[1]
	o.credit[0] = -1000
	for at := now + 5*sec; now < at; now += 10 * ms {
		n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 0.001, Objective: sec})
		n.Observe(now, tested, Wait{Allowed: sec, Cost: 0.001})
		if now%TickInterval == 0 {
			n.Tick(now)
		}
	}
	if n.Short(tested) {
		t.Fatal("the service is still short")
	}
	for i := 0; i < 20; i++ {
		shortage(n, now)
	}
	for at := now + 2*sec; now < at; now += 10 * ms {
		overload(n, now)
	}
	if !n.Short(tested) || o.credit[0] < -1 {
		t.Errorf("short %v, credit %v", n.Short(tested), o.credit[0])
	}
}
