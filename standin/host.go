package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/ledger"
)

const (
	// idlePollInterval is how often a leaving server checks whether it is idle.
	idlePollInterval = 50 * time.Millisecond
	callTimeout      = time.Second
)

// hostedServer is a stand-in that is served over HTTP.
type hostedServer struct {
	cfg        ServerConfig
	listener   net.Listener
	server     *http.Server
	instance   ledger.ListedInstance
	registry   ledger.Registry
	setLeaving func()
	isIdle     func() bool
}

// Host serves stand-ins over HTTP and registers them with the platform.
type Host struct {
	cfg     Config
	client  *http.Client
	servers []*hostedServer
}

// Start opens the listeners of all configured servers and adds an actor that serves
// them to the run group.
func Start(g *run.Group, cfg Config) error {
	h := &Host{
		cfg:    cfg,
		client: transport.NewClient(),
	}
	for _, server := range cfg.Servers {
		if err := h.listen(server); err != nil {
			h.closeListeners()
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return h.serve(ctx) }, func(error) {
		h.shutdown()
		cancel()
	})
	return nil
}

func (h *Host) listen(cfg ServerConfig) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: server %s: %w", cfg.Name, err)
	}
	s := &hostedServer{
		cfg:        cfg,
		listener:   listener,
		setLeaving: func() {},
		isIdle:     func() bool { return true },
	}
	address := listener.Addr().String()
	incarnation := uint64(time.Now().UnixMilli())
	s.instance = ledger.ListedInstance{
		ID:          cfg.Name + "-" + strconv.FormatUint(incarnation, hexBase),
		Kind:        string(cfg.Kind),
		Name:        cfg.Name,
		Address:     address,
		DataCentre:  cfg.DataCentre,
		State:       ledger.InstanceLive,
		Incarnation: incarnation,
	}
	var client *ledger.Client
	if cfg.Platform != "" {
		client = ledger.NewClient(ledger.ClientDeps{
			Address: cfg.Platform,
			HTTP:    h.client,
		})
		s.registry = client
	}
	s.server = &http.Server{
		Handler:           h.handler(s, client, incarnation),
		ReadHeaderTimeout: callTimeout,
	}
	h.servers = append(h.servers, s)
	log.Info().Str("kind", string(cfg.Kind)).Str("server", cfg.Name).Str("address", address).Msg("listening")
	return nil
}

func (h *Host) handler(s *hostedServer, client *ledger.Client, incarnation uint64) http.Handler {
	switch s.cfg.Kind {
	case KindPlatform:
		return NewPlatform(s.cfg.PlatformOptions).Handler()
	case KindService:
		service := NewService(s.cfg.Name, s.cfg.ServiceOptions)
		s.setLeaving = service.SetLeaving
		s.isIdle = func() bool { return service.load().InFlight == 0 }
		return service.Handler()
	case KindEngine:
	}
	deps := EngineDeps{
		Address:     s.instance.Address,
		HTTP:        h.client,
		Incarnation: incarnation,
	}
	if client != nil {
		deps.Weights = client
	}
	engine := NewEngine(s.cfg.EngineOptions, deps)
	s.setLeaving = engine.SetLeaving
	s.isIdle = func() bool { return len(engine.holdings()) == 0 }
	return engine.Handler()
}

func (h *Host) serve(ctx context.Context) error {
	errs := make(chan error, len(h.servers))
	var registrations sync.WaitGroup
	for _, s := range h.servers {
		go func() { errs <- s.server.Serve(transport.RetryAccepts(s.listener)) }()
		if s.registry != nil {
			registrations.Go(func() {
				ledger.KeepRegistered(ctx, s.registry, s.instance, time.Duration(h.cfg.TTLMS)*time.Millisecond)
			})
		}
	}
	defer registrations.Wait()
	for range h.servers {
		if err := <-errs; !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
	}
	<-ctx.Done()
	return nil
}

// shutdown marks every server as leaving, waits for the requests in flight and stops
// the servers. Platforms stop last, because the other servers deregister from them.
func (h *Host) shutdown() {
	leaveDelay := time.Duration(h.cfg.LeaveMS) * time.Millisecond
	drainTimeout := time.Duration(h.cfg.DrainMS) * time.Millisecond
	var backends, platforms []*hostedServer
	reported := false
	for _, s := range h.servers {
		if s.cfg.Kind == KindPlatform {
			platforms = append(platforms, s)
			continue
		}
		backends = append(backends, s)
		s.setLeaving()
		reported = s.report("leaving", ledger.Registry.MarkLeaving) || reported
	}
	if reported {
		time.Sleep(leaveDelay)
	}
	shutdownAll(backends, drainTimeout)
	shutdownAll(platforms, drainTimeout)
}

func shutdownAll(servers []*hostedServer, drainTimeout time.Duration) {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { s.shutdown(drainTimeout) })
	}
	wg.Wait()
}

// report sends a change of the server's registration to the platform. It reports
// whether the platform confirmed it.
func (s *hostedServer) report(step string, call func(ledger.Registry, context.Context, string) error) bool {
	if s.registry == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := call(s.registry, ctx, s.instance.ID); err != nil {
		log.Warn().Err(err).Str("server", s.cfg.Name).Str("step", step).Str("peer", s.cfg.Platform).
			Msg("reporting to platform failed")
		return false
	}
	return true
}

func (s *hostedServer) shutdown(drainTimeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for !s.isIdle() && sleep(ctx, idlePollInterval) == nil {
		continue
	}
	if err := s.server.Shutdown(ctx); err != nil {
		log.Warn().Err(err).Str("server", s.cfg.Name).Msg("drain timeout expired, closing connections with requests in flight")
		_ = s.server.Close()
	}
	s.report("deregister", ledger.Registry.Deregister)
}

func (h *Host) closeListeners() {
	for _, s := range h.servers {
		_ = s.listener.Close()
	}
}
