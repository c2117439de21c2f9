package provenance

import (
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/common/event"
)

const (
	// before is how far back lines about an instance's surroundings are told of a
	// request: configurations and lists of servers are in force within it.
	before = 5 * time.Second
	// after is how long a process that ended takes to start again, at most.
	after = 15 * time.Second
)

// Timeline is what is known of one request.
type Timeline struct {
	ID string
	// Own are the lines about the request itself, in order.
	Own []Line
	// Torn is the number of lines that couldn't be read.
	Torn int

	// end is the line that tells how the request ended, nil if there is none.
	end *Line
	// around are the lines about no request.
	around []Line
}

// Known tells whether any line is about the request.
func (l Timeline) Known() bool { return len(l.Own) > 0 }

// instance returns the instance that served the request.
func (l Timeline) instance() string {
	if !l.Known() {
		return ""
	}
	return l.Own[len(l.Own)-1].Instance
}

// span returns when the request began and ended, as far as lines tell.
func (l Timeline) span() (began, ended time.Time) {
	if !l.Known() {
		return began, ended
	}
	began, ended = l.Own[0].At, l.Own[len(l.Own)-1].At
	if l.end != nil {
		ended = l.end.At
		if at := ended.Add(-l.end.took()); at.Before(began) {
			began = at
		}
	}
	return began, ended
}

// Around returns the lines about the instance and the request's servers that fall
// into the request's time or shortly before it, in order.
func (l Timeline) Around() []Line {
	began, ended := l.span()
	if l.end == nil {
		ended = ended.Add(after)
	}
	servers := l.servers()
	var lines []Line
	for _, line := range l.around {
		if line.Instance != l.instance() || line.At.Before(began.Add(-before)) || line.At.After(ended) {
			continue
		}
		if line.Server != "" && !slices.Contains(servers, line.Server) {
			continue
		}
		lines = append(lines, line)
	}
	return lines
}

// servers returns the servers that lines about the request name.
func (l Timeline) servers() []string {
	var names []string
	for _, line := range l.Own {
		names = append(names, line.Servers...)
		for _, name := range []string{line.Server, line.Prefill, line.Decode, line.Peer} {
			if name != "" {
				names = append(names, name)
			}
		}
	}
	return names
}

// last returns the last line about the request that reports one of the events.
func (l Timeline) last(names ...event.Name) (Line, bool) {
	for i := len(l.Own) - 1; i >= 0; i-- {
		if slices.Contains(names, l.Own[i].Event) {
			return l.Own[i], true
		}
	}
	return Line{}, false
}

// near returns the last line about the instance that reports an event between two
// times.
func (l Timeline) near(name event.Name, from, to time.Time) (Line, bool) {
	for i := len(l.around) - 1; i >= 0; i-- {
		line := l.around[i]
		if line.Event == name && line.Instance == l.instance() && !line.At.Before(from) && !line.At.After(to) {
			return line, true
		}
	}
	return Line{}, false
}
