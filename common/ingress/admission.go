package ingress

import (
	"bytes"
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
	// fieldBytes is the memory of a header field in each copy besides its bytes. It is charged
	// for fields above usualFields, which requestBytes covers.
	fieldBytes  = 112
	usualFields = 32
	// maxRefusing is the number of connections beyond the limits that are accepted at the same
	// time to refuse a request each.
	maxRefusing = 64
)

// Resource is what a request was refused for the lack of.
type Resource string

// Resources.
const (
	ResourceConnections Resource = "connections"
	ResourceHeaders     Resource = "headers"
	ResourceRequests    Resource = "requests"
	ResourceBodies      Resource = "bodies"
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

// verdict is the decision on a new connection.
type verdict int

// Verdicts.
const (
	// verdictServe is for a connection that is served. endConn must be called when it is closed.
	verdictServe verdict = iota
	// verdictRefuse is for a connection on which one request is refused. endRefusal must be
	// called when it is closed.
	verdictRefuse
	// verdictWait is for a connection that must wait until others are closed.
	verdictWait
)

// admission decides which connections and requests a server holds at the same time. It is safe
// for concurrent use.
type admission struct {
	connections *memory.Budget
	requests    *memory.Budget
	// slots and refusing count connections instead of bytes.
	slots    *memory.Budget
	refusing *memory.Budget
}

func newAdmission(deps Deps) *admission {
	slots := orUnlimited(nil)
	if deps.MaxConnections > 0 {
		slots = memory.NewBudget(int64(deps.MaxConnections))
	}
	return &admission{
		connections: orUnlimited(deps.Connections),
		requests:    orUnlimited(deps.Requests),
		slots:       slots,
		refusing:    memory.NewBudget(maxRefusing),
	}
}

// admitConn decides on a new connection. It calls makeRoom if the limits are reached, which may
// end other connections.
func (a *admission) admitConn(makeRoom func()) verdict {
	if a.takeConn() {
		return verdictServe
	}
	makeRoom()
	switch {
	case a.takeConn():
		return verdictServe
	case a.refusing.Take(1):
		return verdictRefuse
	}
	return verdictWait
}

func (a *admission) takeConn() bool {
	if !a.slots.Take(1) {
		return false
	}
	if !a.connections.Take(connectionBytes) {
		a.slots.Return(1)
		return false
	}
	return true
}

// endConn ends a connection that was served.
func (a *admission) endConn() {
	a.slots.Return(1)
	a.connections.Return(connectionBytes)
}

// endRefusal ends a connection on which a request was refused.
func (a *admission) endRefusal() { a.refusing.Return(1) }

func orUnlimited(b *memory.Budget) *memory.Budget {
	if b == nil {
		return memory.NewBudget(math.MaxInt64)
	}
	return b
}

// admitRequest admits a request with a charge. It returns the number of bytes to pass to
// endRequest, or 0 if the request must be refused.
func (a *admission) admitRequest(charge int64) int64 {
	if !a.requests.Take(charge) {
		return 0
	}
	return charge
}

// requestCharge returns the memory that a request with a header occupies besides its body.
func requestCharge(header []byte) int64 {
	fields := bytes.Count(header, []byte("\n"))
	copied := len(header) + fieldBytes*max(0, fields-usualFields)
	return int64(requestBytes + headerCopies*copied)
}

// endRequest ends a request.
func (a *admission) endRequest(charge int64) { a.requests.Return(charge) }
