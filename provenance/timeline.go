package provenance

import (
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/common/event"
)

const (
	// contextBefore is the time before a request from which ContextLines returns lines. A new configuration or
	// server list takes effect within this time.
	contextBefore = 5 * time.Second
	// maxRestartTime is the longest time in which a process starts again after it ended.
	maxRestartTime = 15 * time.Second
)

// Timeline holds the log lines of one request.
type Timeline struct {
	ID string
	// Lines are the lines that carry the id of the request, ordered by time.
	Lines []Line
	// Unreadable is the number of lines that couldn't be decoded.
	Unreadable int

	// end is the line that reports the outcome of the request, or nil if it is missing.
	end *Line
	// otherLines are the lines that carry no request id, ordered by time.
	otherLines []Line
}

// Known reports whether any line is about the request.
func (t Timeline) Known() bool { return len(t.Lines) > 0 }

// instance returns the name of the instance that served the request, or an empty string if it is unknown.
func (t Timeline) instance() string {
	if !t.Known() {
		return ""
	}
	return t.Lines[len(t.Lines)-1].Instance
}

// span returns the start and end time of the request according to its lines. If the outcome is missing, the end is the
// time of the last line.
func (t Timeline) span() (began, ended time.Time) {
	if !t.Known() {
		return began, ended
	}
	began, ended = t.Lines[0].At, t.Lines[len(t.Lines)-1].At
	if t.end != nil {
		ended = t.end.At
		if at := ended.Add(-t.end.took()); at.Before(began) {
			began = at
		}
	}
	return began, ended
}

// ContextLines returns, ordered by time, the lines about no request that the instance wrote during the request or up to
// 5 seconds before it. Lines about servers that the request didn't use are excluded. If the outcome is missing, later
// lines that may report a restart of the instance are included.
func (t Timeline) ContextLines() []Line {
	began, ended := t.span()
	if t.end == nil {
		ended = ended.Add(maxRestartTime)
	}
	servers := t.servers()
	var lines []Line
	for _, line := range t.otherLines {
		if line.Instance != t.instance() || line.At.Before(began.Add(-contextBefore)) || line.At.After(ended) {
			continue
		}
		if line.Server != "" && !slices.Contains(servers, line.Server) {
			continue
		}
		lines = append(lines, line)
	}
	return lines
}

// servers returns the names of the servers in the lines of the request.
func (t Timeline) servers() []string {
	var names []string
	for _, line := range t.Lines {
		names = append(names, line.Servers...)
		for _, name := range []string{line.Server, line.Prefill, line.Decode, line.Peer} {
			if name != "" {
				names = append(names, name)
			}
		}
	}
	return names
}

// lastLine returns the last line of the request with one of the given events.
func (t Timeline) lastLine(names ...event.Name) (Line, bool) {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if slices.Contains(names, t.Lines[i].Event) {
			return t.Lines[i], true
		}
	}
	return Line{}, false
}

// lastOtherLine returns the last line that the instance wrote about an event between two times.
func (t Timeline) lastOtherLine(name event.Name, from, to time.Time) (Line, bool) {
	for i := len(t.otherLines) - 1; i >= 0; i-- {
		line := t.otherLines[i]
		if line.Event == name && line.Instance == t.instance() && !line.At.Before(from) && !line.At.After(to) {
			return line, true
		}
	}
	return Line{}, false
}
