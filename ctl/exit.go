package ctl

import (
	"errors"
	"fmt"

	"github.com/balsamlock/balsamlock/common/program"
)

// The exit codes. The help text describes them.
const (
	ExitOK             = program.ExitOK
	ExitFailed         = program.ExitFailed
	ExitUsage          = program.ExitUsage
	ExitSettings       = program.ExitSettings
	ExitFindings       = 4
	ExitBaseMoved      = 5
	ExitOutcomeUnknown = 6
	ExitDiffers        = 7
	ExitNotInForce     = 8
	ExitNotFound       = 9
)

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exitf returns an error that makes the program exit with the given code.
func exitf(code int, format string, args ...any) error {
	return &exitError{
		code: code,
		err:  fmt.Errorf(format, args...),
	}
}

// exitCodeOf returns the exit code for err, which is ExitFailed if err doesn't determine one.
func exitCodeOf(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	}
	return ExitFailed
}
