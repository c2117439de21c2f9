package quotation

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// defaultWork is the expected work of routes without observations. Plain calls take 30 to 60 ms.
	defaultWork = 45 * time.Millisecond
	// workWindow is the number of recent calls that effectively count, and workPrior the weight of the
	// route's average in that of a size class, both in calls.
	workWindow = 200
	workPrior  = 4
	// maxWorkKeys limits the number of averages. Routes and size classes are few; routes that no longer
	// exist are forgotten when the limit is reached.
	maxWorkKeys = 1024
)

// CallSpec is what is known about a call of a plain service before it is sent.
type CallSpec struct {
	Route string
	// BodyBytes is the size of the body. Hint is the caller's estimate of the work, in any unit, or 0 if
	// there is none. Calls with a hint are classified by it instead of by their size.
	BodyBytes int
	Hint      int
}

// workKey identifies the calls that are expected to take equally long.
type workKey struct {
	route  string
	hinted bool
	class  int
}

// routeClass is the class that holds the average over all calls of a route.
const routeClass = -1

func (s CallSpec) key() workKey {
	if s.Hint > 0 {
		return workKey{
			route:  s.Route,
			hinted: true,
			class:  bits.Len(uint(s.Hint)),
		}
	}
	return workKey{
		route: s.Route,
		class: bits.Len(uint(max(0, s.BodyBytes))),
	}
}

// workAverage is the average logarithm of the work of some calls.
type workAverage struct {
	log    float64
	weight float64
}

// With returns the average after another call.
func (a workAverage) With(log float64) workAverage {
	weight := min(a.weight+1, workWindow)
	return workAverage{
		log:    a.log + (log-a.log)/weight,
		weight: weight,
	}
}

// expectedWork holds the work of calls by route and size class: the time that they take at a server of usual
// speed that isn't slowed down. It is safe for concurrent use.
type expectedWork struct {
	mu       sync.Mutex
	averages map[workKey]workAverage
}

// of returns the expected work of a call.
func (w *expectedWork) of(spec CallSpec) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	route := w.averages[workKey{
		route: spec.Route,
		class: routeClass,
	}]
	class := w.averages[spec.key()]
	prior := workAverage{
		log:    math.Log(float64(defaultWork)),
		weight: 1,
	}
	log := (route.log*route.weight + prior.log*prior.weight) / (route.weight + prior.weight)
	log = (class.log*class.weight + log*workPrior) / (class.weight + workPrior)
	return time.Duration(math.Exp(log))
}

// observe records the work that a call took.
func (w *expectedWork) observe(spec CallSpec, took time.Duration) {
	log := math.Log(float64(max(took, minWork)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.averages == nil || len(w.averages) >= maxWorkKeys {
		w.averages = map[workKey]workAverage{}
	}
	key := workKey{
		route: spec.Route,
		class: routeClass,
	}
	w.averages[key] = w.averages[key].With(log)
	w.averages[spec.key()] = w.averages[spec.key()].With(log)
}
