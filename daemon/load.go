package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
)

// maxLoadBytes is the maximum size of a load report.
const maxLoadBytes = 4 << 10

// parseLoad parses the answer to a load request. An endpoint without load
// reports answers 404; it is alive, but its load is unknown.
func parseLoad(ans *engine.Answer) (fleet.Load, error) {
	if ans.Status == http.StatusNotFound {
		return fleet.Load{Incarnation: ans.Meta.Incarnation}, nil
	}
	if ans.Status != http.StatusOK {
		return fleet.Load{}, eris.Errorf("daemon: load report: status %d", ans.Status)
	}
	text, _, err := ans.ReadUpTo(maxLoadBytes)
	if err != nil {
		return fleet.Load{}, eris.Wrap(err, "daemon: load report")
	}
	var l fleet.Load
	if err := json.Unmarshal(text, &l); err != nil {
		return fleet.Load{}, eris.Wrap(err, "daemon: load report")
	}
	return l, nil
}
