package counter

import (
	"time"

	"github.com/balsamlock/balsamlock/plan"
)

// Exchange holds the state of one request that the filters collect. It is
// immutable: each filter passes a modified copy to the next one.
type Exchange struct {
	// ID identifies the request in logs and responses.
	ID         string
	ReceivedAt time.Time
	// Index is the routing document that was current when the request arrived. It is
	// nil if none was loaded yet.
	Index *plan.Index
	// Caller is nil until the caller is authenticated.
	Caller *plan.Grant
}

// WithIndex returns a copy of x with the routing document.
func (x Exchange) WithIndex(index *plan.Index) Exchange {
	x.Index = index
	return x
}

// WithCaller returns a copy of x with the caller.
func (x Exchange) WithCaller(caller *plan.Grant) Exchange {
	x.Caller = caller
	return x
}

// callerName returns the name of the caller, or an empty string if the caller is
// not authenticated.
func (x Exchange) callerName() string {
	if x.Caller == nil {
		return ""
	}
	return x.Caller.Name()
}
