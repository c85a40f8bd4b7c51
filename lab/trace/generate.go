package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// GeneratorOptions are the options of both workload generators.
type GeneratorOptions struct {
	Seed     uint64
	Duration time.Duration // period in which the requests arrive
	Rate     float64       // requests/s on average
}

// organisationShares are the shares of the eight organisations, both in the sessions
// and in the fleet. A few organisations are large.
var organisationShares = []float64{0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03}

// workload holds the parameters in which the two workloads differ. Pairs are the
// least and the greatest value of a uniform distribution.
type workload struct {
	name                string
	fleet               Fleet
	model               string
	preamble            [2]int  // tokens of an organisation's first part
	document            [2]int  // tokens
	documents           int     // of one organisation, or of one garage
	zipfExponent        float64 // of the documents' popularity
	followUps           float64 // mean number of further questions in a session
	thinkTime           float64 // mean seconds between the questions
	question            [2]int
	output              [2]int
	garages             int     // of one organisation, with a part of their own; 0: none
	instructions        [2]int  // tokens of a garage's part
	shortFraction       float64 // fraction of sessions that are one request without a document
	shortPriority       contract.Priority
	interactiveFraction float64 // fraction of other sessions that are interactive
	batchFraction       float64 // fraction of other sessions that are batch
}

var registre = workload{
	name: "registre",
	fleet: Fleet{
		Runners: 18, Zones: 3, Daemons: 9, PrefillRate: 8000, TokenMS: 20,
		Slots: 48, CacheTokens: 150_000, StoreTokens: 1_500_000,
	},
	model: "conformity", preamble: [2]int{1200, 1800}, document: [2]int{6000, 24000},
	documents: 400, zipfExponent: 0.9, followUps: 6, thinkTime: 2, question: [2]int{80, 300}, output: [2]int{40, 160},
	shortFraction: 0.35, shortPriority: contract.PriorityBatch, interactiveFraction: 0.15, batchFraction: 0.10,
}

var tsukushi = workload{
	name: "tsukushi",
	fleet: Fleet{
		Runners: 9, Zones: 3, Daemons: 9, PrefillRate: 8000, TokenMS: 20,
		Slots: 48, CacheTokens: 120_000, StoreTokens: 1_000_000,
	},
	model: "assistant", preamble: [2]int{700, 1100}, document: [2]int{2500, 9000},
	documents: 120, zipfExponent: 0.6, followUps: 3, thinkTime: 2.5, question: [2]int{40, 160}, output: [2]int{30, 90},
	garages: 20, instructions: [2]int{1000, 2200},
	shortFraction: 0.20, shortPriority: contract.PriorityStandard, interactiveFraction: 0.55, batchFraction: 0.15,
}

// Registre generates a trace of the register of architectural drawings: long
// specification sheets with several questions each, and short tag requests.
func Registre(g GeneratorOptions) *Trace { return generate(registre, g) }

// Tsukushi generates a trace of the booking services: standing instructions of
// garages, service histories, and drivers on phones.
func Tsukushi(g GeneratorOptions) *Trace { return generate(tsukushi, g) }

type generator struct {
	w               workload
	o               GeneratorOptions
	random          *rand.Rand
	documentWeights []float64 // cumulative weight of documents
	garageWeights   []float64
	questions       int
	t               *Trace
}

func generate(w workload, g GeneratorOptions) *Trace {
	t := &Trace{Header: Header{
		Format: Format, Version: Version, Name: w.name, Synthetic: true, Seed: g.Seed,
		PieceTokens: 2000, Fleet: w.fleet,
	}}
	for i, s := range organisationShares {
		t.Header.Organisations = append(t.Header.Organisations, Organisation{ID: organisation(w, i), Share: s})
	}
	gen := &generator{
		w: w, o: g, t: t, random: rand.New(rand.NewPCG(g.Seed, 7)),
		documentWeights: zipfWeights(w.documents, w.zipfExponent), garageWeights: zipfWeights(max(w.garages, 1), 1.0),
	}
	gen.run()
	return t
}

func organisation(w workload, i int) contract.OrganisationID {
	return contract.OrganisationID(fmt.Sprintf("%s-%d", w.name, i+1))
}

// run generates sessions over the trace's duration, with exponentially distributed
// intervals at a rate that gives the average rate of requests in the options.
func (g *generator) run() {
	perSession := g.w.shortFraction + (1-g.w.shortFraction)*(1+g.w.followUps)
	sessionRate := g.o.Rate / perSession
	end := g.o.Duration.Seconds()
	// Sessions begin before the trace does, so that it starts with sessions in
	// progress.
	for at := -g.w.followUps * g.w.thinkTime; at < end; at += g.random.ExpFloat64() / sessionRate {
		g.session(at, end)
	}
	slices.SortStableFunc(g.t.Requests, func(a, b Request) int {
		switch {
		case a.AtMS < b.AtMS:
			return -1
		case a.AtMS > b.AtMS:
			return 1
		}
		return 0
	})
}

func (g *generator) session(at, end float64) {
	org := g.sample(cumulative(organisationShares))
	if g.random.Float64() < g.w.shortFraction {
		parts, _ := g.sharedParts(org)
		g.request(at, end, org, g.w.shortPriority, parts)
		return
	}
	parts, garage := g.sharedParts(org)
	doc := garage*g.w.documents + g.sample(g.documentWeights)
	parts = append(parts, Part{ID: fmt.Sprintf("o%d-d%d", org, doc), Tokens: fixedLength(g.w.document, org, doc)})
	pri := contract.PriorityStandard
	switch p := g.random.Float64(); {
	case p < g.w.interactiveFraction:
		pri = contract.PriorityInteractive
	case p < g.w.interactiveFraction+g.w.batchFraction:
		pri = contract.PriorityBatch
	}
	for {
		g.request(at, end, org, pri, parts)
		if g.random.Float64() < 1/(1+g.w.followUps) {
			return
		}
		at += g.random.ExpFloat64() * g.w.thinkTime
	}
}

// sharedParts returns the parts that all prompts of an organisation or garage begin
// with.
func (g *generator) sharedParts(org int) (parts []Part, garage int) {
	parts = []Part{{ID: fmt.Sprintf("o%d", org), Tokens: fixedLength(g.w.preamble, org, 0)}}
	if g.w.garages > 0 {
		garage = g.sample(g.garageWeights)
		parts = append(parts, Part{ID: fmt.Sprintf("o%d-g%d", org, garage), Tokens: fixedLength(g.w.instructions, org, garage)})
	}
	return parts, garage
}

func (g *generator) request(at, end float64, org int, pri contract.Priority, parts []Part) {
	question := Part{ID: fmt.Sprintf("q%d", g.questions), Tokens: g.uniform(g.w.question)}
	output := g.uniform(g.w.output)
	g.questions++
	if at < 0 || at >= end {
		return
	}
	g.t.Requests = append(g.t.Requests, Request{
		AtMS:         math.Round(at*1e4) / 10,
		Organisation: organisation(g.w, org), Model: g.w.model, Priority: pri.String(),
		Parts: append(slices.Clone(parts), question), Output: output,
	})
}

func (g *generator) uniform(r [2]int) int { return r[0] + g.random.IntN(r[1]-r[0]+1) }

func (g *generator) sample(weights []float64) int {
	i, _ := slices.BinarySearch(weights, g.random.Float64()*weights[len(weights)-1])
	return min(i, len(weights)-1)
}

// fixedLength returns the length of a document or shared part. It depends only on the
// arguments.
func fixedLength(r [2]int, org, doc int) int {
	return r[0] + rand.New(rand.NewPCG(uint64(org), uint64(doc))).IntN(r[1]-r[0]+1)
}

func zipfWeights(n int, skew float64) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
	}
	return cumulative(weights)
}

func cumulative(weights []float64) []float64 {
	sums, sum := make([]float64, len(weights)), 0.0
	for i, w := range weights {
		sum += w
		sums[i] = sum
	}
	return sums
}
