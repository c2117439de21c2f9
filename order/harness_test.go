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

// instance is one entry instance on a host of its own.
type instance struct {
	*faultlog.Host
	book   *Executor
	cancel context.CancelFunc
	ended  chan struct{}

	mu sync.Mutex
	// fault is called at each step of an order.
	fault func(i *instance, at step)
}

func (i *instance) setFault(fault func(i *instance, at step)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = fault
}

func (i *instance) step(at step) {
	i.mu.Lock()
	fault := i.fault
	i.mu.Unlock()
	if fault != nil {
		fault(i, at)
	}
	i.MustLive()
}

func startInstance(l ledger.Log, name string, cfg Config) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		Host:   faultlog.NewHost(cancel),
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	i.book = NewExecutor(Deps{
		Log:      i.Log(l),
		Instance: name,
		Config:   cfg,
	})
	i.book.probe = i.step
	go func() {
		defer close(i.ended)
		_ = i.book.Run(ctx)
	}()
	return i
}

// service counts the effects of each order.
type service struct {
	mu      sync.Mutex
	rand    *rand.Rand
	effects map[string]int
	// lose and decline are the probabilities of a lost answer after the effect
	// and of a refusal before it.
	lose    float64
	decline float64
	time    time.Duration
}

func newService(seed uint64) *service {
	return &service{
		rand:    rand.New(rand.NewPCG(seed, 2)),
		effects: map[string]int{},
		time:    50 * time.Millisecond,
	}
}

func (s *service) effect(key string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.rand.Float64()
	if p < s.decline {
		return 0, "declined"
	}
	s.effects[key]++
	if p < s.decline+s.lose {
		return s.effects[key], "lost"
	}
	return s.effects[key], "answered"
}

func (s *service) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[key]
}

// dispatch calls the service for an instance.
func (s *service) dispatch(i *instance, key string) Dispatch {
	return func(_ context.Context, sent receipt.Sent) receipt.Outcome {
		i.MustLive()
		time.Sleep(s.time / 2)
		n, how := s.effect(key)
		time.Sleep(s.time / 2)
		i.MustLive()
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

// newKey returns a key issued at a time.
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
	return i.book.Do(ctx, Request{
		Attempt: fmt.Sprintf("attempt-%s", key),
		Caller:  "studio-a",
		Key:     key,
		Digest:  Digest([]byte(key)),
		Timeout: 2 * time.Second,
	}, s.dispatch(i, key))
}
