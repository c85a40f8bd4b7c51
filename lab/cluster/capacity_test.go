package cluster

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// Runners tell how many requests they serve at once only some seconds after
// the daemon has heard of them. Counted by the settings' guess for good, a
// fleet of large runners would stand idle while callers are refused.
func TestCapacityFollowsReportedSlots(t *testing.T) {
	o := Options{Daemons: 1, Runners: 6, NoOrders: true}
	withCluster(t, o, func(t *testing.T, c *Cluster) {
		time.Sleep(10 * time.Second) // virtual
		if a := c.ask(t, 0, "a question", 2); !a.isComplete(2) {
			t.Fatalf("%s", a)
		}
		const each = 64 // of a stand-in
		if got := c.usage(t, 0)[Model].Slots; got != 6*each {
			t.Errorf("%d slots are counted, %d were told", got, 6*each)
		}
	})
}

// usage reads what a node tells of its organisations' usage, by model.
func (c *Cluster) usage(t *testing.T, node int) map[string]contract.UseReport {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+c.Nodes[node].adminAddress()+"/v1/organisations", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer token")
	resp, err := c.Client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var use map[string]contract.UseReport
	if err := json.NewDecoder(resp.Body).Decode(&use); err != nil {
		t.Fatal(err)
	}
	return use
}
