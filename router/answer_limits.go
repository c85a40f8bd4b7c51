package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/bytebudget"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/response"
)

const (
	// limitLinesPerSecond bounds the log lines on answers that exceed limits.
	limitLinesPerSecond = 20
)

// newAnswerLimits returns the limits of a daemon with the given budget. What exceeds them, or
// breaks a rule, is counted and logged.
func newAnswerLimits(held *bytebudget.Budget, scope tally.Scope, log *logging.Logger) *response.Limits {
	lines := lineLimiter{perSecond: limitLinesPerSecond}
	return response.NewSharedLimits(held, func(reader, id, from string, e *response.Error) {
		scope.Tagged(map[string]string{"reader": reader, "bound": string(e.Bound)}).Counter("answer_limits_exceeded").Inc(1)
		fields := []any{"reader", reader, "id", id, "from", from, "bound", string(e.Bound), "limit", e.Limit, "read", e.Read}
		if e.Rule != "" {
			scope.Tagged(map[string]string{"reader": reader, "rule": string(e.Rule)}).Counter("malformed_answers").Inc(1)
			fields = append(fields, "rule", string(e.Rule))
		}
		write, suppressed := lines.allow(time.Now())
		if suppressed > 0 {
			log.Info("Log lines of answers beyond a limit were suppressed.", "answers", suppressed)
		}
		if write {
			log.Warn("Answer exceeds a limit.", fields...)
		}
	})
}
