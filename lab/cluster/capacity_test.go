package cluster

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// Runners report their slots only some seconds after the daemon has found them on the
// platform's list. If the daemon kept the default of its settings, it would refuse
// callers while large runners have free slots.
func TestCapacityFollowsReportedSlots(t *testing.T) {
	o := Options{Daemons: 1, Runners: 6, NoOrders: true}
	withCluster(t, o, func(t *testing.T, c *Cluster) {
		time.Sleep(10 * time.Second) // virtual
		if a := c.ask(t, 0, "a question", 2); !a.isComplete(2) {
			t.Fatalf("%s", a)
		}
		const each = 64 // slots of a stand-in
		if got := c.usage(t, 0)[Model].Slots; got != 6*each {
			t.Errorf("%d slots are counted, %d were reported", got, 6*each)
		}
	})
}

// usage returns the use of capacity that a node reports, by model.
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
