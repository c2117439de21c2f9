package quotation

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// Worker is an engine in a Snapshot. All fields but load are immutable.
type Worker struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	Pool       string
	// Version is the version of the engine's software, or empty if it states none.
	Version string
	Role    kiln.Role
	Slots   int
	// KVTokens is the memory for prompts and output, in tokens; 0 if unknown.
	KVTokens int
	// PrefillRate is the prefill rate in tokens per second.
	PrefillRate float64

	// The load of other instances: the reported load less this instance's own load
	// at the time of the report.
	slotsUsedElsewhere    int64
	tokensQueuedElsewhere int64
	memoryUsedElsewhere   int64
	piecesFree            int64
	reportedAt            time.Time
	pausedUntil           time.Time
	load                  *engineLoad
}

// engineReportTTL is how long an engine's report of its used slots is valid, about
// the duration of a generation. Without this limit, an engine whose last report
// said that it was full would never be chosen again.
const engineReportTTL = 2 * time.Second

// SlotsUsed returns the estimated number of slots in use at now.
func (w *Worker) SlotsUsed(now time.Time) int {
	elsewhere := w.slotsUsedElsewhere
	if now.Sub(w.reportedAt) > engineReportTTL {
		elsewhere = 0
	}
	if u := w.remoteUsage(now); u != nil {
		elsewhere = u.slots
	}
	return int(elsewhere + w.load.slots.value.Load())
}

// MemoryUsed returns the estimated memory in use, in tokens.
func (w *Worker) MemoryUsed() int {
	return int(w.memoryUsedElsewhere + w.load.reservedTokens.value.Load())
}

// hasMemoryFor reports whether the engine has free memory for the given number of
// tokens. It returns true if the engine's memory or the number is unknown.
func (w *Worker) hasMemoryFor(tokens int) bool {
	return w.KVTokens == 0 || tokens == 0 || w.MemoryUsed()+tokens <= w.KVTokens
}

// utilization returns the used fraction of the engine's slots or of its memory,
// whichever is higher.
func (w *Worker) utilization(now time.Time) float64 {
	fraction := float64(w.SlotsUsed(now)) / float64(max(1, w.Slots))
	if w.KVTokens > 0 {
		fraction = max(fraction, float64(w.MemoryUsed())/float64(w.KVTokens))
	}
	return fraction
}

// ReportAge returns the age of the engine's last report, or 0 if there is none.
func (w *Worker) ReportAge(now time.Time) time.Duration {
	if w.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(w.reportedAt)
}

// QueuedTokens returns the estimated number of prompt tokens that wait for prefill
// at now. It assumes that the engine has processed the load of other instances at
// its prefill rate since that was reported.
func (w *Worker) QueuedTokens(now time.Time) int {
	elsewhere, at := w.tokensQueuedElsewhere, w.reportedAt
	if u := w.remoteUsage(now); u != nil {
		elsewhere, at = u.tokens, u.at
	}
	remaining := 0.0
	if elsewhere > 0 {
		remaining = max(0, float64(elsewhere)-w.PrefillRate*now.Sub(at).Seconds())
	}
	return int(remaining) + int(max(0, w.load.prefillTokens.value.Load()))
}

// PendingBytes returns the estimated size of the KV caches in transfer on the
// engine's link.
func (w *Worker) PendingBytes(now time.Time) int64 {
	pending := w.load.linkBytes.Load()
	if u := w.remoteUsage(now); u != nil {
		pending += u.bytes
	}
	return pending
}

// remoteUsage returns the load that other instances sent, or nil if there is none
// or it has expired.
func (w *Worker) remoteUsage(now time.Time) *remoteUsage {
	u := w.load.remote.Load()
	if u == nil || now.Sub(u.at) > remoteUsageTTL {
		return nil
	}
	return u
}

// paused reports whether the engine has asked for no requests at now.
func (w *Worker) paused(now time.Time) bool { return now.Before(w.pausedUntil) }

func (w *Worker) failed(now int64) bool { return w.load.failedUntil.Load() > now }

// full reports whether the engine has at most spare slots free, or recently refused
// a request as full.
func (w *Worker) full(now time.Time, spare int) bool {
	return w.SlotsUsed(now)+spare >= w.Slots || w.load.fullUntil.Load() > now.UnixNano()
}

// modelWorkers holds the engines of one model by role and region. The key "" holds
// the engines of all regions.
type modelWorkers struct {
	decode  map[string][]*Worker
	prefill map[string][]*Worker
	// versions are the versions of their software.
	versions []string
}

func newModelWorkers() *modelWorkers {
	return &modelWorkers{
		decode:  map[string][]*Worker{},
		prefill: map[string][]*Worker{},
	}
}

// Snapshot holds the engines with their reported load. It is immutable apart from
// this instance's own load on them.
type Snapshot struct {
	models map[string]*modelWorkers
	// regions maps data centres to regions. regionNames is sorted.
	regions     map[string]string
	regionNames []string
	workers     map[string]*Worker
	firstServer *crew.Server
	serverCount int
	builtAt     time.Time
}

func newSnapshot(servers []crew.Server, cfg Config, loadOf func(address string) *engineLoad, now time.Time) *Snapshot {
	snapshot := &Snapshot{
		models:      map[string]*modelWorkers{},
		regions:     map[string]string{},
		workers:     map[string]*Worker{},
		serverCount: len(servers),
		builtAt:     now,
	}
	if len(servers) > 0 {
		snapshot.firstServer = &servers[0]
	}
	for i := range servers {
		snapshot.add(&servers[i], cfg, loadOf)
	}
	names := slices.Collect(maps.Values(snapshot.regions))
	slices.Sort(names)
	snapshot.regionNames = slices.Compact(names)
	return snapshot
}

func (s *Snapshot) add(server *crew.Server, cfg Config, loadOf func(address string) *engineLoad) {
	s.regions[server.DataCentre] = server.Region
	if server.Role == "" || server.State != crew.StateLive || server.Load.Leaving {
		return
	}
	worker := newWorker(server, cfg, loadOf(server.Address))
	s.workers[worker.Address] = worker
	for _, model := range modelNames(server) {
		s.addToModel(model, worker)
	}
}

func (s *Snapshot) addToModel(model string, worker *Worker) {
	m := s.models[model]
	if m == nil {
		m = newModelWorkers()
		s.models[model] = m
	}
	if !slices.Contains(m.versions, worker.Version) {
		m.versions = append(m.versions, worker.Version)
	}
	for _, region := range []string{"", worker.Region} {
		if worker.Role != kiln.RolePrefill {
			m.decode[region] = append(m.decode[region], worker)
		}
		if worker.Role != kiln.RoleDecode {
			m.prefill[region] = append(m.prefill[region], worker)
		}
	}
}

// modelNames returns the names, without versions, of the models that a server
// serves.
func modelNames(server *crew.Server) []string {
	names := make([]string, 0, len(server.Load.Models)+1)
	for _, loaded := range server.Load.Models {
		names = append(names, modelName(loaded))
	}
	if len(names) == 0 && server.Model != "" {
		names = append(names, server.Model)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func modelName(loaded string) string {
	for i := range len(loaded) {
		if loaded[i] == '@' {
			return loaded[:i]
		}
	}
	return loaded
}

func newWorker(server *crew.Server, cfg Config, local *engineLoad) *Worker {
	report := server.Load
	worker := &Worker{
		Name:        server.Name,
		Address:     server.Address,
		DataCentre:  server.DataCentre,
		Region:      server.Region,
		Pool:        server.Pool,
		Version:     server.Version,
		Role:        server.Role,
		Slots:       server.Slots,
		PrefillRate: cfg.TokensPerSecond,
		piecesFree:  int64(report.Pieces - report.PiecesUsed),
		reportedAt:  report.At,
		pausedUntil: server.PausedUntil,
		load:        local,
	}
	if report.Role != "" {
		worker.Role = report.Role
	}
	if report.Slots > 0 {
		worker.Slots = report.Slots
	}
	if report.TokensPerSecond > 0 {
		worker.PrefillRate = report.TokensPerSecond
	}
	worker.KVTokens = report.KVTokens
	if report.At.IsZero() {
		return worker
	}
	worker.slotsUsedElsewhere = max(0, int64(report.SlotsUsed)-local.slots.at(report.At))
	worker.tokensQueuedElsewhere = max(0, int64(report.QueuedTokens)-local.prefillTokens.at(report.At))
	worker.memoryUsedElsewhere = max(0, int64(report.KVTokensUsed)-local.reservedTokens.at(report.At))
	return worker
}

// Region returns the region of a data centre, or "" if it has no servers.
func (s *Snapshot) Region(dataCentre string) string { return s.regions[dataCentre] }
