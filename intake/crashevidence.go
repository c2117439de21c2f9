package intake

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of servers that must have crashed, and minCrashedRequests that of
	// different requests they had started, before the parts that these requests share are quarantined.
	// One request may crash two servers, and its own part may be the cause.
	minCrashes         = 3
	minCrashedRequests = 2
	// crashMemory is how long a crash counts as evidence. maxCrashes limits the crashes that are kept.
	crashMemory = 2 * time.Minute
	maxCrashes  = 512
	// quarantineTime is how long a set of parts stays quarantined. After it, a server may be tried again.
	quarantineTime = 10 * time.Minute
)

// Crash is the end of a backend server that had just started a request.
type Crash struct {
	// Request identifies what the request does not share with others. Server identifies one
	// incarnation of the server.
	Request string
	Server  string
	// Parts are the parts of the prompt that other requests may have, too.
	Parts []string
	// LearnedAt is when this instance learned of the crash, by its own clock.
	LearnedAt time.Time
}

// QuarantinedSet is a set of parts which prompts must not have together.
type QuarantinedSet struct {
	// Parts are sorted.
	Parts []string
	Until time.Time
}

// CrashEvidence decides from crashes which prompts crash servers. It answers the load of requests that
// share a part and end each server that starts one of them.
//
// The parts that all crashed requests with a part have in common are quarantined together, so that a
// harmless part does not block requests that lack the other ones. A part of a request that a server has
// served past its start is dropped from the evidence so far. CrashEvidence is an immutable value.
type CrashEvidence struct {
	crashes []Crash
	sets    []QuarantinedSet
}

// WithCrash returns the evidence with one more crash. A repeated report has no effect.
func (e CrashEvidence) WithCrash(c Crash) CrashEvidence {
	for _, known := range e.crashes {
		if known.Request == c.Request && known.Server == c.Server {
			return e
		}
	}
	kept := make([]Crash, 0, len(e.crashes)+1)
	for _, known := range e.crashes {
		if c.LearnedAt.Sub(known.LearnedAt) < crashMemory {
			kept = append(kept, known)
		}
	}
	kept = append(kept, c)
	e.crashes = kept[max(0, len(kept)-maxCrashes):]
	for _, part := range c.Parts {
		if common := e.commonParts(part); len(common) > 0 {
			e = e.WithQuarantine(common, c.LearnedAt)
		}
	}
	return e
}

// commonParts returns the parts that all crashed requests with a part share, or none if the crashes are
// too few.
func (e CrashEvidence) commonParts(part string) []string {
	var common []string
	servers := map[string]bool{}
	requests := map[string]bool{}
	for _, c := range e.crashes {
		if !slices.Contains(c.Parts, part) {
			continue
		}
		if len(servers) == 0 {
			common = slices.Clone(c.Parts)
		}
		common = slices.DeleteFunc(common, func(p string) bool { return !slices.Contains(c.Parts, p) })
		servers[c.Server] = true
		requests[c.Request] = true
	}
	if len(servers) < minCrashes || len(requests) < minCrashedRequests {
		return nil
	}
	return common
}

// WithQuarantine returns the evidence with a set of parts quarantined from now on. Sets that contain it
// are replaced.
func (e CrashEvidence) WithQuarantine(parts []string, now time.Time) CrashEvidence {
	parts = slices.Clone(parts)
	slices.Sort(parts)
	parts = slices.Compact(parts)
	if len(parts) == 0 {
		return e
	}
	sets := make([]QuarantinedSet, 0, len(e.sets)+1)
	for _, set := range e.sets {
		if !containsAll(set.Parts, parts) && set.Until.After(now) {
			sets = append(sets, set)
		}
	}
	sets = append(sets, QuarantinedSet{
		Parts: parts,
		Until: now.Add(quarantineTime),
	})
	e.sets = sets
	return e
}

// WithServed returns the evidence after a server has served a request with these parts past its start. It
// drops the parts from all crashes and sets.
func (e CrashEvidence) WithServed(parts []string) CrashEvidence {
	served := func(part string) bool { return slices.Contains(parts, part) }
	crashes := make([]Crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), served)
		crashes = append(crashes, c)
	}
	e.crashes = crashes
	sets := make([]QuarantinedSet, 0, len(e.sets))
	for _, set := range e.sets {
		set.Parts = slices.DeleteFunc(slices.Clone(set.Parts), served)
		if len(set.Parts) > 0 {
			sets = append(sets, set)
		}
	}
	e.sets = sets
	return e
}

// Mentions reports whether a part occurs in the evidence.
func (e CrashEvidence) Mentions(part string) bool {
	for _, set := range e.sets {
		if slices.Contains(set.Parts, part) {
			return true
		}
	}
	for _, c := range e.crashes {
		if slices.Contains(c.Parts, part) {
			return true
		}
	}
	return false
}

// Blocking returns the quarantined set that a prompt with these parts contains, or false if there is
// none.
func (e CrashEvidence) Blocking(parts []string, now time.Time) (QuarantinedSet, bool) {
	for _, set := range e.sets {
		if set.Until.After(now) && containsAll(parts, set.Parts) {
			return set, true
		}
	}
	return QuarantinedSet{}, false
}

// Sets returns the quarantined sets.
func (e CrashEvidence) Sets() []QuarantinedSet { return e.sets }

func containsAll(all, some []string) bool {
	for _, part := range some {
		if !slices.Contains(all, part) {
			return false
		}
	}
	return true
}
