package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/merlindock/merlindock/gateway"
)

func TestStreamReachesCaller(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 2}, func(tb *testbed) {
		a, s := tb.streamChat(chatBody)
		if a.status != http.StatusOK || a.header.Get("Content-Type") != "text/event-stream" {
			t.Errorf("got %d %q", a.status, a.header.Get("Content-Type"))
		}
		s.expectComplete(t)
		if got := strings.Join(s.indices, " "); got != "0 1 2 3 4 5 6 7" {
			t.Errorf("indices are %s", got)
		}
		rep := tb.observer.last()
		if rep.Tokens != 8 || rep.Attempts != 1 || rep.Organisation != "registre" || rep.Outcome != gateway.OutcomeNone {
			t.Errorf("report is %+v", rep)
		}
	})
}

func TestUnstreamedAnswerReachesCaller(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 1}, func(tb *testbed) {
		body := strings.Replace(chatBody, `"stream":true,`, "", 1)
		a := tb.send(tb.newRequest(http.MethodPost, "/v1/chat/completions", registreKey, body))
		var got struct {
			Choices []struct{ Message struct{ Content string } }
			Usage   struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		if err := json.Unmarshal([]byte(a.body), &got); err != nil || a.status != http.StatusOK {
			t.Fatalf("got %d %s: %v", a.status, a.body, err)
		}
		if got.Usage.CompletionTokens != 8 || len(strings.Fields(got.Choices[0].Message.Content)) != 8 {
			t.Errorf("answer is %s", a.body)
		}
	})
}

func TestListsModelsPermittedToOrganisation(t *testing.T) {
	runInTestbed(t, testbedOptions{}, func(tb *testbed) {
		for key, want := range map[string]string{registreKey: `"codes:tags"`, tsukushiKey: `"codes"`} {
			a := tb.send(tb.newRequest(http.MethodGet, "/v1/models", key, ""))
			if !strings.Contains(a.body, want) || strings.Contains(a.body, "tags") != (key == registreKey) {
				t.Errorf("%s gets %s", key, a.body)
			}
		}
	})
}

func TestForwardsServiceCallUnchanged(t *testing.T) {
	runInTestbed(t, testbedOptions{services: 1}, func(tb *testbed) {
		a := tb.send(tb.newRequest(http.MethodPut, "/receipts/7?copy=2", registreKey, "deed", "Content-Type", "text/plain"))
		want := `{"endpoint":"counter-1","number":1,"method":"PUT","path":"/receipts/7?copy=2","bytes":4}`
		if a.status != http.StatusOK || a.body != want {
			t.Errorf("got %d %s, want %s", a.status, a.body, want)
		}
	})
}
