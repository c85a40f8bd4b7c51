package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/world"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Ports in the settings files that are written for the daemons.
const (
	defaultFirstPort = 8080
	portsPerDaemon   = 10
)

// newStandin returns the command that runs stand-ins of the platform, runners and
// services in one process, to which daemons can connect.
func newStandin(s streams) *ffcli.Command {
	var o world.Options
	var daemons, firstPort int
	var dir string
	flags := func(fs *flag.FlagSet) {
		fs.IntVar(&o.PlatformPort, "platform-port", 7400, "port of the platform's stand-in; 0 for any")
		fs.IntVar(&o.Runners, "runners", 6, "model runners")
		fs.IntVar(&o.Services, "services", 1, "instances of the plain service")
		fs.DurationVar(&o.Prefill, "prefill", 20*time.Microsecond, "time per prompt token that is not cached")
		fs.DurationVar(&o.Decode, "decode", 5*time.Millisecond, "time per generated token")
		fs.IntVar(&o.Slots, "slots", 0, "requests that a runner generates at once; 0 for the default")
		fs.IntVar(&daemons, "daemons", 3, "number of daemons to add to the platform's list and write settings for")
		fs.IntVar(&firstPort, "first-port", defaultFirstPort, "callers' port of the first daemon; each daemon uses three consecutive ports, ten above those of the previous one")
		fs.StringVar(&dir, "dir", "", "existing directory to write manifest.json, token and daemon-N.ini to")
	}
	return command(s, "standin", "merlindock standin -dir DIR [flags]",
		"Run stand-ins for the platform, runners and services until interrupted.", flags,
		func(ctx context.Context, _ []string) error {
			if dir == "" {
				return usageError("-dir is missing, expected an existing directory to write the settings to")
			}
			w, err := world.Start(o)
			if err != nil {
				return err
			}
			defer w.Close()
			if err := writeTrialFiles(dir, w, daemons, firstPort); err != nil {
				return err
			}
			printTrialCommands(s, dir, daemons, firstPort)
			return w.Wait(ctx)
		})
}

// writeTrialFiles writes a manifest, the administration token and the settings of the
// daemons to dir, and puts the daemons on the platform's list. They use portsPerDaemon
// ports each, from firstPort on.
func writeTrialFiles(dir string, w *world.World, daemons, firstPort int) error {
	text, err := manifest.Encode(w.Manifest())
	if err != nil {
		return err
	}
	files := map[string]string{"manifest.json": string(text) + "\n", "token": "trial-token\n"}
	var list []ports.Daemon
	for i := range daemons {
		zone := world.Zones[i%len(world.Zones)]
		port := firstPort + i*portsPerDaemon
		id := fmt.Sprintf("daemon-%d", i+1)
		files[id+".ini"] = trialSettings(id, zone, port, w.PlatformURL, filepath.Join(dir, "token"))
		list = append(list, ports.Daemon{
			ID:          id,
			Zone:        zone,
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", port+2),
			State:       fleet.VMLive,
		})
	}
	w.SetDaemons(list)
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			return usageError("%v", err)
		}
	}
	return nil
}

func trialSettings(id string, zone fleet.ZoneID, port int, platformURL, tokenFile string) string {
	return fmt.Sprintf(`[daemon]
id = %s
zone = %s

[listen]
callers = 127.0.0.1:%d
admin = 127.0.0.1:%d
peers = 127.0.0.1:%d

[platform]
url = %s

[admin]
token-file = %s
`, id, zone, port, port+1, port+2, platformURL, tokenFile)
}

// printTrialCommands prints the commands that start the daemons, publish the manifest and
// send a request.
func printTrialCommands(s streams, dir string, daemons, firstPort int) {
	fmt.Fprintf(s.out, "Stand-ins are running. In other shells:\n\n")
	for i := range daemons {
		fmt.Fprintf(s.out, "  go run ./cmd/merlindockd -config %s/daemon-%d.ini\n", dir, i+1)
	}
	fmt.Fprintf(s.out, "  go run ./cmd/merlindock publish -admin http://127.0.0.1:%d -token-file %s/token -base 0 %s/manifest.json\n", firstPort+1, dir, dir)
	fmt.Fprintf(s.out, "  curl -N http://127.0.0.1:%d/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", firstPort, world.APIKey(0))
	fmt.Fprintf(s.out, "    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Does sheet 12 conform?\"}]}'\n\n", world.Model)
	fmt.Fprintln(s.out, "Interrupt to end.")
}
