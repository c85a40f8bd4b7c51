package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quarantine"
)

// quarantinedMessage is the message of refusals with CodeQuarantined.
const quarantinedMessage = "endpoints that ran this request, or one with a message of it, have ended"

// checkQuarantine computes the request's fingerprint and returns a refusal if the
// request is quarantined. It runs before anything is sent to an endpoint. The
// fingerprint leaves out the host, which differs between daemons.
func (c *call) checkQuarantine() *Refusal {
	if c.g.o.Quarantine == nil {
		return nil
	}
	c.identity.Request = quarantine.FingerprintOf(string(c.org.ID), c.r.Method, "", requestURI(c.r.URL), c.body)
	hold, held := c.g.o.Quarantine.Held(&c.identity)
	if !held {
		return nil
	}
	return notRunRefusal(CodeQuarantined, quarantinedMessage, hold.Left)
}

// messageIDBytes is the length of the digest by which messages are told apart.
const messageIDBytes = 16

// checkMessages adds the fingerprints of a prompt's messages to the request's, and returns
// a refusal if one of them is quarantined. The last message, the question, belongs to the
// request alone.
func (c *call) checkMessages(m *modelRequest) *Refusal {
	if c.g.o.Quarantine == nil || len(m.levelEnds) < 2 {
		return nil
	}
	ids, begin := make([]string, 0, len(m.levelEnds)), 0
	for _, end := range m.levelEnds {
		sum := sha256.Sum256(bytes.Trim(m.prompt[begin:end], ", \t\r\n"))
		ids, begin = append(ids, hex.EncodeToString(sum[:messageIDBytes])), end
	}
	c.identity.SetSegments(string(c.org.ID), m.Model, ids)
	hold, held := c.g.o.Quarantine.Held(&c.identity)
	if !held {
		return nil
	}
	return notRunRefusal(CodeQuarantined, quarantinedMessage, hold.Left)
}

// mayRetry reports whether the quarantine allows a retry after a failed attempt.
func (c *call) mayRetry() bool {
	return c.g.o.Quarantine == nil || c.g.o.Quarantine.MayRetry(&c.identity)
}

// quarantineRefusal returns the refusal for a request that may not be retried.
func (c *call) quarantineRefusal(mayHaveRun bool) *Refusal {
	if mayHaveRun {
		return unknownOutcome(http.StatusBadGateway, CodeQuarantined, quarantinedMessage)
	}
	return notRunRefusal(CodeQuarantined, quarantinedMessage, DefaultRetryAfter)
}

// reportToQuarantine reports the result of an attempt to the quarantine.
func (c *call) reportToQuarantine(p *Placement, res *AttemptResult) {
	q := c.g.o.Quarantine
	switch {
	case q == nil:
	case res.Outcome == AttemptSucceeded:
		q.Answered(&c.identity, 0)
	case res.Outcome == AttemptFailed:
		q.Lost(&c.identity, 0, quarantine.Endpoint{Key: incarnationKey(p), Address: p.Address})
	}
}

// incarnationKey identifies one incarnation of an endpoint. An endpoint may restart
// under the same ID.
func incarnationKey(p *Placement) fleet.EndpointID {
	return p.Endpoint + "@" + fleet.EndpointID(strconv.FormatUint(uint64(p.Incarnation), 36))
}
