package standin

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memnet"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/workshop"
)

// platformClient is implemented by Platform and by its HTTP client.
type platformClient interface {
	ledger.Log
	ledger.Instances
	ledger.Registry
}

// runPlatformDirectAndHTTP runs a test in virtual time, once with direct calls to a
// platform and once over HTTP.
func runPlatformDirectAndHTTP(t *testing.T, cfg PlatformConfig, run func(c *qt.C, p *Platform, client platformClient)) {
	t.Run("direct", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := NewPlatform(cfg)
			run(qt.New(t), p, p)
		})
	})
	t.Run("http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p := NewPlatform(cfg)
			client, stop := serveOnMemnet(c, p.Handler())
			defer stop()
			run(c, p, ledger.NewClient(ledger.ClientDeps{
				Address: prefillAddress,
				HTTP:    client,
			}))
		})
	})
}

func serveOnMemnet(c *qt.C, handler http.Handler) (*http.Client, func()) {
	network := memnet.New()
	listener, err := network.Listen(prefillAddress)
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: network.Dialer("10.0.0.1")}
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	}
}

func TestLogKeepsOffsetsAfterRetention(t *testing.T) {
	cfg := DefaultPlatformConfig()
	cfg.RetentionRecords = 3
	runPlatformDirectAndHTTP(t, cfg, func(c *qt.C, _ *Platform, client platformClient) {
		ctx := c.Context()
		for i := range 5 {
			offset, err := client.Append(ctx, ledger.StreamOrders, []byte{byte(i)})
			c.Assert(err, qt.IsNil)
			c.Assert(offset, qt.Equals, ledger.Offset(i))
		}
		page, err := client.Read(ctx, ledger.StreamOrders, 0, 2)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Oldest, qt.Equals, ledger.Offset(2))
		c.Assert(page.End, qt.Equals, ledger.Offset(5))
		c.Assert(page.Records, qt.HasLen, 2)
		c.Assert(page.Records[1].Payload, qt.DeepEquals, []byte{3})
		page, err = client.Read(ctx, ledger.StreamOrders, 5, 2)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Records, qt.HasLen, 0)
	})
}

func TestAppendErrorsDistinguishOutcomes(t *testing.T) {
	runPlatformDirectAndHTTP(t, DefaultPlatformConfig(), func(c *qt.C, p *Platform, client platformClient) {
		ctx := c.Context()
		appendOnce := func(kind FaultKind) error {
			p.Faults().Set(Rule{
				Kind:  kind,
				Call:  "append",
				Count: 1,
			})
			_, err := client.Append(ctx, ledger.StreamOrders, []byte("x"))
			return err
		}
		c.Assert(appendOnce(FaultRefuse), qt.ErrorIs, ledger.ErrRefused)
		c.Assert(appendOnce(FaultOutage), qt.ErrorIs, ledger.ErrUnavailable)
		c.Assert(p.Appends(), qt.Equals, int64(0))
		err := appendOnce(FaultDropAnswer)
		c.Assert(err, qt.IsNotNil)
		c.Assert(err, qt.Not(qt.ErrorIs), ledger.ErrRefused)
		c.Assert(err, qt.Not(qt.ErrorIs), ledger.ErrUnavailable)
		c.Assert(p.Appends(), qt.Equals, int64(1))
	})
}

func TestAppendRateIsLimited(t *testing.T) {
	cfg := DefaultPlatformConfig()
	cfg.AppendsPerSecond = 100
	cfg.AppendBurst = 10
	cfg.AppendMS = 0
	runPlatformDirectAndHTTP(t, cfg, func(c *qt.C, p *Platform, client platformClient) {
		refused := 0
		for range 20 {
			if _, err := client.Append(c.Context(), ledger.StreamOrders, nil); err != nil {
				c.Assert(err, qt.ErrorIs, ledger.ErrRefused)
				refused++
			}
		}
		c.Assert(refused, qt.Equals, 10)
		c.Assert(p.Appends(), qt.Equals, int64(10))
	})
}

func TestInstanceListShowsChangesAfterLag(t *testing.T) {
	runPlatformDirectAndHTTP(t, DefaultPlatformConfig(), func(c *qt.C, _ *Platform, client platformClient) {
		ctx := c.Context()
		states := func() (states []ledger.InstanceState) {
			instances, err := client.List(ctx)
			c.Assert(err, qt.IsNil)
			for _, instance := range instances {
				states = append(states, instance.State)
			}
			return states
		}
		instance := ledger.ListedInstance{
			ID:      "engine-1",
			Kind:    "engine",
			Address: decodeAddress,
		}
		c.Assert(client.Register(ctx, instance, 3*time.Second), qt.IsNil)
		c.Assert(states(), qt.HasLen, 0)
		time.Sleep(time.Second)
		c.Assert(states(), qt.DeepEquals, []ledger.InstanceState{ledger.InstanceLive})
		c.Assert(client.MarkLeaving(ctx, "engine-1"), qt.IsNil)
		c.Assert(client.Register(ctx, instance, 3*time.Second), qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(states(), qt.DeepEquals, []ledger.InstanceState{ledger.InstanceLeaving})
		time.Sleep(4 * time.Second)
		c.Assert(states(), qt.HasLen, 0)
	})
}

func TestServiceCountsRunsByKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := NewService("desk", DefaultServiceConfig())
		httpClient, stop := serveOnMemnet(c, service.Handler())
		defer stop()
		client := workshop.NewClient(workshop.ClientDeps{
			Address: prefillAddress,
			HTTP:    httpClient,
		})
		call := func(ctx context.Context) error {
			_, err := client.Call(ctx, workshop.Request{
				Method: http.MethodPost,
				Path:   "/orders",
				Body:   []byte("lead came"),
				Key:    "k1",
			})
			return err
		}
		service.Faults().Set(Rule{
			Kind:  FaultRefuse,
			Count: 1,
		})
		var notStarted *workshop.NotStartedError
		c.Assert(call(c.Context()), qt.ErrorAs, &notStarted)
		c.Assert(service.Runs(), qt.HasLen, 0)
		service.Faults().Set(Rule{
			Kind:  FaultDropAnswer,
			Count: 1,
		})
		// The connection is reused. By default, net/http retries a request with an
		// idempotency key if a reused connection breaks.
		c.Assert(call(c.Context()), qt.Not(qt.ErrorAs), &notStarted)
		c.Assert(service.Runs(), qt.DeepEquals, map[string]int{"k1": 1})
		c.Assert(call(c.Context()), qt.IsNil)
		c.Assert(service.Runs(), qt.DeepEquals, map[string]int{"k1": 2})
	})
}
