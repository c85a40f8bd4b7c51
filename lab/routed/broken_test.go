package routed

import (
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response/responsetest"
)

// Guards against a daemon that passes broken answers of a runner on, or loses requests that other
// runners serve.
func TestRunnerThatSendsBrokenAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for rule, answer := range map[string]string{
		"status":  "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"name":    head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"framing": head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
	} {
		t.Run(rule, func(t *testing.T) {
			w := newTestbed(t)
			w.register("app-0", "app", responsetest.Answering(t, answer), 1)
			w.callBeside(time.Now().Add(2 * time.Second))
			if text := w.metricsText("malformed_answers"); !strings.Contains(text, `rule="`+rule+`"`) {
				t.Errorf("metrics lack the rule %q:\n%s", rule, text)
			}
		})
	}
}
