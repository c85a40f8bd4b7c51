// Package crowd tests whole daemons against many callers that do not behave: bodies and heads
// that never end, answers that nobody reads, connections on which nothing is sent.
//
// The tests run apart from all other load, one at a time: go test -tags crowd ./lab/crowd
package crowd
