//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is what a requester saw of one attempt.
type outcome struct {
	attempt  string
	status   int // 0: no answer
	header   http.Header
	body     []byte
	complete bool // the answer ended as its framing says
	err      error
}

func (o *outcome) signature() string { return o.header.Get("Response-Signature") }

// channel is a requester's channel to a daemon.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func openChannel(front string) (*channel, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// send sends a request over the channel and reads its answer. headers are further lines.
func (c *channel) send(id, method, path, headers string, limit time.Duration, body []byte) outcome {
	o := outcome{attempt: id, header: http.Header{}}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", method, path, hostName, id, limit.Milliseconds(), apiKey)
	if method != http.MethodGet {
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	head.WriteString(headers + "\r\n")
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, o.err = c.conn.Write(append([]byte(head.String()), body...)); o.err != nil {
		return o
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.status, o.header = resp.StatusCode, resp.Header
	o.body, o.err = io.ReadAll(resp.Body)
	o.complete = o.err == nil
	return o
}

// sendNew sends a request over a new channel.
func sendNew(front, id, method, path string, limit time.Duration, body []byte) outcome {
	return sendNewWith(front, id, method, path, "", limit, body)
}

// sendNewWith is sendNew with further header lines.
func sendNewWith(front, id, method, path, headers string, limit time.Duration, body []byte) outcome {
	c, err := openChannel(front)
	if err != nil {
		return outcome{attempt: id, header: http.Header{}, err: err}
	}
	defer c.conn.Close()
	return c.send(id, method, path, headers, limit, body)
}
