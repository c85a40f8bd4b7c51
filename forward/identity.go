package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/merlindock/merlindock/response"
)

// IdentityCodec is implemented by a HeaderCodec whose endpoints state which incarnation they
// are.
type IdentityCodec interface {
	// IdentityPath returns the path of the request for it, which takes no slot.
	IdentityPath() string
	// DecodeIdentity returns the start of the process in Unix milliseconds; 0: not stated.
	DecodeIdentity(body []byte) int64
}

// ErrOtherIncarnation reports that another incarnation of the endpoint has its address. The
// endpoint's entry is older than that.
var ErrOtherIncarnation = errors.New("forward: another incarnation of the endpoint answers")

const (
	// identityTimeout bounds the request for an endpoint's identity, which is answered from
	// memory.
	identityTimeout  = 400 * time.Millisecond
	maxIdentityBytes = 256 << 10
)

// Suspect records that connections to the endpoint were lost: it may have restarted under its
// ID and address. Until a connection is verified, MayHaveRestarted returns true.
func (c *Client) Suspect(t Target) {
	if _, ok := c.codec.(IdentityCodec); !ok || t.Born == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspected[t.Key] = true
}

// MayHaveRestarted reports whether connections to the endpoint were lost and none was
// verified since.
func (c *Client) MayHaveRestarted(t Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspected[t.Key]
}

// verify makes sure that the connection leads to the incarnation of the target. Whatever is
// sent on it later reaches that incarnation, as a connection ends with its process. An
// endpoint that does not state its start is not told apart.
func (c *Client) verify(ctx context.Context, k *conn, t Target) error {
	codec, ok := c.codec.(IdentityCodec)
	if !ok || t.Born == 0 || k.verified {
		return nil
	}
	born, err := askIdentity(ctx, k, codec, c.Limits)
	c.Limits.Observe("identity", "", string(t.Key), err)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case born != 0 && born != t.Born:
		return fmt.Errorf("%w: %w", ErrNotSent, ErrOtherIncarnation)
	}
	k.verified = true
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.suspected, t.Key)
	return nil
}

// askIdentity asks the endpoint at the end of a connection for the start of its process.
func askIdentity(ctx context.Context, k *conn, codec IdentityCodec, limits *response.Limits) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := io.WriteString(k.Conn, "GET "+codec.IdentityPath()+" HTTP/1.1\r\nHost: "+k.address+"\r\n\r\n"); err != nil {
		return 0, err
	}
	k.r.Begin(nil)
	// The body isn't closed, as net/http would read it to its end.
	resp, err := k.r.Next(http.MethodGet)
	if err != nil {
		return 0, err
	}
	var born int64
	err = limits.DecodeBody(resp.Body, maxIdentityBytes, func(body []byte) error {
		if resp.StatusCode == http.StatusOK {
			born = codec.DecodeIdentity(body)
		}
		return nil
	})
	switch {
	case err != nil:
		return 0, err
	case resp.Close || k.r.Buffered() > 0 || !stop():
		return 0, errors.New("forward: connection can't be used after the request for the identity")
	}
	return born, nil
}
