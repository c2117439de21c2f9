package console

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
)

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = time.Minute
	shutdownTimeout   = 10 * time.Second
)

// Start adds the HTTP server of a console and the follower of its document to a run
// group. It returns an error if the console cannot listen on its address.
func Start(g *run.Group, cfg Config) error {
	client := ledger.NewClient(ledger.ClientDeps{
		Address: cfg.Platform,
		HTTP:    transport.NewClient(),
	})
	follower := plan.NewFollower(plan.Deps{
		Log:    client,
		Config: cfg.Document,
	})
	c, err := New(Deps{
		Config:    cfg,
		Log:       client,
		Follower:  follower,
		Operators: operator.NewClient(cfg.OperatorKey, transport.NewClient()),
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return follower.Run(ctx) }, func(error) { cancel() })
	serve(g, listener, c.Handler())
	return nil
}

func serve(g *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
	}
	g.Add(func() error {
		err := server.Serve(transport.RetryAccepts(listener))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}
