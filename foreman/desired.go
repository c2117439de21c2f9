package foreman

import (
	"slices"
	"strings"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
)

// Artifact is a model or an adapter with its version.
type Artifact struct {
	Name    string
	Version string
	Adapter bool
}

func (a Artifact) nameAndVersion() string { return a.Name + "@" + a.Version }

// DesiredState is the state of an engine that the routing document defines.
type DesiredState struct {
	Role      kiln.Role
	Artifacts []Artifact
}

// DesiredStateOf returns the desired state of a server. ok is false if the server is not an
// engine of a pool with a model.
func DesiredStateOf(index *plan.Index, server *plan.Server) (desired DesiredState, ok bool) {
	if server.Kind != plan.KindEngine {
		return DesiredState{}, false
	}
	pool, ok := index.Pool(server.Pool)
	if !ok {
		return DesiredState{}, false
	}
	model, ok := index.Model(pool.Model)
	if !ok {
		return DesiredState{}, false
	}
	desired = DesiredState{Role: kiln.Role(pool.Role)}
	desired.Artifacts = append(desired.Artifacts, Artifact{
		Name:    model.Model.Name,
		Version: model.Model.Version,
	})
	for _, adapter := range model.Model.Adapters {
		desired.Artifacts = append(desired.Artifacts, Artifact{
			Name:    adapter.Name,
			Version: adapter.Version,
			Adapter: true,
		})
	}
	return desired, true
}

// NextOrder returns the next order on the way to the desired state: loads first, then
// unloads, then the change of role. ok is false if the engine is in the desired state.
func NextOrder(desired DesiredState, actual kiln.EngineState) (order kiln.OrderRequest, ok bool) {
	for _, artifact := range desired.Artifacts {
		if slices.Contains(actual.Models, artifact.nameAndVersion()) {
			continue
		}
		kind := kiln.OrderLoadModel
		if artifact.Adapter {
			kind = kiln.OrderLoadAdapter
		}
		return kiln.OrderRequest{
			Kind:    kind,
			Model:   artifact.Name,
			Version: artifact.Version,
		}, true
	}
	for _, loaded := range actual.Models {
		name, _, _ := strings.Cut(loaded, "@")
		if !desired.includes(name) {
			return kiln.OrderRequest{
				Kind:  kiln.OrderUnload,
				Model: name,
			}, true
		}
	}
	if desired.Role != actual.Role {
		return kiln.OrderRequest{
			Kind: kiln.OrderChangeRole,
			Role: desired.Role,
		}, true
	}
	return kiln.OrderRequest{}, false
}

func (s DesiredState) includes(name string) bool {
	return slices.ContainsFunc(s.Artifacts, func(a Artifact) bool { return a.Name == name })
}
