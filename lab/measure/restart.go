package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/merlindock/merlindock/lab/world"
	"github.com/merlindock/merlindock/manifest"
)

// RestartTimes holds the time from the start of a daemon to its first complete
// answer, with the log available and with the log down.
type RestartTimes struct {
	LogUp   time.Duration
	LogDown time.Duration // the manifest comes from a neighbour
}

// restartTimeout bounds a whole measurement.
const restartTimeout = 30 * time.Second

// RunRestart restarts one of three daemons with six runners, on loopback, once
// with the log available and once with the log down.
func RunRestart() (RestartTimes, error) {
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	w, err := world.Start(world.Options{})
	if err != nil {
		return RestartTimes{}, err
	}
	defer w.Close()
	c, err := w.StartCluster(3, nil)
	if err != nil {
		return RestartTimes{}, err
	}
	defer c.Close()
	text, err := manifest.Encode(w.Manifest())
	if err != nil {
		return RestartTimes{}, err
	}
	if _, err := c.Nodes[0].Admin().Publish(ctx, 0, text); err != nil {
		return RestartTimes{}, err
	}
	if err := c.WaitReady(ctx); err != nil {
		return RestartTimes{}, err
	}
	var times RestartTimes
	if times.LogUp, err = restartNode(ctx, c); err != nil {
		return times, err
	}
	w.Log.SetOutage(true)
	defer w.Log.SetOutage(false)
	times.LogDown, err = restartNode(ctx, c)
	return times, err
}

// restartNode drains and restarts the first node and returns the time until it
// serves a request.
func restartNode(ctx context.Context, c *world.Cluster) (time.Duration, error) {
	c.Nodes[0].Daemon.Drain()
	select {
	case err := <-c.Nodes[0].Ended():
		if err != nil {
			return 0, err
		}
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	began := time.Now()
	if err := c.Restart(0); err != nil {
		return 0, err
	}
	for ctx.Err() == nil {
		if err := sendRequest(ctx, c.Nodes[0].CallersURL); err == nil {
			return time.Since(began), nil
		}
	}
	return 0, ctx.Err()
}

// errUnexpectedStatus is returned for an answer with another status than 200.
var errUnexpectedStatus = errors.New("measure: status of the answer is not 200")

func sendRequest(ctx context.Context, url string) error {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":1}`, world.Model)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+world.APIKey(0))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errUnexpectedStatus
	}
	return err
}
