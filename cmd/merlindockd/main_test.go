package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestSettingsExitCodes(t *testing.T) {
	good := []string{"-check", "-daemon.id=d1", "-daemon.zone=a", "-platform.url=http://127.0.0.1:7400"}
	tests := []struct {
		name   string
		args   []string
		code   int
		output string
	}{
		{"valid settings", good, exitOK, "valid"},
		{"no zone", good[:2], exitSettings, "daemon.zone"},
		{"no such file", append([]string{"-config=/no/such.ini"}, good...), exitSettings, "such.ini"},
		{"help", []string{"-help"}, exitOK, "-listen.callers"},
		{"wrong level", append([]string{"-log.level=loud"}, good...), exitSettings, "log.level"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := run(test.args, nil, &out, &errOut)
			if text := out.String() + errOut.String(); code != test.code || !strings.Contains(text, test.output) {
				t.Errorf("code %d, output %q", code, text)
			}
		})
	}
}
