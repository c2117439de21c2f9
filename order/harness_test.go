package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/internal/faultlog"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

// instance is an entry instance on its own simulated host.
type instance struct {
	*faultlog.Host
	executor *Executor
	cancel   context.CancelFunc
	stopped  chan struct{}

	mu sync.Mutex
	// onStep is called at each step of an order.
	onStep func(i *instance, at step)
}

func (i *instance) setOnStep(onStep func(i *instance, at step)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onStep = onStep
}

func (i *instance) step(at step) {
	i.mu.Lock()
	onStep := i.onStep
	i.mu.Unlock()
	if onStep != nil {
		onStep(i, at)
	}
	i.ExitIfDead()
}

func startInstance(l ledger.Log, name string, cfg Config) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		Host:    faultlog.NewHost(cancel),
		cancel:  cancel,
		stopped: make(chan struct{}),
	}
	i.executor = NewExecutor(Deps{
		Log:      i.Log(l),
		Instance: name,
		Config:   cfg,
	})
	i.executor.stepHook = i.step
	go func() {
		defer close(i.stopped)
		_ = i.executor.Run(ctx)
	}()
	return i
}

// service is a fake backend server that counts how often each order was run.
type service struct {
	mu      sync.Mutex
	rand    *rand.Rand
	effects map[string]int
	// loseAnswer is the probability that the answer is lost after the order was run,
	// decline the probability that the order is declined.
	loseAnswer float64
	decline    float64
	duration   time.Duration
}

func newService(seed uint64) *service {
	return &service{
		rand:     rand.New(rand.NewPCG(seed, 2)),
		effects:  map[string]int{},
		duration: 50 * time.Millisecond,
	}
}

func (s *service) apply(key string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.rand.Float64()
	if p < s.decline {
		return 0, "declined"
	}
	s.effects[key]++
	if p < s.decline+s.loseAnswer {
		return s.effects[key], "lost"
	}
	return s.effects[key], "answered"
}

func (s *service) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[key]
}

// dispatch returns a Dispatch that calls the service from the instance.
func (s *service) dispatch(i *instance, key string) Dispatch {
	return func(_ context.Context, sent receipt.Sent) receipt.Outcome {
		i.ExitIfDead()
		time.Sleep(s.duration / 2)
		n, how := s.apply(key)
		time.Sleep(s.duration / 2)
		i.ExitIfDead()
		reason := receipt.Reason{
			Code: receipt.CodeAnswerLost,
			Step: receipt.StepCall,
		}
		switch how {
		case "declined":
			return sent.Declined(reason)
		case "lost":
			return sent.Unknown(reason)
		}
		return receipt.Answered{
			Status:      200,
			ContentType: "text/plain",
			Body:        []byte(key + "#" + strconv.Itoa(n)),
		}
	}
}

// newKey returns a key with the given issue time.
func newKey(r *rand.Rand, at time.Time) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for n := range 6 {
		id[n] = byte(ms >> (8 * (5 - n)))
	}
	for n := 6; n < len(id); n++ {
		id[n] = byte(r.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

func (i *instance) order(ctx context.Context, s *service, key string) receipt.Outcome {
	return i.executor.Do(ctx, Request{
		Attempt: fmt.Sprintf("attempt-%s", key),
		Caller:  "studio-a",
		Key:     key,
		Digest:  Digest([]byte(key)),
		Timeout: 2 * time.Second,
	}, s.dispatch(i, key))
}
