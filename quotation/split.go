package quotation

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/kiln"
)

// SplitConfig holds the settings that control how engines are divided between
// prefill and decode.
type SplitConfig struct {
	// A pool is overloaded if its queue time is at least OverloadedMS, and can spare
	// an engine if its queue time is at most IdleMS, in milliseconds.
	OverloadedMS int `json:"pressed_ms"`
	IdleMS       int `json:"idle_ms"`
	// HoldMS is how long one pool must be overloaded and the other idle before an
	// engine changes role. CooldownMS is the minimum time between two changes. Both
	// are in milliseconds.
	HoldMS     int `json:"hold_ms"`
	CooldownMS int `json:"rest_ms"`
}

// DefaultSplitConfig returns the default settings.
func DefaultSplitConfig() SplitConfig {
	return SplitConfig{
		OverloadedMS: 150,
		IdleMS:       30,
		HoldMS:       30_000,
		CooldownMS:   120_000,
	}
}

// Check reports invalid values to p.
func (c SplitConfig) Check(p *settings.Problems) {
	p.Positive("pressed_ms", c.OverloadedMS)
	p.Add(c.IdleMS >= 0 && c.IdleMS < c.OverloadedMS, "idle_ms", c.IdleMS, "a whole number from 0 and less than pressed_ms")
	p.Positive("hold_ms", c.HoldMS)
	p.Positive("rest_ms", c.CooldownMS)
}

// SplitLoad is the load of the engines of one model in one data centre.
type SplitLoad struct {
	// PrefillQueue and DecodeQueue are the recent mean queue times for prefill and
	// for decode.
	PrefillQueue time.Duration
	DecodeQueue  time.Duration
	// MinPrefill and MinDecode are the minimum numbers of engines in each role.
	MinPrefill int
	MinDecode  int
	Engines    []SplitEngine
}

// SplitEngine is an engine that may change role.
type SplitEngine struct {
	Name string
	Role kiln.Role
	// Load is the work on the engine: slots in use, or prompt tokens queued.
	Load int
}

// SplitState is carried from one decision to the next. The zero value is the
// initial state.
type SplitState struct {
	// Overloaded is the role that needs an engine while the other can spare one;
	// empty if there is none. Since is when this state began.
	Overloaded kiln.Role
	Since      time.Time
	// ChangedAt is when an engine last changed role.
	ChangedAt time.Time
}

// SplitDecision is the result of Split, a sealed interface: KeepRoles or
// ChangeRole.
type SplitDecision interface{ isSplit() }

// KeepRoles leaves every engine in its role.
type KeepRoles struct{}

// ChangeRole gives one engine another role.
type ChangeRole struct {
	Name string
	Role kiln.Role
}

func (KeepRoles) isSplit()  {}
func (ChangeRole) isSplit() {}

var (
	_ SplitDecision = KeepRoles{}
	_ SplitDecision = ChangeRole{}
)

// Split decides whether an engine changes role. Hysteresis keeps short bursts from
// causing changes: one pool must be overloaded and the other idle for HoldMS, and
// CooldownMS must have passed since the last change.
func Split(cfg SplitConfig, state SplitState, load SplitLoad, now time.Time) (SplitState, SplitDecision) {
	overloaded := overloadedRole(cfg, load)
	if overloaded != state.Overloaded {
		state.Overloaded = overloaded
		state.Since = now
	}
	held := now.Sub(state.Since) >= time.Duration(cfg.HoldMS)*time.Millisecond
	cooledDown := state.ChangedAt.IsZero() || now.Sub(state.ChangedAt) >= time.Duration(cfg.CooldownMS)*time.Millisecond
	if overloaded == "" || !held || !cooledDown {
		return state, KeepRoles{}
	}
	name, ok := spareEngine(load, overloaded)
	if !ok {
		return state, KeepRoles{}
	}
	return SplitState{ChangedAt: now}, ChangeRole{
		Name: name,
		Role: overloaded,
	}
}

func overloadedRole(cfg SplitConfig, load SplitLoad) kiln.Role {
	overloaded := time.Duration(cfg.OverloadedMS) * time.Millisecond
	idle := time.Duration(cfg.IdleMS) * time.Millisecond
	switch {
	case load.PrefillQueue >= overloaded && load.DecodeQueue <= idle:
		return kiln.RolePrefill
	case load.DecodeQueue >= overloaded && load.PrefillQueue <= idle:
		return kiln.RoleDecode
	default:
		return ""
	}
}

// spareEngine returns the least loaded engine of the other role, if that role has
// more than its minimum of engines.
func spareEngine(load SplitLoad, overloaded kiln.Role) (string, bool) {
	role, minimum := kiln.RoleDecode, load.MinDecode
	if overloaded == kiln.RoleDecode {
		role, minimum = kiln.RolePrefill, load.MinPrefill
	}
	engines := slices.DeleteFunc(slices.Clone(load.Engines), func(e SplitEngine) bool { return e.Role != role })
	if len(engines) <= max(minimum, 1) {
		return "", false
	}
	spare := slices.MinFunc(engines, func(a, b SplitEngine) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Name, b.Name))
	})
	return spare.Name, true
}
