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

// get asks the server at 10.0.0.1 from 10.0.0.2.
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

func TestCutIsolateFreeze(t *testing.T) {
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
		works := func(want bool) {
			answer, err := get(client, 5*time.Second)
			c.Assert(err == nil, qt.Equals, want, qt.Commentf("%v", err))
			c.Assert(answer == "ok", qt.Equals, want)
		}
		works(true)
		network.Partition("10.0.0.1", "10.0.0.2")
		works(false)
		network.Heal("10.0.0.1", "10.0.0.2")
		works(true)
		network.Isolate("10.0.0.1")
		works(false)
		network.Reconnect("10.0.0.1")
		works(true)
		network.Pause("10.0.0.1")
		time.AfterFunc(3*time.Second, func() { network.Resume("10.0.0.1") })
		begin := time.Now()
		works(true)
		c.Assert(time.Since(begin), qt.Equals, 3*time.Second)
		_, err = network.Listen("10.0.0.1:80")
		c.Assert(err, qt.ErrorMatches, "listen on 10.0.0.1:80: address in use")
	})
}
