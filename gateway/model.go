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

// Paths of the model protocol.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

// modelCall is a model request on its way to an answer.
type modelCall struct {
	*call
	place      PlaceRequest
	header     http.Header
	assembler  stream.Assembler
	out        *callerStream
	mayHaveRun bool // some attempt may have run
	declared   catalog.Target
	end        func() // gives back what the call holds
	admission  Admission
}

func (c *call) serveModel() *Refusal {
	mc, refusal := c.admitModel()
	if refusal != nil {
		return refusal
	}
	defer mc.end()
	return mc.run()
}

// admitModel reads, binds and admits a model request. It and placeNext stand
// apart from their callers since a stream lies on top of those for minutes: with
// their variables in between, each of ten thousand stacks would be 16 KB, not 8.
func (c *call) admitModel() (*modelCall, *Refusal) {
	m, refusal := c.parse(c.r.URL.Path == pathChat)
	if refusal != nil {
		return nil, refusal
	}
	target, err := c.index.Resolve(c.org, m.Model, c.r.Header.Get(HeaderAdapter))
	if err != nil {
		return nil, resolveRefusal(err)
	}
	cancel, refusal := c.bound(m.Priority, milliseconds(m.DeadlineMs))
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
	mc.end = func() {
		admission.Release(mc.usedTokens())
		cancel()
	}
	return mc, nil
}

// firstToken notes that the caller's first token has come.
func (mc *modelCall) firstToken() {
	mc.report.FirstToken = time.Since(mc.start)
	if mc.admission.OnFirstToken != nil {
		mc.admission.OnFirstToken()
	}
}

func resolveRefusal(err error) *Refusal {
	if errors.Is(err, catalog.ErrModelForbidden) || errors.Is(err, catalog.ErrAdapterForbidden) {
		return refused(http.StatusForbidden, CodeNotPermitted, "the organisation may not use this model or adapter")
	}
	return refused(http.StatusNotFound, CodeModelNotFound, "the model or adapter is not known: %v", errors.Unwrap(err))
}

func (c *call) newModelCall(m *modelRequest, target catalog.Target) *modelCall {
	mc := &modelCall{call: c, place: c.placeRequest(fleet.KindModel)}
	mc.place.Prompt, mc.place.Levels = m.prompt, m.ends
	mc.declared = target
	mc.place.Target = c.bind(target, m.prompt, m.ends)
	mc.place.PromptTokens = estimateTokens(len(mc.place.Prompt), c.index.Fleet().BytesPerToken)
	mc.place.MaxTokens = m.outputTokens()
	if m.Seed == nil {
		// The same request gets the same seed on each attempt, and another
		// request another one.
		c.addSeed(m, crc32.ChecksumIEEE([]byte(c.id)))
	}
	mc.header = http.Header{"Content-Type": {contentJSON}}
	if m.Stream {
		mc.header.Set("Accept", contentEvents)
		mc.out = newCallerStream(c)
	}
	c.report.Kind, c.report.Model = fleet.KindModel, m.Model
	c.report.PromptTokens = mc.place.PromptTokens
	return mc
}

// bind fixes the weight version for all attempts from the first token on: an
// answer that began on one version and went on with another would be neither's.
func (c *call) bind(t catalog.Target, prompt []byte, ends []int) catalog.Target {
	if c.g.o.ChooseVersion == nil {
		return t
	}
	first := len(prompt)
	if len(ends) > 0 {
		first = ends[0]
	}
	return c.g.o.ChooseVersion(c.org.ID, t, prompt[:first])
}

// rebind chooses the weight version anew as long as nothing was delivered. When
// the last runner of the old version begins to load, requests bound to it are
// refused everywhere, and their callers would get an error in a rollout that
// leaves enough runners to serve them.
func (mc *modelCall) rebind() {
	if mc.report.Attempts == 0 || mc.assembler.Delivered() > 0 {
		return
	}
	if t := mc.bind(mc.declared, mc.place.Prompt, mc.place.Levels); t != mc.place.Target {
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

// usedTokens is the work the request took: what was prefilled and generated.
func (mc *modelCall) usedTokens() int {
	used := mc.report.Tokens
	if mc.report.Attempts > 0 {
		used += max(mc.place.PromptTokens-max(mc.report.CachedTokens, 0), 0)
	}
	return used
}

// run makes attempts until one gives the whole answer or none may follow.
func (mc *modelCall) run() *Refusal {
	for {
		p, refusal := mc.placeNext()
		if refusal != nil {
			return mc.giveUp(refusal)
		}
		err := mc.attempt(p)
		if err == nil {
			return nil
		}
		if refusal := mc.next(p, err); refusal != nil {
			return mc.giveUp(refusal)
		}
	}
}

// placeNext chooses where the next attempt goes.
func (mc *modelCall) placeNext() (*Placement, *Refusal) {
	mc.rebind()
	mc.place.Attempt = mc.report.Attempts + 1
	_, mc.place.Resume = mc.resumeFrom()
	p, err := mc.g.o.Placer.Place(mc.ctx, &mc.place)
	if err != nil {
		return nil, mc.portRefusal(err, mc.mayHaveRun)
	}
	return &p, nil
}

// resumeFrom returns the index of the last token the caller has, if any.
func (mc *modelCall) resumeFrom() (last int64, any bool) {
	last, _ = mc.assembler.Resume()
	return last, last >= 0
}

// next prepares another attempt after a failed one, or returns why there is
// none.
func (mc *modelCall) next(p *Placement, err error) *Refusal {
	class := engine.ClassOf(err)
	mc.mayHaveRun = mc.mayHaveRun || class.Ran()
	if errors.Is(err, engine.ErrCrossed) {
		mc.report.Mismatched++
	}
	if mc.ctx.Err() != nil {
		return mc.expired(mc.mayHaveRun)
	}
	if errors.Is(err, errCallerSlow) {
		return unknown(http.StatusRequestTimeout, CodeStreamCut, "the caller read too slowly")
	}
	if mc.out != nil {
		if _, ok := mc.assembler.Resume(); !ok {
			return unknown(http.StatusBadGateway, CodeStreamCut, "the endpoint failed and its stream cannot be resumed")
		}
	}
	mc.place.Exclude = append(mc.place.Exclude, p.Endpoint)
	if !mc.mayRepeat() {
		return mc.quarantinedAfter(mc.mayHaveRun)
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
		return mc.failed(mc.mayHaveRun)
	}
	if pause.For(mc.ctx, wait) != nil {
		return mc.expired(mc.mayHaveRun)
	}
	return nil
}

// giveUp ends an answer that was begun with an explicit error, and otherwise
// returns the refusal to be sent as the whole answer.
func (mc *modelCall) giveUp(r *Refusal) *Refusal {
	mc.report.Duplicates = mc.assembler.Duplicates()
	if mc.out == nil || !mc.out.begun {
		return r
	}
	// What was delivered has run, whatever became of the last attempt.
	cut := unknown(r.Status, r.Code, r.Message)
	switch cut.Code {
	case CodeDeadline, CodeShutdown, CodeCallerLeft:
	default:
		cut.Code = CodeStreamCut
	}
	mc.report.Code, mc.report.Outcome = cut.Code, cut.Outcome
	mc.out.fail(cut)
	return nil
}

// attempt sends the request once and relays its answer. It returns nil when
// the caller has the whole answer.
func (mc *modelCall) attempt(p *Placement) error {
	mc.report.Attempts++
	began := time.Now()
	res := AttemptResult{}
	err := mc.exchange(p, &res)
	res.Duration = time.Since(began)
	mc.settle(p, &mc.place, &res, err)
	return err
}

func (mc *modelCall) exchange(p *Placement, res *AttemptResult) error {
	began := time.Now()
	ans, err := mc.g.o.Engine.Send(mc.ctx, mc.engineAttempt(p))
	if err != nil {
		return err
	}
	defer ans.Close()
	if err := mc.usable(ans, p, res); err != nil {
		return err
	}
	if mc.out == nil || ans.Status != http.StatusOK {
		return mc.relayWhole(ans, res, began)
	}
	return mc.relayStream(ans, res, began)
}

// usable notes what the answer says beside itself and returns why the answer is
// not to be relayed, if so. It stands apart from exchange since its copies
// would otherwise lie on the stack for as long as the stream.
func (mc *modelCall) usable(ans *engine.Answer, p *Placement, res *AttemptResult) error {
	res.Status, res.Meta = ans.Status, ans.Meta
	if p.OnHeader != nil {
		p.OnHeader(ans.Meta)
	}
	if err := ans.NotRun(); err != nil {
		return err
	}
	if failedStatus(ans.Status) {
		return ans.Fail(errServerStatus)
	}
	mc.report.CachedTokens = ans.Meta.CachedTokens
	return nil
}

// failedStatus tells whether a status speaks of the endpoint rather than of the
// request, so that another endpoint may do better. Other errors, such as an
// unknown field in the body, go to the caller.
func failedStatus(status int) bool {
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
		mc.report.Resumes++
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

// relayWhole passes on an answer that is not streamed, once all of it is here.
func (mc *modelCall) relayWhole(ans *engine.Answer, res *AttemptResult, began time.Time) error {
	body, err := ans.Whole()
	if err != nil {
		return err
	}
	// An answer without the length it should have can still end cleanly, for
	// instance when an engine dies behind a proxy; half an object shows it.
	if ans.Status == http.StatusOK && !json.Valid(body) {
		return ans.Fail(engine.ErrMalformed)
	}
	if mc.out != nil && mc.out.begun {
		return ans.Fail(errServerStatus)
	}
	res.FirstToken = time.Since(began)
	if mc.report.Tokens = completionTokens(body); ans.Status == http.StatusOK {
		res.Tokens = mc.report.Tokens
		mc.firstToken()
	}
	mc.writeWhole(ans.Status, ans.Header.Get("Content-Type"), body)
	return nil
}

// writeWhole sends a whole answer to the caller.
func (c *call) writeWhole(status int, contentType string, body []byte) {
	h := c.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	c.cachedHeader()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.report.Status = status
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.g.o.Limits.WriteTimeout))
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
}

func (c *call) cachedHeader() {
	if c.report.CachedTokens >= 0 {
		c.w.Header().Set(HeaderCachedTokens, strconv.Itoa(c.report.CachedTokens))
	}
}

// completionTokens reads the number of generated tokens from an answer, 0 when
// it says none.
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
