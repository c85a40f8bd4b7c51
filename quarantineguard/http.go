package quarantineguard

import (
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/merlindock/merlindock/quarantine"
)

// heldRequest is the JSON representation of a held request.
type heldRequest struct {
	Fingerprint string `json:"fingerprint"`
	Segment     bool   `json:"segment"` // the fingerprint is that of a prompt segment
	LeftSeconds int64  `json:"left_s"`
	Ends        int    `json:"ends"` // crashed endpoints that this daemon knows of
}

// RegisterHandlers registers the operators' API: GET /quarantine lists the held
// requests, DELETE /quarantine/FINGERPRINT lifts a hold at all daemons.
func (g *Guard) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /quarantine", g.list)
	mux.HandleFunc("DELETE /quarantine/{fingerprint}", g.lift)
}

func (g *Guard) list(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	holds := g.node.Holds(g.o.Clock())
	g.mu.Unlock()
	out := make([]heldRequest, 0, len(holds))
	for f, hold := range holds {
		out = append(out, heldRequest{Fingerprint: f.String(), Segment: f.IsSegment(), LeftSeconds: int64(hold.Left.Seconds()), Ends: hold.Crashes})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		g.o.Log.Info("Failed to write the list of held requests.", "error", err.Error())
	}
}

func (g *Guard) lift(w http.ResponseWriter, r *http.Request) {
	var f quarantine.Fingerprint
	digits, err := hex.DecodeString(r.PathValue("fingerprint"))
	if err != nil || len(digits) != len(f) {
		http.Error(w, "the fingerprint is malformed", http.StatusBadRequest)
		return
	}
	copy(f[:], digits)
	g.mu.Lock()
	lifted := g.node.Lift(g.o.Clock(), f)
	g.flush()
	g.mu.Unlock()
	if !lifted {
		http.Error(w, "no request with this fingerprint is held", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
