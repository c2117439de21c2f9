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

func (a Artifact) loaded() string { return a.Name + "@" + a.Version }

// DesiredState is what the routing document wants of one engine.
type DesiredState struct {
	Role      kiln.Role
	Artifacts []Artifact
}

// DesiredStateOf returns what a document wants of a server; ok is false for servers
// that are not engines of a pool.
func DesiredStateOf(index *plan.Index, server *plan.Server) (wanted DesiredState, ok bool) {
	if server.Kind != plan.KindEngine {
		return DesiredState{}, false
	}
	pool, ok := index.Pool(server.Pool)
	if !ok {
		return DesiredState{}, false
	}
	target, ok := index.Model(pool.Model)
	if !ok {
		return DesiredState{}, false
	}
	wanted = DesiredState{Role: kiln.Role(pool.Role)}
	wanted.Artifacts = append(wanted.Artifacts, Artifact{
		Name:    target.Model.Name,
		Version: target.Model.Version,
	})
	for _, adapter := range target.Model.Adapters {
		wanted.Artifacts = append(wanted.Artifacts, Artifact{
			Name:    adapter.Name,
			Version: adapter.Version,
			Adapter: true,
		})
	}
	return wanted, true
}

// NextOrder returns the first order that brings an engine nearer to what is
// wanted: loads, then unloads, then the role.
func NextOrder(wanted DesiredState, actual kiln.EngineState) (order kiln.OrderRequest, ok bool) {
	for _, artifact := range wanted.Artifacts {
		if slices.Contains(actual.Models, artifact.loaded()) {
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
		if !wanted.names(name) {
			return kiln.OrderRequest{
				Kind:  kiln.OrderUnload,
				Model: name,
			}, true
		}
	}
	if wanted.Role != actual.Role {
		return kiln.OrderRequest{
			Kind: kiln.OrderChangeRole,
			Role: wanted.Role,
		}, true
	}
	return kiln.OrderRequest{}, false
}

func (w DesiredState) names(name string) bool {
	return slices.ContainsFunc(w.Artifacts, func(a Artifact) bool { return a.Name == name })
}
