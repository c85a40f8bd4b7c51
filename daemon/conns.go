package daemon

import (
	"github.com/merlindock/merlindock/ingress"
)

// newConns returns the connections of callers and of operators.
func (d *Daemon) newConns() (callers, operators *ingress.Conns) {
	s := d.o.Settings
	descriptors := ingress.Descriptors()
	callers = ingress.NewConns(ingress.Options{
		Max: min(s.Callers.Connections, ingress.MaxConns(0, descriptors)), Budget: d.held,
		Encrypted: s.TLS.CallersCert != "", Closed: d.connReporter("callers"), Now: d.o.Now,
	})
	operators = ingress.NewConns(ingress.Options{
		Max: min(ingress.MaxControlConns, ingress.MaxPeerConns(descriptors)), Closed: d.connReporter("operators"), Now: d.o.Now,
	})
	return callers, operators
}

// connReporter counts connections that were closed for want of room or time.
func (d *Daemon) connReporter(address string) func(ingress.State, ingress.Reason) {
	return func(s ingress.State, reason ingress.Reason) {
		d.metrics.Scope.Tagged(map[string]string{"address": address, "state": s.String(), "reason": string(reason)}).Counter("connections_closed").Inc(1)
	}
}
