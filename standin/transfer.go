package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// maxExportBytes is the maximum size of an export's description over HTTP.
const maxExportBytes = 16 << 20

// errNoExport means that the source no longer has the export.
var errNoExport = errors.New("the source does not keep the export")

// ExportInfo describes an exported KV cache. The cache itself isn't transferred.
type ExportInfo struct {
	Attempt   string `json:"attempt"`
	Model     string `json:"model"`
	Text      string `json:"text"`
	Generated int    `json:"generated"`
	Bytes     int64  `json:"bytes"`
}

// Exporter is an engine from which KV caches can be imported.
type Exporter interface {
	Export(ctx context.Context, handle string) (ExportInfo, error)
}

// Peers returns engines by their addresses.
type Peers interface {
	Exporter(address string) (Exporter, error)
}

// Directory implements Peers for engines in this process.
type Directory struct {
	mu        sync.RWMutex
	exporters map[string]Exporter
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{exporters: map[string]Exporter{}}
}

// Add registers an engine at an address.
func (d *Directory) Add(address string, x Exporter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exporters[address] = x
}

// Exporter returns the engine at an address, or an error that wraps
// ErrConnectionLost if there is none.
func (d *Directory) Exporter(address string) (Exporter, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	x, ok := d.exporters[address]
	if !ok {
		return nil, fmt.Errorf("import: peer %s: %w", address, ErrConnectionLost)
	}
	return x, nil
}

type httpPeers struct{ client *http.Client }

// Exporter returns an HTTP client of the engine at an address. It never fails.
func (p httpPeers) Exporter(address string) (Exporter, error) {
	return httpExporter{
		client:  p.client,
		address: address,
	}, nil
}

type httpExporter struct {
	client  *http.Client
	address string
}

// Export fetches the description of an export.
func (x httpExporter) Export(ctx context.Context, handle string) (ExportInfo, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.address+"/v1/exports/"+handle, nil)
	if err != nil {
		return ExportInfo{}, fmt.Errorf("export: peer %s: %w", x.address, err)
	}
	resp, err := x.client.Do(req)
	if err != nil {
		return ExportInfo{}, fmt.Errorf("export: peer %s: %w", x.address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusGone {
		return ExportInfo{}, errNoExport
	}
	if resp.StatusCode != http.StatusOK {
		return ExportInfo{}, fmt.Errorf("export: peer %s: status %d", x.address, resp.StatusCode)
	}
	var exported ExportInfo
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxExportBytes)).Decode(&exported); err != nil {
		return ExportInfo{}, fmt.Errorf("export: peer %s: decode: %w", x.address, err)
	}
	return exported, nil
}

// Import fetches an exported KV cache into reserved memory. If it is cancelled or
// fails, the memory stays allocated.
func (e *Engine) Import(ctx context.Context, req kiln.ImportRequest) error {
	const call = "import"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	a, done, err := e.beginImport(call, req)
	if err != nil {
		return err
	}
	if done {
		return e.faults.applyAfter(ctx, call)
	}
	exported, err := e.transfer(ctx, a, req)
	if err := e.finishImport(call, a, req, exported, err); err != nil {
		return err
	}
	return e.faults.applyAfter(ctx, call)
}

func (e *Engine) beginImport(call string, req kiln.ImportRequest) (a *allocation, done bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	a = e.allocations[req.Attempt]
	if a == nil {
		return nil, false, e.refusal(call, kiln.ErrGone, "no reservation")
	}
	if isFenced(a.owner, req.Owner) {
		return nil, false, e.refusal(call, kiln.ErrFenced, "held by another owner")
	}
	if a.ready {
		return a, true, nil
	}
	if a.importing {
		return nil, false, e.refusal(call, kiln.ErrBusy, "an import is in progress")
	}
	a.owner = req.Owner
	a.renewedAt = time.Now()
	a.kind = kindImport
	a.importing = true
	return a, false, nil
}

func (e *Engine) transfer(ctx context.Context, a *allocation, req kiln.ImportRequest) (ExportInfo, error) {
	peer, err := e.deps.Peers.Exporter(req.Source)
	if err != nil {
		return ExportInfo{}, err
	}
	if err := e.faults.waitWhileHeld(ctx, "transfer"); err != nil {
		return ExportInfo{}, err
	}
	exported, err := peer.Export(ctx, req.Handle)
	if err != nil {
		return ExportInfo{}, err
	}
	if req.Source == e.deps.Address {
		return exported, nil
	}
	if e.deps.Route != nil {
		if shared := e.deps.Route(req.Source); shared != nil {
			if err := shared.Transfer(ctx, a.freed, exported.Bytes); err != nil {
				return ExportInfo{}, err
			}
		}
	}
	return exported, e.link.Transfer(ctx, a.freed, exported.Bytes)
}

func (e *Engine) finishImport(call string, a *allocation, req kiln.ImportRequest, exported ExportInfo, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.importing = false
	if e.allocations[req.Attempt] != a {
		return e.refusal(call, kiln.ErrGone, "cancelled during the import")
	}
	if err != nil {
		return e.importError(call, req, err)
	}
	if exported.Attempt != req.Attempt {
		return e.refusal(call, kiln.ErrBadRequest, "the export is of another attempt")
	}
	a.ready = true
	a.handle = req.Handle
	a.prompt = exported.Text
	a.seed = answerSeed(exported.Model, exported.Text)
	a.renewedAt = time.Now()
	return nil
}

func (e *Engine) importError(call string, req kiln.ImportRequest, err error) error {
	switch {
	case errors.Is(err, errNoExport):
		return e.refusal(call, kiln.ErrNoExport, "source "+req.Source+" does not keep "+req.Handle)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("import: peer %s: source %s: %w", e.deps.Address, req.Source, err)
	}
	return e.refusal(call, kiln.ErrUnavailable, "source "+req.Source+": "+err.Error())
}
