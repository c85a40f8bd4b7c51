package router

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/bytebudget"
	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/logging"
)

// newHeldBudget returns the budget of a daemon with the given memory for what it holds of the
// bodies that others send.
func newHeldBudget(memoryBytes int64) *bytebudget.Budget {
	return bytebudget.New(ingress.HeldBytes(memoryBytes), time.Now)
}

// newCallerConns returns the connections of callers.
func (r *Router) newCallerConns() *ingress.Conns {
	s := &r.options.Settings
	return ingress.NewConns(ingress.Options{
		Max: ingress.MaxConns(s.MemoryBytes, s.descriptors()), Limits: r.callerLimits, Budget: r.held,
		Closed: connReporter("callers", r.metrics.scope, r.log),
	})
}

// newControlConns returns the connections at an address for the balancer, operators or other
// daemons.
func (r *Router) newControlConns(address string, most int) *ingress.Conns {
	return ingress.NewConns(ingress.Options{Max: most, Closed: connReporter(address, r.metrics.scope, r.log)})
}

// controlConns bounds the connections of the balancer and of operators, each.
func (r *Router) controlConns() int {
	return min(ingress.MaxControlConns, ingress.MaxPeerConns(r.options.Settings.descriptors()))
}

// callerLimits returns what the configuration in force allows callers.
func (r *Router) callerLimits() ingress.Limits {
	t := r.state.table.Load()
	if t == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{HeadBytes: t.Limits.HeaderBytes, HeadTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// descriptors returns how many descriptors the daemon may open.
func (s *Settings) descriptors() int {
	if s.Descriptors > 0 {
		return s.Descriptors
	}
	return ingress.Descriptors()
}

// connReporter counts and logs connections that were closed for want of room or time.
func connReporter(address string, scope tally.Scope, log *logging.Logger) func(ingress.State, ingress.Reason) {
	lines := lineLimiter{perSecond: limitLinesPerSecond}
	return func(s ingress.State, reason ingress.Reason) {
		scope.Tagged(map[string]string{"address": address, "state": s.String(), "reason": string(reason)}).Counter("connections_closed").Inc(1)
		if s == ingress.StateIdle && reason == ingress.ReasonTimeout {
			return // as every client of HTTP expects
		}
		write, suppressed := lines.allow(time.Now())
		if suppressed > 0 {
			log.Info("Log lines of closed connections were suppressed.", "connections", suppressed)
		}
		if write {
			log.Info("Connection was closed.", "address", address, "state", s.String(), "reason", string(reason))
		}
	}
}

// updateCallerGauges updates the metrics of what is held for callers.
func (r *Router) updateCallerGauges() {
	r.metrics.scope.Gauge("caller_connections").Update(float64(r.callers.Open()))
	r.metrics.scope.Gauge("request_bytes_held").Update(float64(r.held.Held(bytebudget.Requests)))
	r.metrics.scope.Gauge("requests_shed").Update(float64(r.held.Shed()))
}

// controlServer returns the server of an address for the balancer, operators or other daemons.
// Their requests have no body.
func (r *Router) controlServer(conns *ingress.Conns, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: ingress.NoBody(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: controlWriteTimeout,
		MaxHeaderBytes: maxControlHeaderBytes,
	}
	conns.Attach(s)
	return s
}
