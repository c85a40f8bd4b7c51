package ingress

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// A stopping daemon closes idle connections while callers send further requests on
// them. A forwarded request must get its answer, and one whose connection was
// closed first must not be forwarded; otherwise its caller can't know whether it
// ran.
func TestCloseIdleDuringRequests(t *testing.T) {
	callers := NewConns(Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	begun, answered := 0, 0
	server := &http.Server{ConnContext: callers.Context, ConnState: callers.State, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ConnOf(r.Context()).BeginRequest() {
			panic(http.ErrAbortHandler)
		}
		mu.Lock()
		begun++
		mu.Unlock()
		_, _ = io.WriteString(w, "done")
		_ = http.NewResponseController(w).Flush()
	})}
	go func() { _ = server.Serve(callers.Listen(l)) }()
	defer server.Close()
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for {
			select {
			case <-stop:
				return
			default:
				callers.CloseIdle()
			}
		}
	}()
	var clients sync.WaitGroup
	for range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &http.Client{Transport: &http.Transport{}}
			for range 50 {
				resp, err := client.Post("http://"+l.Addr().String()+"/", "text/plain", nil)
				if err != nil {
					continue // the connection was closed first
				}
				if body, err := io.ReadAll(resp.Body); err == nil && string(body) == "done" {
					mu.Lock()
					answered++
					mu.Unlock()
				}
				_ = resp.Body.Close()
			}
		}()
	}
	clients.Wait()
	close(stop)
	all.Wait()
	if begun != answered {
		t.Errorf("%d requests begun, %d answered", begun, answered)
	}
}
