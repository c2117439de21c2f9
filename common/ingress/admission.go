package ingress

import (
	"math"
	"net/http"

	"github.com/balsamlock/balsamlock/common/memory"
)

const (
	// connectionBytes is the memory that a connection without a request occupies at most.
	connectionBytes = 8 << 10
	// requestBytes is the memory that a request in progress occupies besides its body: the
	// stacks of its goroutines and what its handler allocates.
	requestBytes = 32 << 10
	// headerCopies is the number of copies of its header that a request in progress holds.
	headerCopies = 4
)

// Resource is what a request was refused for the lack of.
type Resource string

// Resources.
const (
	ResourceRequests Resource = "requests"
	ResourceBodies   Resource = "bodies"
)

// Rejection is a request that was answered with an error and not passed to the handler.
type Rejection struct {
	// Remote is the address of the caller.
	Remote string
	Status int
	// Lacking is set if Status is 503.
	Lacking Resource
	// Header is the header of the request, or nil if it wasn't read.
	Header http.Header
}

// admission decides which requests a server holds at the same time. It is safe for concurrent
// use.
type admission struct {
	requests *memory.Budget
}

func newAdmission(deps Deps) *admission {
	return &admission{requests: orUnlimited(deps.Requests)}
}

func orUnlimited(b *memory.Budget) *memory.Budget {
	if b == nil {
		return memory.NewBudget(math.MaxInt64)
	}
	return b
}

// admitRequest admits a request with a header of n bytes. It returns the number of bytes to
// pass to endRequest, or 0 if the request must be refused.
func (a *admission) admitRequest(headerBytes int) int64 {
	charge := int64(requestBytes + headerCopies*headerBytes)
	if !a.requests.Take(charge) {
		return 0
	}
	return charge
}

// endRequest ends a request.
func (a *admission) endRequest(charge int64) { a.requests.Return(charge) }
