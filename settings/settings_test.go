package settings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validINI = `
[daemon]
id = d1
zone = quebec-est-a

[platform]
url = http://127.0.0.1:7000
timeout = 3s
`

func writeINI(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "merlindock.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFlagOverridesEnvironmentOverridesFile(t *testing.T) {
	path := writeINI(t, validINI)
	env := []string{"MERLINDOCK_DAEMON_ZONE=from-env", "MERLINDOCK_DAEMON_ID=from-env", "HOME=/x"}
	s, err := Load(Input{File: path, Env: env, Args: []string{"-daemon.id=from-flag"}})
	if err != nil {
		t.Fatal(err)
	}
	if s.Daemon.ID != "from-flag" || s.Daemon.Zone != "from-env" || s.Platform.Timeout != 3*time.Second {
		t.Errorf("got %+v %+v", s.Daemon, s.Platform)
	}
}

// Guards against a daemon that starts with the default in place of a misspelt
// or invalid setting, which would be noticed only when the setting takes
// effect. The error must contain the source of the setting.
func TestInvalidSettingIsRejectedWithSource(t *testing.T) {
	tests := []struct {
		name string
		text string
		args []string
		env  []string
		want []string
	}{
		{"unknown key", validINI + "\n[drain]\nbalancer_lag = 5s\n", nil, nil, []string{":11:", "drain.balancer_lag", "unknown"}},
		{"wrong kind", validINI + "\n[drain]\nbalancer-lag = soon\n", nil, nil, []string{":11:", `"soon"`, "duration"}},
		{"out of range", validINI + "\n[peers]\nzone-pairs = 0\n", nil, nil, []string{":11:", "1 to 8"}},
		{"key outside a section", "id = d1\n" + validINI, nil, nil, []string{":1:", "unknown"}},
		{"no zone", strings.Replace(validINI, "zone", "# zone", 1), nil, nil, []string{"daemon.zone", "is missing"}},
		{"unknown variable", validINI, nil, []string{"MERLINDOCK_DAEMON_IDD=x"}, []string{"MERLINDOCK_DAEMON_IDD", "unknown"}},
		{"wrong variable", validINI, nil, []string{"MERLINDOCK_PEERS_INTERVAL=1"}, []string{"MERLINDOCK_PEERS_INTERVAL", "duration"}},
		{"unknown flag", validINI, []string{"-zone=x"}, nil, []string{"flag", "-zone"}},
		{"too many event streams", validINI + "\n[routing]\nevent-endpoints = 1025\n", nil, nil, []string{":11:", "routing.event-endpoints", "0 to 1024"}},
		{"negative event streams", validINI, []string{"-routing.event-endpoints=-1"}, nil, []string{"routing.event-endpoints", "0 to 1024"}},
		{"certificate without key", validINI + "\n[tls]\ncallers-cert = a.pem\n", nil, nil, []string{"tls.callers-key", "both or neither"}},
		{"host name to listen on", validINI + "\n[listen]\nadmin = localhost:80\n", nil, nil, []string{":11:", "IP:port"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load(Input{File: writeINI(t, test.text), Args: test.args, Env: test.env})
			if err == nil {
				t.Fatal("accepted")
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
		})
	}
}

// Guards against settings that are missing from the operating guide.
func TestOperatingGuideListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	var s Settings
	fs := flag.NewFlagSet("", flag.ContinueOnError)
	register(fs, &s)
	fs.VisitAll(func(f *flag.Flag) {
		if !strings.Contains(string(page), "`"+f.Name+"`") {
			t.Errorf("docs/OPERATING.md does not list %s", f.Name)
		}
	})
}

func FuzzLoad(f *testing.F) {
	f.Add(validINI)
	f.Add("[daemon\nid = 1")
	f.Add("[daemon]\nid = \"\"\"x\n")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "fuzz.ini")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(Input{File: path})
		if err == nil && (s.Daemon.ID == "" || s.Platform.URL == "") {
			t.Errorf("settings without id or platform accepted: %q", text)
		}
	})
}
