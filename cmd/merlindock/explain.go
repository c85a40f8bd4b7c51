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
	// maxLineBytes bounds a line of a log file. A longer line is an error.
	maxLineBytes = 1 << 20
	// defaultWindow is the time before the end of a request from which lines of the same
	// daemon are printed.
	defaultWindow = 5 * time.Second
)

// logLine is a line of a daemon's log.
type logLine struct {
	file string
	at   time.Time
	text string
	id   string
	msg  string
}

var (
	requestMessage  = "Request ended."
	attemptEndpoint = regexp.MustCompile(`"attempt":"([^ @"]+)`)
)

func newExplain(s streams) *ffcli.Command {
	var window time.Duration
	return command(s, "explain", "merlindock explain [flags] ID FILE...",
		"Print what happened to one request at all daemons, from their collected logs, one file for each daemon.",
		func(fs *flag.FlagSet) {
			fs.DurationVar(&window, "before", defaultWindow, "time before the end of the request from which other lines of its daemons are printed")
		},
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageError("expected a request's id and at least one log file")
			}
			var lines []logLine
			unreadable := 0
			for _, path := range args[1:] {
				got, bad, err := readLog(path)
				if err != nil {
					return fmt.Errorf("log %s cannot be read: %w", path, err)
				}
				lines, unreadable = append(lines, got...), unreadable+bad
			}
			return explain(s.out, args[0], lines, unreadable, window)
		})
}

// readLog reads the log file of one daemon. It returns the decoded lines and the number
// of lines that are not in the daemons' format.
func readLog(path string) (lines []logLine, unreadable int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, _ := strings.Cut(scanner.Text(), "{")
		var fields struct {
			Time    time.Time `json:"time"`
			ID      string    `json:"id"`
			Message string    `json:"message"`
		}
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			unreadable++
			continue
		}
		lines = append(lines, logLine{path, fields.Time, "{" + text, fields.ID, fields.Message})
	}
	return lines, unreadable, scanner.Err()
}

// explain prints the lines of the request in order of time, each after the lines of its
// daemon that may explain it, and reports lines and requests that are missing.
func explain(out io.Writer, id string, lines []logLine, unreadable int, window time.Duration) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var found []logLine
	for _, l := range lines {
		if l.id == id {
			found = append(found, l)
		}
	}
	if unreadable > 0 {
		fmt.Fprintf(out, "%d lines are not in the daemons' format\n", unreadable)
	}
	if len(found) == 0 {
		fmt.Fprintf(out, "no line has the id %s: the request did not reach any of these daemons, its daemon was killed before the request ended, or lines were dropped\n", id)
		return &codedError{code: exitFailed, err: fmt.Errorf("request %s was not found", id)}
	}
	for _, l := range found {
		for _, b := range precedingLines(lines, l, window) {
			fmt.Fprintf(out, "  before: %s\n", b.text)
		}
		fmt.Fprintf(out, "%s: %s\n", l.file, l.text)
	}
	return nil
}

// precedingLines returns the lines of the same daemon from the window before the request
// ended that may explain its result, in order of time: those of the endpoints that the
// request was sent to and those that name no endpoint.
func precedingLines(lines []logLine, request logLine, window time.Duration) []logLine {
	var endpoints []string
	for _, m := range attemptEndpoint.FindAllStringSubmatch(request.text, -1) {
		endpoints = append(endpoints, `"endpoint":"`+m[1]+`"`)
	}
	var out []logLine
	for _, l := range lines {
		if l.file != request.file || strings.HasSuffix(l.msg, requestMessage) || l.at.After(request.at) || request.at.Sub(l.at) > window {
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
