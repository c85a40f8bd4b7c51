package routed

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests that are refused beside sound, idle runners because another writer
// left entries that name no runner, and against a daemon that ends or no longer follows the
// list.
func TestOddEntriesCostNoRequests(t *testing.T) {
	w := newTestbed(t)
	sound := func(part string) string {
		return `{"service":"app","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":8,"state":"ready","seq":0,` + part + `}`
	}
	var odd []string
	for _, part := range []string{
		`"address":"127.0.0.1:0"`, `"address":"127.0.0.1:-5"`, `"address":"127.0.0.1:99999"`, `"address":"127.0.0.1"`, `"address":"[::1:80"`, `"address":"0.0.0.0:80"`,
		`"address":"224.0.0.1:80"`, `"slots":0`, `"slots":-1`, `"slots":9223372036854775807`, `"slots":1e400`, `"x":` + strings.Repeat("[", 60000), `"x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `,"address":"127.0.0.1:0"`,
	} {
		odd = append(odd, sound(part))
	}
	sent, lost := 0, 0
	for i, entry := range odd {
		w.store.Put("keyed.servers", fmt.Sprint("odd-", i), []byte(entry))
		for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) { // sockets need the real clock
			sent++
			if got := w.sendWithFreshKeys(func() reply { return w.send(http.MethodPost, "/book/a", "key-a", nil) }); got.status != http.StatusOK {
				lost++
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests were not served", lost, sent)
	}
	w.addRunner("app-late", "app", 0)
	w.waitUntil("a runner that registers behind odd entries gets requests", func() bool {
		_ = w.send(http.MethodPost, "/book/a", "key-a", nil)
		return len(w.runners["app-late"].Runs()) > 0
	})
}
