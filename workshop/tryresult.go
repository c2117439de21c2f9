package workshop

import (
	"context"
	"errors"
	"net/http"

	"github.com/balsamlock/balsamlock/common/memory"
	"github.com/balsamlock/balsamlock/receipt"
)

// tryResult is the result of one try.
type tryResult struct {
	server string
	answer Answer
	err    error
}

func (r tryResult) outcome() receipt.Answered {
	return receipt.Answered{
		Status:      r.answer.Status,
		ContentType: r.answer.Header.Get("Content-Type"),
		Header:      r.answer.Header,
		Body:        r.answer.Body,
	}
}

func (r tryResult) isNotStarted() bool {
	var notStarted *NotStartedError
	return errors.As(r.err, &notStarted)
}

func (r tryResult) isRefused() bool { return isRefusal(r.err) }

// lacksMemory reports whether there was no memory to send the call.
func (r tryResult) lacksMemory() bool { return errors.Is(r.err, memory.ErrExhausted) }

// isOwnRefusal reports whether a call was refused before it was sent, which holds for all
// servers.
func isOwnRefusal(err error) bool {
	return errors.Is(err, memory.ErrExhausted) || errors.Is(err, ErrNotAdmitted)
}

// isFailure reports whether the call should be retried on another server: no answer
// arrived, or its status says that the server can't serve the call now.
func (r tryResult) isFailure(call Call) bool {
	if r.err != nil {
		return true
	}
	switch r.answer.Status {
	case http.StatusInternalServerError:
		return call.RetryErrors
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (r tryResult) reason() receipt.Reason {
	code := receipt.CodeAnswerLost
	switch {
	case r.lacksMemory():
		code = receipt.CodeNoMemory
	case errors.Is(r.err, ErrNotAdmitted):
		code = receipt.CodeOverloaded
	case r.isNotStarted():
		code = receipt.CodeServerFailed
	case errors.Is(r.err, context.DeadlineExceeded):
		code = receipt.CodeDeadline
	case errors.Is(r.err, context.Canceled):
		code = receipt.CodeCancelled
	}
	return receipt.Reason{
		Code: code,
		Step: receipt.StepCall,
		Peer: r.server,
		Err:  r.err,
	}
}

// isServerError reports whether the answer is one with status 500.
func (r tryResult) isServerError() bool {
	return r.err == nil && r.answer.Status == http.StatusInternalServerError
}

// isRefusal reports whether an error is a server's own statement that it didn't start a call.
func isRefusal(err error) bool {
	var notStarted *NotStartedError
	return errors.As(err, &notStarted) && notStarted.Refused
}
