package provenance

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/receipt"
)

// Cause explains in one sentence why the request ended as it did. Operators read the sentence.
func (t Timeline) Cause() string {
	switch {
	case !t.Known():
		return t.causeOfUnlogged()
	case t.end == nil:
		return t.causeOfUnfinished()
	}
	cause := t.causeOfOutcome()
	if line, ok := t.lastLine(event.Undelivered); ok && t.end.Outcome != event.Cut {
		cause += fmt.Sprintf(" Its caller didn't get the whole response: %s.", line.Error)
	}
	return cause
}

func (t Timeline) causeOfOutcome() string {
	switch t.end.Outcome {
	case event.Answered:
		return t.causeOfAnswered()
	case event.NotRun:
		return t.causeOfNotRun()
	case event.Unknown:
		return t.causeOfUnknownOutcome()
	case event.Cut:
		return t.causeOfCut()
	case event.NoRoute:
		return fmt.Sprintf("No route of the configuration in force matches it; it was answered with %d.", http.StatusNotFound)
	case event.Unauthorized:
		return t.causeOfUnauthorized()
	case event.Rejected:
		return fmt.Sprintf("It was malformed, or larger or slower than allowed, and was answered with %d.", t.end.Status)
	}
	return fmt.Sprintf("It ended as %q, which this version doesn't know.", t.end.Outcome)
}

// causeOfUnauthorized explains a request without a valid key.
func (t Timeline) causeOfUnauthorized() string {
	fault := "its key belongs to no team"
	switch t.end.KeyFault {
	case "missing":
		fault = "it has no key"
	case "repeated":
		fault = "it has more than one key"
	}
	return fmt.Sprintf("It was refused and not run: %s in configuration %d, and route %s is not public; it was answered with %d.",
		fault, t.end.Configuration, t.end.Route, http.StatusUnauthorized)
}

// causeOfUnlogged returns the cause for a request without log lines.
func (t Timeline) causeOfUnlogged() string {
	text := "No line names it: it reached no instance, or the instance ended or stood still before it was read"
	if dropped := t.droppedLines(); dropped > 0 {
		return fmt.Sprintf("%s; %d lines were left out of the logs, which tell of requests that went well first.", text, dropped)
	}
	return text + "."
}

// droppedLines returns the number of lines that instances dropped from their logs.
func (t Timeline) droppedLines() int64 {
	var n int64
	for _, line := range t.otherLines {
		if line.Event == event.LinesDropped {
			n += line.Routine + line.Kept
		}
	}
	return n
}

// causeOfUnfinished returns the cause for a request whose final line is missing.
func (t Timeline) causeOfUnfinished() string {
	began, ended := t.span()
	phase := "before it was sent to a server"
	if last, ok := t.lastLine(event.Placed, event.Call, event.CallFailed, event.Attempt); ok {
		phase = "while " + activity(last)
	}
	if line, ok := t.lastOtherLine(event.Start, began, ended.Add(maxRestartTime)); ok {
		return fmt.Sprintf("Instance %s ended %s: it started again at %s.", t.instance(), phase, timeOfDay(line.At))
	}
	return fmt.Sprintf("The logs end %s: instance %s ended or stood still, or lines are missing.", phase, t.instance())
}

// activity returns the clause that names the servers that were processing the request when line was written.
func activity(line Line) string {
	if line.Decode != "" {
		return fmt.Sprintf("prefill engine %s and decode engine %s worked for it", line.Prefill, line.Decode)
	}
	return fmt.Sprintf("server %s worked for it", line.Server)
}

// causeOfAnswered returns the cause for a request that got a complete response, which may be late or an error.
func (t Timeline) causeOfAnswered() string {
	responder := "a server"
	if n := len(t.end.Servers); n > 0 {
		responder = "server " + t.end.Servers[n-1]
	}
	if t.end.Status >= http.StatusInternalServerError {
		return fmt.Sprintf("It ran, and %s answered with its own failure %d%s.", responder, t.end.Status, t.failedTries())
	}
	latencyMS, extent := t.end.TookMS, "whole"
	if t.end.FirstMS > 0 {
		latencyMS, extent = t.end.FirstMS, "from its first event on"
	}
	if t.end.ObjectiveMS == 0 || latencyMS <= t.end.ObjectiveMS {
		return fmt.Sprintf("It was answered by %s after %d ms, %s.", responder, latencyMS, extent)
	}
	return fmt.Sprintf("It was answered by %s, but late: after %d ms with an objective of %d ms%s.", responder, latencyMS, t.end.ObjectiveMS, t.lateReason())
}

// lateReason returns the clause that explains a late response: the wait for an engine if there was only one try and the
// wait took more than half of the time to the first event, otherwise the failed tries.
func (t Timeline) lateReason() string {
	if line, ok := t.lastLine(event.Placed); ok && line.Try <= 1 && 2*line.WaitedMS > t.end.FirstMS {
		return fmt.Sprintf("; it waited %d ms for an engine with room", line.WaitedMS)
	}
	return t.failedTries()
}

// failedTries returns the list of failed tries in parentheses, or an empty string if there are none.
func (t Timeline) failedTries() string {
	var failed []string
	for _, line := range t.Lines {
		switch {
		case line.Event == event.CallFailed && line.Error != "":
			failed = append(failed, fmt.Sprintf("try %d at %s: %s", line.Try, line.Server, line.Error))
		case line.Event == event.CallFailed:
			failed = append(failed, fmt.Sprintf("try %d at %s: status %d", line.Try, line.Server, line.Status))
		case line.Event == event.Attempt && line.Error != "":
			failed = append(failed, fmt.Sprintf("try %d at %s: %s", line.Try, line.Decode, line.Error))
		}
	}
	if line, ok := t.lastLine(event.RetryRefused); ok {
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

// causeOfNotRun returns the cause for a request that was not run.
func (t Timeline) causeOfNotRun() string {
	end := t.end
	switch end.Code {
	case receipt.CodeOverloaded:
		return t.causeOfOverload()
	case receipt.CodeLimited:
		return t.causeOfLimit()
	case receipt.CodeShuttingDown:
		return t.causeOfShutdown()
	case receipt.CodeNotReady:
		return t.causeOfNotReady()
	case receipt.CodeStaleKeys:
		return t.causeOfStaleKeys()
	case receipt.CodeNoServer:
		return fmt.Sprintf("It was refused and not run: no server of service %s was known that takes new work.", end.Service)
	case receipt.CodeCancelled:
		return fmt.Sprintf("Its caller left after %d ms, before it ran%s%s.", end.TookMS, t.lastActivity(), t.suspension())
	case receipt.CodeDeadline:
		return fmt.Sprintf("Its time ended after %d ms, before it ran%s%s.", end.TookMS, t.lastActivity(), t.suspension())
	}
	return fmt.Sprintf("It was refused at step %s as %s and not run%s%s.", end.Step, end.Code, errorSuffix(end), t.failedTries())
}

// lastActivity returns the clause that names the servers that were processing the request when it ended, or that says
// that it was waiting for a server.
func (t Timeline) lastActivity() string {
	if last, ok := t.lastLine(event.Placed, event.Call); ok {
		return ", while " + activity(last)
	}
	return ", while it waited for a server with room"
}

// suspension returns the clause that reports that the instance was suspended, or its clock set, during the request.
func (t Timeline) suspension() string {
	began, ended := t.span()
	if line, ok := t.lastOtherLine(event.ClockJumped, began, ended.Add(time.Second)); ok && line.ByMS > 0 {
		return fmt.Sprintf("; instance %s stood still for %d ms meanwhile, or its clock was set", t.instance(), line.ByMS)
	}
	return ""
}

func errorSuffix(line *Line) string {
	if line.Error == "" {
		return ""
	}
	return ": " + line.Error
}

// causeOfLimit returns the cause for a request that its team's limit refused.
func (t Timeline) causeOfLimit() string {
	end := t.end
	text := fmt.Sprintf("It was refused and not run: team %s was over its limit; instance %s held %.0f of it, and ", end.Team, t.instance(), end.Held)
	if end.AnswerAgeMS < 0 {
		text += "no distributor had answered it yet"
	} else {
		text += fmt.Sprintf("its distributor had last answered %d ms before", end.AnswerAgeMS)
	}
	return text + fmt.Sprintf("; it was answered with %d and asked to come back after %d ms.", http.StatusTooManyRequests, end.RetryAfterMS)
}

func (t Timeline) causeOfOverload() string {
	end := t.end
	if end.Refusal != "" {
		return fmt.Sprintf("It was refused and not run: service %s had no room for it in time%s.", end.Service, errorSuffix(end))
	}
	text := fmt.Sprintf("It was refused and not run: no engine of service %s had room for it within %d ms", end.Service, end.TookMS)
	if end.StartsPerS > 0 {
		text += fmt.Sprintf("; %d requests waited in time and %d late, at %.1f starts a second", end.Waiting, end.Late, end.StartsPerS)
	}
	return text + t.failedTries() + "."
}

func (t Timeline) causeOfShutdown() string {
	_, ended := t.span()
	text := "It was refused and not run: instance " + t.instance() + " was stopping"
	if stop, ok := t.lastOtherLine(event.Stop, ended.Add(-time.Minute), ended); ok {
		text += fmt.Sprintf(" since %s and the request would not have ended in time", timeOfDay(stop.At))
	}
	return text + "."
}

func (t Timeline) causeOfNotReady() string {
	_, ended := t.span()
	text := "It was refused and not run: instance " + t.instance() + " had no configuration or no list of servers yet"
	if start, ok := t.lastOtherLine(event.Start, ended.Add(-time.Minute), ended); ok {
		text += fmt.Sprintf("; it had started %d ms before", ended.Sub(start.At).Milliseconds())
	}
	if lost, ok := t.lastOtherLine(event.DependencyLost, ended.Add(-time.Minute), ended); ok {
		text += fmt.Sprintf(" and couldn't reach %s", lost.Dependency)
	}
	return text + "."
}

func (t Timeline) causeOfStaleKeys() string {
	began, ended := t.span()
	text := fmt.Sprintf("It was refused and not run: instance %s did not know whether keys were revoked meanwhile%s", t.instance(), errorSuffix(t.end))
	if lost, ok := t.lastOtherLine(event.DependencyLost, ended.Add(-time.Minute), ended); ok {
		text += fmt.Sprintf("; it couldn't reach %s", lost.Dependency)
	}
	if refused, ok := t.lastOtherLine(event.ConfigurationRefused, ended.Add(-time.Hour), ended); ok {
		text += fmt.Sprintf("; it couldn't read the configuration of %s", timeOfDay(refused.At))
	}
	return text + t.suspensionBefore(began) + "."
}

// suspensionBefore returns the clause that reports that the instance was suspended, or its clock set, shortly
// before a time.
func (t Timeline) suspensionBefore(at time.Time) string {
	if line, ok := t.lastOtherLine(event.ClockJumped, at.Add(-time.Minute), at); ok && line.ByMS > 0 {
		return fmt.Sprintf("; it stood still for %d ms before, or its clock was set", line.ByMS)
	}
	return ""
}

// causeOfUnknownOutcome returns the cause for a request that may have run.
func (t Timeline) causeOfUnknownOutcome() string {
	end := t.end
	server := end.Peer
	if server == "" && len(end.Servers) > 0 {
		server = end.Servers[len(end.Servers)-1]
	}
	switch end.Code {
	case receipt.CodeDeadline:
		return fmt.Sprintf("Server %s had it and gave no answer until its time ended after %d ms%s%s.", server, end.TookMS, t.failedTries(), t.suspension())
	case receipt.CodeCancelled:
		return fmt.Sprintf("Its caller left after %d ms, while server %s worked for it%s%s.", end.TookMS, server, t.failedTries(), t.suspension())
	case receipt.CodeOverloaded:
		return fmt.Sprintf("It may have run at a server that failed, and no other had room for it%s.", t.failedTries())
	}
	return fmt.Sprintf("Server %s had it, and its answer was lost%s; it was not repeated, since it may have run.", server, errorSuffix(end))
}

// causeOfCut returns the cause for a stream that ended before it was complete.
func (t Timeline) causeOfCut() string {
	end := t.end
	text := fmt.Sprintf("Its stream broke off after %d events: ", end.Events)
	switch end.Code {
	case receipt.CodeCancelled:
		return text + fmt.Sprintf("its caller left after %d ms%s%s.", end.TookMS, t.failedTries(), t.suspension())
	case receipt.CodeDeadline:
		return text + fmt.Sprintf("its time ended after %d ms%s.", end.TookMS, t.failedTries())
	case receipt.CodeOverloaded:
		return text + "no other engine had room to go on with it" + t.failedTries() + "."
	}
	return text + fmt.Sprintf("engine %s failed%s.", end.Peer, errorSuffix(end))
}

func timeOfDay(t time.Time) string { return t.Format("15:04:05.000") }
