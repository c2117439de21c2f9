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
	// idlePoll is how often a leaving server looks whether it is idle.
	idlePoll    = 50 * time.Millisecond
	callTimeout = time.Second
)

// hosted is one stand-in that is served over HTTP.
type hosted struct {
	cfg      ServerConfig
	listener net.Listener
	server   *http.Server
	entry    ledger.ListedInstance
	registry ledger.Registry
	leave    func()
	idle     func() bool
}

// Host serves stand-ins over HTTP and reports them to the platform.
type Host struct {
	cfg     Config
	client  *http.Client
	servers []*hosted
}

// Start listens for every server of the settings and adds the host to the run
// group.
func Start(g *run.Group, cfg Config) error {
	h := &Host{
		cfg:    cfg,
		client: transport.NewClient(),
	}
	for _, server := range cfg.Servers {
		if err := h.listen(server); err != nil {
			h.close()
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return h.serve(ctx) }, func(error) {
		h.leave()
		cancel()
	})
	return nil
}

func (h *Host) listen(cfg ServerConfig) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: server %s: %w", cfg.Name, err)
	}
	s := &hosted{
		cfg:      cfg,
		listener: listener,
		leave:    func() {},
		idle:     func() bool { return true },
	}
	address := listener.Addr().String()
	incarnation := uint64(time.Now().UnixMilli())
	s.entry = ledger.ListedInstance{
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

func (h *Host) handler(s *hosted, client *ledger.Client, incarnation uint64) http.Handler {
	switch s.cfg.Kind {
	case KindPlatform:
		return NewPlatform(s.cfg.PlatformOptions).Handler()
	case KindService:
		service := NewService(s.cfg.Name, s.cfg.ServiceOptions)
		s.leave = service.SetLeaving
		s.idle = func() bool { return service.load().InFlight == 0 }
		return service.Handler()
	case KindEngine:
	}
	deps := EngineDeps{
		Address:     s.entry.Address,
		HTTP:        h.client,
		Incarnation: incarnation,
	}
	if client != nil {
		deps.Weights = client
	}
	engine := NewEngine(s.cfg.EngineOptions, deps)
	s.leave = engine.SetLeaving
	s.idle = func() bool { return len(engine.holdings()) == 0 }
	return engine.Handler()
}

func (h *Host) serve(ctx context.Context) error {
	errs := make(chan error, len(h.servers))
	var announcers sync.WaitGroup
	for _, s := range h.servers {
		go func() { errs <- s.server.Serve(s.listener) }()
		if s.registry != nil {
			announcers.Go(func() {
				ledger.KeepRegistered(ctx, s.registry, s.entry, time.Duration(h.cfg.TTLMS)*time.Millisecond)
			})
		}
	}
	defer announcers.Wait()
	for range h.servers {
		if err := <-errs; !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
	}
	<-ctx.Done()
	return nil
}

// leave reports every server as leaving, lets what is in progress end, and
// closes the platform last.
func (h *Host) leave() {
	leave := time.Duration(h.cfg.LeaveMS) * time.Millisecond
	drain := time.Duration(h.cfg.DrainMS) * time.Millisecond
	var backends, platforms []*hosted
	reported := false
	for _, s := range h.servers {
		if s.cfg.Kind == KindPlatform {
			platforms = append(platforms, s)
			continue
		}
		backends = append(backends, s)
		s.leave()
		reported = s.report("leaving", ledger.Registry.MarkLeaving) || reported
	}
	if reported {
		time.Sleep(leave)
	}
	stopAll(backends, drain)
	stopAll(platforms, drain)
}

func stopAll(servers []*hosted, drain time.Duration) {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { s.stop(drain) })
	}
	wg.Wait()
}

// report tells the platform, and returns whether it answered.
func (s *hosted) report(step string, call func(ledger.Registry, context.Context, string) error) bool {
	if s.registry == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := call(s.registry, ctx, s.entry.ID); err != nil {
		log.Warn().Err(err).Str("server", s.cfg.Name).Str("step", step).Str("peer", s.cfg.Platform).Msg("platform not told")
		return false
	}
	return true
}

func (s *hosted) stop(drain time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	for !s.idle() && sleep(ctx, idlePoll) == nil {
		continue
	}
	if err := s.server.Shutdown(ctx); err != nil {
		log.Warn().Err(err).Str("server", s.cfg.Name).Msg("requests cut at the end of the drain time")
		_ = s.server.Close()
	}
	s.report("deregister", ledger.Registry.Deregister)
}

func (h *Host) close() {
	for _, s := range h.servers {
		_ = s.listener.Close()
	}
}
