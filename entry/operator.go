package entry

import (
	"expvar"
	"net/http"

	"github.com/balsamlock/balsamlock/operator"
)

// operatorHandler returns the handler for operators. It serves metrics, health, status
// and the drain command.
func (i *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /health", i.health)
	mux.Handle("/operator/", operator.NewHandler(operator.HandlerDeps{
		Key:    i.cfg.OperatorKey,
		Status: i.status,
		Drain:  func() { i.Stop(nil) },
	}))
	return mux
}

// health responds with status 200 while the instance takes new requests, otherwise with
// 503. It is the health check of the load balancer.
func (i *Instance) health(w http.ResponseWriter, _ *http.Request) {
	if i.state() != operator.StateServing {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (i *Instance) status() operator.Status {
	return operator.Status{
		InstanceID: i.id,
		Address:    i.cfg.PeerListen,
		DataCentre: i.cfg.DataCentre,
		State:      i.state(),
		Document:   operator.DocumentStatusOf(i.document),
	}
}

func (i *Instance) state() operator.State {
	switch {
	case i.isStopping():
		return operator.StateDraining
	case i.index() == nil:
		return operator.StateStarting
	default:
		return operator.StateServing
	}
}
