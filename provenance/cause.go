package provenance

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/receipt"
)

// Cause tells in one sentence why the request ended as it did.
func (l Timeline) Cause() string {
	switch {
	case !l.Known():
		return l.unknown()
	case l.end == nil:
		return l.unended()
	}
	switch l.end.Outcome {
	case event.Answered:
		return l.answered()
	case event.NotRun:
		return l.notRun()
	case event.Unknown:
		return l.lost()
	case event.Cut:
		return l.cut()
	case event.NoRoute:
		return fmt.Sprintf("No route of the configuration in force matches it; it was answered with %d.", http.StatusNotFound)
	case event.Rejected:
		return fmt.Sprintf("It was malformed, or larger or slower than allowed, and was answered with %d.", l.end.Status)
	}
	return fmt.Sprintf("It ended as %q, which this version doesn't know.", l.end.Outcome)
}

// unknown is the cause of a request without a line.
func (l Timeline) unknown() string {
	text := "No line names it: it reached no instance, or the instance ended or stood still before it was read"
	if left := l.leftOut(); left > 0 {
		return fmt.Sprintf("%s; %d lines were left out of the logs, which tell of requests that went well first.", text, left)
	}
	return text + "."
}

// leftOut counts the lines that instances left out.
func (l Timeline) leftOut() int64 {
	var n int64
	for _, line := range l.around {
		if line.Event == event.LinesDropped {
			n += line.Routine + line.Kept
		}
	}
	return n
}

// unended is the cause of a request whose end no line tells.
func (l Timeline) unended() string {
	began, ended := l.span()
	doing := "before it was sent to a server"
	if at, ok := l.last(event.Placed, event.Call, event.CallFailed, event.Attempt); ok {
		doing = "while " + work(at)
	}
	if line, ok := l.near(event.Start, began, ended.Add(after)); ok {
		return fmt.Sprintf("Instance %s ended %s: it started again at %s.", l.instance(), doing, clock(line.At))
	}
	return fmt.Sprintf("The logs end %s: instance %s ended or stood still, or lines are missing.", doing, l.instance())
}

// work tells what a line reports of the request's servers.
func work(line Line) string {
	if line.Decode != "" {
		return fmt.Sprintf("prefill engine %s and decode engine %s worked for it", line.Prefill, line.Decode)
	}
	return fmt.Sprintf("server %s worked for it", line.Server)
}

// answered is the cause of an answer, which may be late or a failure.
func (l Timeline) answered() string {
	by := "a server"
	if n := len(l.end.Servers); n > 0 {
		by = "server " + l.end.Servers[n-1]
	}
	if l.end.Status >= http.StatusInternalServerError {
		return fmt.Sprintf("It ran, and %s answered with its own failure %d%s.", by, l.end.Status, l.tries())
	}
	took, what := l.end.TookMS, "whole"
	if l.end.FirstMS > 0 {
		took, what = l.end.FirstMS, "from its first event on"
	}
	if l.end.ObjectiveMS == 0 || took <= l.end.ObjectiveMS {
		return fmt.Sprintf("It was answered by %s after %d ms, %s.", by, took, what)
	}
	return fmt.Sprintf("It was answered by %s, but late: after %d ms with an objective of %d ms%s.", by, took, l.end.ObjectiveMS, l.delay())
}

// delay tells what made an answer late.
func (l Timeline) delay() string {
	if line, ok := l.last(event.Placed); ok && line.Try <= 1 && 2*line.WaitedMS > l.end.FirstMS {
		return fmt.Sprintf("; it waited %d ms for an engine with room", line.WaitedMS)
	}
	return l.tries()
}

// tries tells of the failed tries before the end.
func (l Timeline) tries() string {
	var failed []string
	for _, line := range l.Own {
		switch {
		case line.Event == event.CallFailed && line.Error != "":
			failed = append(failed, fmt.Sprintf("try %d at %s: %s", line.Try, line.Server, line.Error))
		case line.Event == event.CallFailed:
			failed = append(failed, fmt.Sprintf("try %d at %s: status %d", line.Try, line.Server, line.Status))
		case line.Event == event.Attempt && line.Error != "":
			failed = append(failed, fmt.Sprintf("try %d at %s: %s", line.Try, line.Decode, line.Error))
		}
	}
	if line, ok := l.last(event.RetryRefused); ok {
		failed = append(failed, fmt.Sprintf("a further %s was over the shared budget", retryKind(line)))
	}
	if len(failed) == 0 {
		return ""
	}
	return " (" + strings.Join(failed, "; ") + ")"
}

func retryKind(line Line) string {
	if strings.Contains(line.Raw, `"kind":"hedge"`) {
		return "hedge"
	}
	return "retry"
}

// notRun is the cause of a refusal.
func (l Timeline) notRun() string {
	end := l.end
	switch end.Code {
	case receipt.CodeOverloaded:
		return l.overloaded()
	case receipt.CodeShuttingDown:
		return l.shuttingDown()
	case receipt.CodeNotReady:
		return l.notReady()
	case receipt.CodeNoServer:
		return fmt.Sprintf("It was refused and not run: no server of service %s was known that takes new work.", end.Service)
	case receipt.CodeCancelled:
		return fmt.Sprintf("Its caller left after %d ms, before it ran%s%s.", end.TookMS, l.waiting(), l.stood())
	case receipt.CodeDeadline:
		return fmt.Sprintf("Its time ended after %d ms, before it ran%s%s.", end.TookMS, l.waiting(), l.stood())
	}
	return fmt.Sprintf("It was refused at step %s as %s and not run%s%s.", end.Step, end.Code, because(end), l.tries())
}

// waiting tells what a request did that ended before it ran.
func (l Timeline) waiting() string {
	if at, ok := l.last(event.Placed, event.Call); ok {
		return ", while " + work(at)
	}
	return ", while it waited for a server with room"
}

// stood tells of a stop of the whole process during the request.
func (l Timeline) stood() string {
	began, ended := l.span()
	if jump, ok := l.near(event.ClockJumped, began, ended.Add(time.Second)); ok && jump.ByMS > 0 {
		return fmt.Sprintf("; instance %s stood still for %d ms meanwhile, or its clock was set", l.instance(), jump.ByMS)
	}
	return ""
}

func because(line *Line) string {
	if line.Error == "" {
		return ""
	}
	return ": " + line.Error
}

func (l Timeline) overloaded() string {
	end := l.end
	text := fmt.Sprintf("It was refused and not run: no engine of service %s had room for it within %d ms", end.Service, end.TookMS)
	if end.StartsPerS > 0 {
		text += fmt.Sprintf("; %d requests waited in time and %d late, at %.1f starts a second", end.Waiting, end.Late, end.StartsPerS)
	}
	return text + l.tries() + "."
}

func (l Timeline) shuttingDown() string {
	_, ended := l.span()
	text := "It was refused and not run: instance " + l.instance() + " was stopping"
	if stop, ok := l.near(event.Stop, ended.Add(-time.Minute), ended); ok {
		text += fmt.Sprintf(" since %s and the request would not have ended in time", clock(stop.At))
	}
	return text + "."
}

func (l Timeline) notReady() string {
	_, ended := l.span()
	text := "It was refused and not run: instance " + l.instance() + " had no configuration or no list of servers yet"
	if start, ok := l.near(event.Start, ended.Add(-time.Minute), ended); ok {
		text += fmt.Sprintf("; it had started %d ms before", ended.Sub(start.At).Milliseconds())
	}
	if lost, ok := l.near(event.DependencyLost, ended.Add(-time.Minute), ended); ok {
		text += fmt.Sprintf(" and couldn't reach %s", lost.Dependency)
	}
	return text + "."
}

// lost is the cause of a request that may have run.
func (l Timeline) lost() string {
	end := l.end
	where := end.Peer
	if where == "" && len(end.Servers) > 0 {
		where = end.Servers[len(end.Servers)-1]
	}
	switch end.Code {
	case receipt.CodeDeadline:
		return fmt.Sprintf("Server %s had it and gave no answer until its time ended after %d ms%s%s.", where, end.TookMS, l.tries(), l.stood())
	case receipt.CodeCancelled:
		return fmt.Sprintf("Its caller left after %d ms, while server %s worked for it%s%s.", end.TookMS, where, l.tries(), l.stood())
	case receipt.CodeOverloaded:
		return fmt.Sprintf("It may have run at a server that failed, and no other had room for it%s.", l.tries())
	}
	return fmt.Sprintf("Server %s had it, and its answer was lost%s; it was not repeated, since it may have run.", where, because(end))
}

// cut is the cause of a stream that broke off.
func (l Timeline) cut() string {
	end := l.end
	text := fmt.Sprintf("Its stream broke off after %d events: ", end.Events)
	switch end.Code {
	case receipt.CodeCancelled:
		return text + fmt.Sprintf("its caller left after %d ms%s%s.", end.TookMS, l.tries(), l.stood())
	case receipt.CodeDeadline:
		return text + fmt.Sprintf("its time ended after %d ms%s.", end.TookMS, l.tries())
	case receipt.CodeOverloaded:
		return text + "no other engine had room to go on with it" + l.tries() + "."
	}
	return text + fmt.Sprintf("engine %s failed%s.", end.Peer, because(end))
}

// clock shows a time of day.
func clock(t time.Time) string { return t.Format("15:04:05.000") }
