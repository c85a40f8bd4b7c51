package gateway

import (
	"encoding/json"
	"errors"
	"hash/crc32"
	"net/http"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/stream"

	"github.com/merlindock/merlindock/internal/pause"
)

// Paths of the model API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

// modelCall is the state of one model request.
type modelCall struct {
	*call
	place          PlaceRequest
	header         http.Header
	assembler      stream.Assembler
	out            *callerStream
	mayHaveRun     bool // an endpoint may have run an attempt
	manifestTarget catalog.Target
	release        func() // ends the admission and the context
	admission      Admission
}

func (c *call) serveModel() *Refusal {
	mc, refusal := c.admitModel()
	if refusal != nil {
		return refusal
	}
	defer mc.release()
	return mc.run()
}

// admitModel parses a model request, resolves its target and asks for admission.
//
// It and placeNext are separate functions because the stack frames of their
// callers stay in use for as long as the stream, up to minutes. With the
// variables of both in those frames, the stack of each of ten thousand
// streams would grow from 8 KB to 16 KB.
func (c *call) admitModel() (*modelCall, *Refusal) {
	m, refusal := c.parseModelRequest(c.r.URL.Path == pathChat)
	if refusal != nil {
		return nil, refusal
	}
	target, err := c.index.Resolve(c.org, m.Model, c.r.Header.Get(HeaderAdapter))
	if err != nil {
		return nil, resolveRefusal(err)
	}
	if refusal := c.checkMessages(m); refusal != nil {
		return nil, refusal
	}
	cancel, refusal := c.setPriorityAndDeadline(m.Priority, milliseconds(m.DeadlineMs))
	if refusal != nil {
		return nil, refusal
	}
	mc := c.newModelCall(m, target)
	admission, err := c.g.o.Admitter.Admit(c.ctx, mc.admitRequest())
	if err != nil {
		refusal = c.portRefusal(err, false)
		cancel()
		return nil, refusal
	}
	mc.admission = admission
	mc.release = func() {
		admission.Release(mc.usedTokens())
		cancel()
	}
	return mc, nil
}

// recordFirstToken records when the first token arrived and reports it to the admission.
func (mc *modelCall) recordFirstToken() {
	mc.report.FirstToken = time.Since(mc.start)
	if mc.admission.OnFirstToken != nil {
		mc.admission.OnFirstToken()
	}
}

func resolveRefusal(err error) *Refusal {
	if errors.Is(err, catalog.ErrModelForbidden) || errors.Is(err, catalog.ErrAdapterForbidden) {
		return refusedf(http.StatusForbidden, CodeNotPermitted, "the organisation may not use this model or adapter")
	}
	return refusedf(http.StatusNotFound, CodeModelNotFound, "the model or adapter is not known: %v", errors.Unwrap(err))
}

func (c *call) newModelCall(m *modelRequest, target catalog.Target) *modelCall {
	mc := &modelCall{call: c, place: c.placeRequest(fleet.KindModel)}
	mc.place.Prompt, mc.place.Levels = m.prompt, m.levelEnds
	mc.manifestTarget = target
	mc.place.Target = c.chooseVersion(target, m.prompt, m.levelEnds)
	mc.place.PromptTokens = estimateTokens(len(mc.place.Prompt), c.index.Fleet().BytesPerToken)
	mc.place.MaxTokens = m.outputTokens()
	if m.Seed == nil {
		// The seed is the same for all attempts of a request and differs
		// between requests.
		c.addSeed(m, crc32.ChecksumIEEE([]byte(c.id)))
	}
	mc.header = http.Header{"Content-Type": {contentJSON}}
	if m.Stream {
		mc.header.Set("Accept", contentEventStream)
		mc.out = newCallerStream(c)
	}
	c.report.Kind, c.report.Model = fleet.KindModel, m.Model
	c.report.PromptTokens = mc.place.PromptTokens
	return mc
}

// chooseVersion returns the target with the weight version for this request. The
// version must not change after the first token: an answer generated partly by
// one version and partly by another would belong to neither.
func (c *call) chooseVersion(t catalog.Target, prompt []byte, ends []int) catalog.Target {
	if c.g.o.ChooseVersion == nil {
		return t
	}
	first := len(prompt)
	if len(ends) > 0 {
		first = ends[0]
	}
	return c.g.o.ChooseVersion(c.org.ID, t, prompt[:first])
}

// updateVersion chooses the weight version again before a retry, as long as no
// token was delivered. During a rollout, once the last runner of the old version
// begins to load the new one, every endpoint refuses requests for the old
// version. They would fail although enough runners of the new version can serve
// them.
func (mc *modelCall) updateVersion() {
	if mc.report.Attempts == 0 || mc.assembler.Delivered() > 0 {
		return
	}
	if t := mc.chooseVersion(mc.manifestTarget, mc.place.Prompt, mc.place.Levels); t != mc.place.Target {
		mc.place.Target = t
		mc.place.Exclude = nil
	}
}

func (mc *modelCall) admitRequest() AdmitRequest {
	return AdmitRequest{
		Organisation: mc.org.ID,
		Model:        mc.place.Target.Model,
		Priority:     mc.priority,
		Tokens:       mc.place.PromptTokens + mc.place.MaxTokens,
		PromptTokens: mc.place.PromptTokens,
		Streamed:     mc.out != nil,
		Deadline:     mc.deadline,
	}
}

// usedTokens returns the tokens that the request cost: those prefilled, without
// the cached ones, and those generated.
func (mc *modelCall) usedTokens() int {
	used := mc.report.Tokens
	if mc.report.Attempts > 0 {
		used += max(mc.place.PromptTokens-max(mc.report.CachedTokens, 0), 0)
	}
	return used
}

// run makes attempts until one gives a complete answer or no retry is allowed.
func (mc *modelCall) run() *Refusal {
	for {
		p, refusal := mc.placeNext()
		if refusal != nil {
			return mc.endWithError(refusal)
		}
		err := mc.attempt(p)
		if err == nil {
			return nil
		}
		if refusal := mc.prepareRetry(p, err); refusal != nil {
			return mc.endWithError(refusal)
		}
	}
}

// placeNext chooses the endpoint of the next attempt.
func (mc *modelCall) placeNext() (*Placement, *Refusal) {
	mc.updateVersion()
	mc.place.Attempt = mc.report.Attempts + 1
	_, mc.place.Resume = mc.resumeFrom()
	p, err := mc.g.o.Placer.Place(mc.ctx, &mc.place)
	if err != nil {
		return nil, mc.portRefusal(err, mc.mayHaveRun)
	}
	return &p, nil
}

// resumeFrom returns the index of the last token delivered to the caller, and
// whether there is one.
func (mc *modelCall) resumeFrom() (last int64, ok bool) {
	last, _ = mc.assembler.ResumePoint()
	return last, last >= 0
}

// prepareRetry waits for the retry after a failed attempt, or returns the refusal if
// there is to be none.
func (mc *modelCall) prepareRetry(p *Placement, err error) *Refusal {
	class := engine.ClassOf(err)
	mc.mayHaveRun = mc.mayHaveRun || class.MayHaveRun()
	if errors.Is(err, engine.ErrWrongAttempt) {
		mc.report.MismatchedAnswers++
	}
	if mc.ctx.Err() != nil {
		return mc.contextRefusal(mc.mayHaveRun)
	}
	if errors.Is(err, errCallerSlow) {
		return unknownOutcome(http.StatusRequestTimeout, CodeStreamCut, "the caller read too slowly")
	}
	if mc.out != nil {
		if _, ok := mc.assembler.ResumePoint(); !ok || !mc.sent.Continuable() {
			return unknownOutcome(http.StatusBadGateway, CodeStreamCut, "the endpoint failed and its stream cannot be resumed")
		}
	}
	mc.place.Exclude = append(mc.place.Exclude, p.Endpoint)
	if !mc.mayRetry() {
		return mc.quarantineRefusal(mc.mayHaveRun)
	}
	wait, ok := mc.g.o.Retry.Next(FailedAttempt{
		Organisation: mc.org.ID,
		Priority:     mc.priority,
		Class:        class,
		Attempt:      mc.report.Attempts,
		Idempotent:   true,
		Streaming:    mc.assembler.Delivered() > 0,
		Deadline:     mc.deadline,
	})
	if !ok || mc.report.Attempts >= mc.g.o.Limits.Attempts {
		return mc.attemptsExhausted(mc.mayHaveRun)
	}
	if pause.For(mc.ctx, wait) != nil {
		return mc.contextRefusal(mc.mayHaveRun)
	}
	return nil
}

// endWithError ends a stream that has begun with an explicit error event. If nothing
// was sent yet, it returns the refusal to send as the complete answer.
func (mc *modelCall) endWithError(r *Refusal) *Refusal {
	mc.report.DuplicateTokens = mc.assembler.Duplicates()
	if mc.sent.Nothing() {
		return r
	}
	// Tokens were delivered, so the request has run even if the last attempt did
	// not.
	refusal := unknownOutcome(r.Status, r.Code, r.Message)
	switch refusal.Code {
	case CodeDeadline, CodeShutdown, CodeCallerLeft:
	default:
		refusal.Code = CodeStreamCut
	}
	mc.report.Code, mc.report.Outcome = refusal.Code, refusal.Outcome
	if !mc.sent.Continuable() {
		panic(http.ErrAbortHandler) // the caller may have a part of an event
	}
	mc.out.writeError(refusal)
	return nil
}

// attempt sends the request once and relays the answer. It returns nil once the
// complete answer was written to the caller.
func (mc *modelCall) attempt(p *Placement) error {
	mc.report.Attempts++
	began := time.Now()
	res := AttemptResult{}
	err := mc.exchange(p, &res)
	res.Duration = time.Since(began)
	mc.reportAttempt(p, &mc.place, &res, err)
	return err
}

func (mc *modelCall) exchange(p *Placement, res *AttemptResult) error {
	began := time.Now()
	ans, err := mc.g.o.Engine.Send(mc.ctx, mc.engineAttempt(p))
	if err != nil {
		return err
	}
	defer ans.Close()
	if err := mc.checkAnswer(ans, p, res); err != nil {
		return err
	}
	if mc.out == nil || ans.Status != http.StatusOK {
		return mc.relayUnstreamed(ans, res, began)
	}
	return mc.relayStream(ans, res, began)
}

// checkAnswer records the answer's metadata and returns an error if the answer must
// not be relayed. It is a separate function so that its copies do not occupy the
// stack of exchange for as long as the stream.
func (mc *modelCall) checkAnswer(ans *engine.Answer, p *Placement, res *AttemptResult) error {
	res.Status, res.Meta = ans.Status, ans.Meta
	if p.OnHeader != nil {
		p.OnHeader(ans.Meta)
	}
	if err := ans.NotRun(); err != nil {
		return err
	}
	if isEndpointFailure(ans.Status) {
		return ans.UnusableError(errEndpointStatus)
	}
	mc.report.CachedTokens = ans.Meta.CachedTokens
	return nil
}

// isEndpointFailure reports whether a status is caused by the endpoint rather than by
// the request, so that another endpoint may succeed. Other error statuses, such
// as that for an unknown field in the body, are relayed to the caller.
func isEndpointFailure(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	default:
		return status >= http.StatusInternalServerError
	}
}

func (mc *modelCall) engineAttempt(p *Placement) *engine.Attempt {
	last, resume := mc.resumeFrom()
	if resume {
		mc.report.ResumedAttempts++
	}
	return &engine.Attempt{
		ID:            mc.id + "-" + strconv.Itoa(mc.report.Attempts),
		Endpoint:      p.Endpoint,
		Address:       p.Address,
		Method:        http.MethodPost,
		Path:          mc.r.URL.Path,
		Header:        mc.header,
		Body:          mc.body,
		Organisation:  mc.org.ID,
		WeightVersion: mc.place.Target.Version,
		Adapter:       mc.place.Target.Adapter,
		Priority:      mc.priority,
		Deadline:      mc.deadline,
		Resume:        resume,
		ResumeFrom:    last,
		ImportFrom:    p.ImportFrom,
		Prefix:        p.Prefix,
	}
}

// relayUnstreamed relays an answer that is not a stream after reading all of it.
func (mc *modelCall) relayUnstreamed(ans *engine.Answer, res *AttemptResult, began time.Time) error {
	body, err := ans.ReadAll()
	if err != nil {
		return err
	}
	// A truncated answer can look complete to HTTP, for example when an engine
	// crashes behind a proxy. It is then not valid JSON.
	if ans.Status == http.StatusOK && !json.Valid(body) {
		return ans.UnusableError(engine.ErrMalformed)
	}
	if !mc.sent.Nothing() {
		return ans.UnusableError(errAnswerBegun)
	}
	res.FirstToken = time.Since(began)
	if mc.report.Tokens = completionTokens(body); ans.Status == http.StatusOK {
		res.Tokens = mc.report.Tokens
		mc.recordFirstToken()
	}
	mc.writeAnswer(ans.Status, ans.Header.Get("Content-Type"), body)
	return nil
}

// writeAnswer sends a complete answer to the caller.
func (c *call) writeAnswer(status int, contentType string, body []byte) {
	if !c.sent.BeginBody() {
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	c.setCachedTokensHeader()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.report.Status = status
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.g.o.Limits.WriteTimeout))
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
	c.sent.End()
}

func (c *call) setCachedTokensHeader() {
	if c.report.CachedTokens >= 0 {
		c.w.Header().Set(HeaderCachedTokens, strconv.Itoa(c.report.CachedTokens))
	}
}

// completionTokens returns the number of generated tokens in an answer's usage
// field, 0 if there is none.
func completionTokens(body []byte) int {
	var answer struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return 0
	}
	return max(answer.Usage.CompletionTokens, 0)
}
