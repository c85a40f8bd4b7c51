package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	// longestLine bounds one line of a log file; longer ones are counted as
	// unreadable.
	longestLine = 1 << 20
	// beliefsBefore is how far back lines of the same daemon explain a request.
	beliefsBefore = 5 * time.Second
)

// logLine is one line of a daemon's log.
type logLine struct {
	file string
	at   time.Time
	text string
	id   string
	msg  string
}

var (
	messageRequest = "Request ended."
	endpointOf     = regexp.MustCompile(`"attempt":"([^ @"]+)`)
)

func newExplain(s streams) *ffcli.Command {
	var window time.Duration
	return command(s, "explain", "merlindock explain [flags] ID FILE...",
		"Print the way of one request over all daemons, from their collected logs, one file for each daemon.",
		func(fs *flag.FlagSet) {
			fs.DurationVar(&window, "before", beliefsBefore, "how far back to show what its daemons came to believe")
		},
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageError("expected a request's id and at least one log file")
			}
			var lines []logLine
			unread := 0
			for _, path := range args[1:] {
				got, bad, err := readLog(path)
				if err != nil {
					return fmt.Errorf("log %s cannot be read: %w", path, err)
				}
				lines, unread = append(lines, got...), unread+bad
			}
			return explain(s.out, args[0], lines, unread, window)
		})
}

// readLog reads the lines of one daemon, and counts those that are none.
func readLog(path string) (lines []logLine, unread int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		_, text, _ := strings.Cut(scanner.Text(), "{")
		var fields struct {
			Time    time.Time `json:"time"`
			ID      string    `json:"id"`
			Message string    `json:"message"`
		}
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			unread++
			continue
		}
		lines = append(lines, logLine{path, fields.Time, "{" + text, fields.ID, fields.Message})
	}
	return lines, unread, scanner.Err()
}

// explain prints the lines of the request in order of time, each after what its
// daemon came to believe shortly before, and says what is missing.
func explain(out io.Writer, id string, lines []logLine, unread int, window time.Duration) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var found []logLine
	for _, l := range lines {
		if l.id == id {
			found = append(found, l)
		}
	}
	if unread > 0 {
		fmt.Fprintf(out, "%d lines are not in the daemons' format\n", unread)
	}
	if len(found) == 0 {
		fmt.Fprintf(out, "no line has the id %s: the request reached none of these daemons, its daemon was killed before it ended, or lines were dropped\n", id)
		return &codedError{code: exitFailed, err: fmt.Errorf("request %s was not found", id)}
	}
	for _, l := range found {
		for _, b := range beliefs(lines, l, window) {
			fmt.Fprintf(out, "  before: %s\n", b.text)
		}
		fmt.Fprintf(out, "%s: %s\n", l.file, l.text)
	}
	return nil
}

// beliefs are the lines of the same daemon that may explain the request: what
// changed shortly before, of the endpoints that it was sent to and of the daemon
// itself.
func beliefs(lines []logLine, request logLine, window time.Duration) []logLine {
	var endpoints []string
	for _, m := range endpointOf.FindAllStringSubmatch(request.text, -1) {
		endpoints = append(endpoints, `"endpoint":"`+m[1]+`"`)
	}
	var out []logLine
	for _, l := range lines {
		if l.file != request.file || strings.HasSuffix(l.msg, messageRequest) || l.at.After(request.at) || request.at.Sub(l.at) > window {
			continue
		}
		ofEndpoint := slices.ContainsFunc(endpoints, func(e string) bool { return strings.Contains(l.text, e) })
		if ofEndpoint || !strings.Contains(l.text, `"endpoint":`) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return out
}
