package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/settings"
)

// Guards against a cut answer that looks whole to callers, operators or other daemons that speak
// HTTP/1.0: each listener of the daemon resets it.
func TestCutAnswerOfEachListenerIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	d := &Daemon{o: Options{Settings: settings.Settings{}}}
	go func() {
		conns := ingress.NewConns(ingress.Options{})
		served <- d.serve(ctx, ctx, conns.Listen(l), conns, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
			panic(http.ErrAbortHandler)
		})})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		if n, err := io.Copy(io.Discard, resp.Body); err == nil {
			t.Errorf("%d bytes look whole", n)
		}
		_ = resp.Body.Close()
	}
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
