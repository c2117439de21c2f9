package memnet_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memnet"
)

// get returns the response body of a request to the server at 10.0.0.1.
func get(client *http.Client, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.1:80/", nil)
	if err != nil {
		return "", err
	}
	resp, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

func TestPartitionIsolatePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		listener, err := network.Listen("10.0.0.1:80")
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		})}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		transport := &http.Transport{DialContext: network.Dialer("10.0.0.2")}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		checkReachable := func(want bool) {
			body, err := get(client, 5*time.Second)
			c.Assert(err == nil, qt.Equals, want, qt.Commentf("%v", err))
			c.Assert(body == "ok", qt.Equals, want)
		}
		checkReachable(true)
		network.Partition("10.0.0.1", "10.0.0.2")
		checkReachable(false)
		network.Heal("10.0.0.1", "10.0.0.2")
		checkReachable(true)
		network.Isolate("10.0.0.1")
		checkReachable(false)
		network.Reconnect("10.0.0.1")
		checkReachable(true)
		network.Pause("10.0.0.1")
		time.AfterFunc(3*time.Second, func() { network.Resume("10.0.0.1") })
		start := time.Now()
		checkReachable(true)
		c.Assert(time.Since(start), qt.Equals, 3*time.Second)
		_, err = network.Listen("10.0.0.1:80")
		c.Assert(err, qt.ErrorMatches, "listen on 10.0.0.1:80: address in use")
	})
}
