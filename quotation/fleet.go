package quotation

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// Worker is one engine in a Fleet. All but its tally is immutable.
type Worker struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	Pool       string
	Role       kiln.Role
	Slots      int
	// KVTokens is the memory for prompts and output in tokens; 0 if it isn't known.
	KVTokens int
	// Rate is the prefill rate in tokens per second.
	Rate float64

	// usedElsewhere and queuedElsewhere are the reported load without this
	// instance's own part at the time of the report.
	usedElsewhere   int64
	queuedElsewhere int64
	memoryElsewhere int64
	piecesFree      int64
	reported        time.Time
	tally           *tally
}

// reportLife is how long an engine's report of its slots tells anything: about the
// time of a generation. Without a newer one, an engine that was full once would
// be passed over for good.
const reportLife = 2 * time.Second

// Used returns the estimate of the slots in use at a time.
func (w *Worker) Used(now time.Time) int {
	elsewhere := w.usedElsewhere
	if now.Sub(w.reported) > reportLife {
		elsewhere = 0
	}
	if t := w.told(now); t != nil {
		elsewhere = t.slots
	}
	return int(elsewhere + w.tally.slots.value.Load())
}

// Memory returns the estimate of the memory in use, in tokens.
func (w *Worker) Memory() int {
	return int(w.memoryElsewhere + w.tally.memory.value.Load())
}

// fits tells whether an engine has memory for so many tokens more.
func (w *Worker) fits(tokens int) bool {
	return w.KVTokens == 0 || tokens == 0 || w.Memory()+tokens <= w.KVTokens
}

// fill returns the part of an engine that is in use, by slots or by memory,
// whichever is more.
func (w *Worker) fill(now time.Time) float64 {
	part := float64(w.Used(now)) / float64(max(1, w.Slots))
	if w.KVTokens > 0 {
		part = max(part, float64(w.Memory())/float64(w.KVTokens))
	}
	return part
}

// ReportAge returns the age of the engine's own report at a time, 0 if there is none.
func (w *Worker) ReportAge(now time.Time) time.Duration {
	if w.reported.IsZero() {
		return 0
	}
	return now.Sub(w.reported)
}

// Queued returns the estimate of the prompt tokens that wait for prefill at a
// time. What was told or reported has been worked off since.
func (w *Worker) Queued(now time.Time) int {
	elsewhere, at := w.queuedElsewhere, w.reported
	if t := w.told(now); t != nil {
		elsewhere, at = t.tokens, t.at
	}
	left := 0.0
	if elsewhere > 0 {
		left = max(0, float64(elsewhere)-w.Rate*now.Sub(at).Seconds())
	}
	return int(left) + int(max(0, w.tally.tokens.value.Load()))
}

// Pending returns the estimate of the KV cache on the engine's link, in bytes.
func (w *Worker) Pending(now time.Time) int64 {
	pending := w.tally.bytes.Load()
	if t := w.told(now); t != nil {
		pending += t.bytes
	}
	return pending
}

// told returns what other instances have told of their load, nil when it is
// too old.
func (w *Worker) told(now time.Time) *told {
	t := w.tally.others.Load()
	if t == nil || now.Sub(t.at) > toldFor {
		return nil
	}
	return t
}

func (w *Worker) failed(now int64) bool { return w.tally.failedUntil.Load() > now }

// full tells whether an engine has no more than spare slots free.
func (w *Worker) full(now time.Time, spare int) bool {
	return w.Used(now)+spare >= w.Slots || w.tally.fullUntil.Load() > now.UnixNano()
}

// lane holds the engines of one model by role and region; the empty region
// holds all.
type lane struct {
	decode  map[string][]*Worker
	prefill map[string][]*Worker
}

func newLane() *lane {
	return &lane{
		decode:  map[string][]*Worker{},
		prefill: map[string][]*Worker{},
	}
}

// Fleet is a snapshot of the engines, immutable but for the counts of this
// instance's own requests.
type Fleet struct {
	lanes map[string]*lane
	// regions maps data centres to regions; regionNames are sorted.
	regions     map[string]string
	regionNames []string
	workers     map[string]*Worker
	first       *crew.Server
	count       int
	built       time.Time
}

func newFleet(servers []crew.Server, cfg Config, find func(address string) *tally, now time.Time) *Fleet {
	fleet := &Fleet{
		lanes:   map[string]*lane{},
		regions: map[string]string{},
		workers: map[string]*Worker{},
		count:   len(servers),
		built:   now,
	}
	if len(servers) > 0 {
		fleet.first = &servers[0]
	}
	for i := range servers {
		fleet.add(&servers[i], cfg, find)
	}
	names := slices.Collect(maps.Values(fleet.regions))
	slices.Sort(names)
	fleet.regionNames = slices.Compact(names)
	return fleet
}

func (f *Fleet) add(server *crew.Server, cfg Config, find func(address string) *tally) {
	f.regions[server.DataCentre] = server.Region
	if server.Role == "" || server.State != crew.StateLive || server.Load.Leaving {
		return
	}
	worker := newWorker(server, cfg, find(server.Address))
	f.workers[worker.Address] = worker
	for _, model := range models(server) {
		f.enlist(model, worker)
	}
}

func (f *Fleet) enlist(model string, worker *Worker) {
	l := f.lanes[model]
	if l == nil {
		l = newLane()
		f.lanes[model] = l
	}
	for _, region := range []string{"", worker.Region} {
		if worker.Role != kiln.RolePrefill {
			l.decode[region] = append(l.decode[region], worker)
		}
		if worker.Role != kiln.RoleDecode {
			l.prefill[region] = append(l.prefill[region], worker)
		}
	}
}

// models returns the names without versions that a server takes requests for.
func models(server *crew.Server) []string {
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

func newWorker(server *crew.Server, cfg Config, own *tally) *Worker {
	load := server.Load
	worker := &Worker{
		Name:       server.Name,
		Address:    server.Address,
		DataCentre: server.DataCentre,
		Region:     server.Region,
		Pool:       server.Pool,
		Role:       server.Role,
		Slots:      server.Slots,
		Rate:       cfg.TokensPerSecond,
		piecesFree: int64(load.Pieces - load.PiecesUsed),
		reported:   load.At,
		tally:      own,
	}
	if load.Role != "" {
		worker.Role = load.Role
	}
	if load.Slots > 0 {
		worker.Slots = load.Slots
	}
	if load.TokensPerSecond > 0 {
		worker.Rate = load.TokensPerSecond
	}
	worker.KVTokens = load.KVTokens
	if load.At.IsZero() {
		return worker
	}
	worker.usedElsewhere = max(0, int64(load.SlotsUsed)-own.slots.at(load.At))
	worker.queuedElsewhere = max(0, int64(load.QueuedTokens)-own.tokens.at(load.At))
	worker.memoryElsewhere = max(0, int64(load.KVTokensUsed)-own.memory.at(load.At))
	return worker
}

// Region returns the region of a data centre, empty when it has no servers.
func (f *Fleet) Region(dataCentre string) string { return f.regions[dataCentre] }
