package bubble

import (
	"errors"
	"io"
	"reflect"
	"time"
)

// corpusEntry must be identical to the unexported type of the testing package.
type corpusEntry = struct {
	Parent     string
	Path       string
	Data       []byte
	Values     []any
	Generation int
	IsSeed     bool
}

var errUnsupported = errors.New("not supported outside tests")

// testDeps implements the testDeps interface that testing.MainStart requires of
// a test binary. None of its features are used.
type testDeps struct{}

func (testDeps) ImportPath() string { return "" }

func (testDeps) ModulePath() string { return "" }

func (testDeps) MatchString(string, string) (bool, error) { return true, nil }

func (testDeps) SetPanicOnExit0(bool) {}

func (testDeps) StartCPUProfile(io.Writer) error { return errUnsupported }

func (testDeps) StopCPUProfile() {}

func (testDeps) StartTestLog(io.Writer) {}

func (testDeps) StopTestLog() error { return nil }

func (testDeps) WriteProfileTo(string, io.Writer, int) error { return errUnsupported }

func (testDeps) CoordinateFuzzing(time.Duration, int64, time.Duration, int64, int, []corpusEntry, []reflect.Type, string, string) error {
	return errUnsupported
}

func (testDeps) RunFuzzWorker(func(corpusEntry) error) error { return errUnsupported }

func (testDeps) ReadCorpus(string, []reflect.Type) ([]corpusEntry, error) { return nil, errUnsupported }

func (testDeps) CheckCorpus([]any, []reflect.Type) error { return errUnsupported }

func (testDeps) ResetCoverage() {}

func (testDeps) SnapshotCoverage() {}

func (testDeps) InitRuntimeCoverage() (mode string, tearDown func(string, string) (string, error), snapcov func() float64) {
	return "", nil, nil
}
