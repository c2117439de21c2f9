package replay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
)

// Faults are the failures injected into a virtual run.
type Faults struct {
	// StallShare is the fraction of KV cache transfers that never return.
	StallShare float64 `json:"stall_share"`
	// LoadLag replaces the profile's LoadLag if greater than 0.
	LoadLag time.Duration `json:"load_lag_ns"`
	// EventLossPercent is the percentage of cache events that are lost.
	EventLossPercent int `json:"event_loss_percent"`
	// KillInterval is the time between two kills of a decode engine, 0 for none.
	KillInterval time.Duration `json:"kill_every_ns"`
	// Steward is the failure of the stewards from StewardAt on. Empty means no
	// failure.
	Steward   StewardFault  `json:"steward,omitempty"`
	StewardAt time.Duration `json:"steward_at_ns,omitempty"`
}

// network holds an entry instance's engine clients, which simulate network
// latency and stalled transfers.
type network struct {
	engines map[string]kiln.Engine
	latency map[string]time.Duration
	faults  Faults
	mu      sync.Mutex
	random  *rand.Rand
}

// Engine returns the client of the engine at the address.
func (n *network) Engine(address string) kiln.Engine {
	return &remoteEngine{
		Engine:  n.engines[address],
		network: n,
		latency: n.latency[address],
	}
}

func (n *network) shouldStall() bool {
	if n.faults.StallShare <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.faults.StallShare
}

var _ firing.Engines = (*network)(nil)

// remoteEngine delays each call of an engine by the one-way latency in both
// directions.
type remoteEngine struct {
	kiln.Engine
	network *network
	latency time.Duration
}

// sleep waits for d. It returns the context's error if ctx is done before.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call runs the method with the latency before and after it.
func (e *remoteEngine) call(ctx context.Context, method func() error) error {
	if err := sleep(ctx, e.latency); err != nil {
		return err
	}
	err := method()
	if sleepErr := sleep(ctx, e.latency); sleepErr != nil {
		return sleepErr
	}
	return err
}

// Reserve reserves a decode slot.
func (e *remoteEngine) Reserve(ctx context.Context, req kiln.ReserveRequest) error {
	return e.call(ctx, func() error { return e.Engine.Reserve(ctx, req) })
}

// Prefill computes the KV cache of a prompt.
func (e *remoteEngine) Prefill(ctx context.Context, req kiln.PrefillRequest) (result kiln.PrefillResult, err error) {
	err = e.call(ctx, func() error {
		result, err = e.Engine.Prefill(ctx, req)
		return err
	})
	return result, err
}

// Import transfers a KV cache to the engine. A stalled import blocks until ctx
// is done.
func (e *remoteEngine) Import(ctx context.Context, req kiln.ImportRequest) error {
	if e.network.shouldStall() {
		<-ctx.Done()
		return ctx.Err()
	}
	return e.call(ctx, func() error { return e.Engine.Import(ctx, req) })
}

// Decode starts decoding and returns the stream of frames.
func (e *remoteEngine) Decode(ctx context.Context, req kiln.DecodeRequest) (stream kiln.Stream, err error) {
	err = e.call(ctx, func() error {
		stream, err = e.Engine.Decode(ctx, req)
		return err
	})
	if err != nil {
		return nil, err
	}
	if e.latency < time.Millisecond {
		return stream, nil
	}
	return &remoteStream{
		Stream:  stream,
		latency: e.latency,
	}, nil
}

// Cancel frees the memory of an attempt.
func (e *remoteEngine) Cancel(ctx context.Context, attempt string, owner kiln.Owner) error {
	return e.call(ctx, func() error { return e.Engine.Cancel(ctx, attempt, owner) })
}

// remoteStream delays each frame by the one-way latency.
type remoteStream struct {
	kiln.Stream
	latency time.Duration
}

// Next returns the next frame.
func (s *remoteStream) Next(ctx context.Context) (kiln.Frame, error) {
	frame, err := s.Stream.Next(ctx)
	if err != nil {
		return frame, err
	}
	return frame, sleep(ctx, s.latency)
}

// StandardFaults returns the faults under which the bounds for runs with faults
// are checked.
func StandardFaults() Faults {
	return Faults{
		StallShare:       0.05,
		LoadLag:          500 * time.Millisecond,
		EventLossPercent: 10,
		KillInterval:     time.Minute,
	}
}
