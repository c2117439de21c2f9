package entry_test

import (
	"strings"
	"sync"

	"github.com/phuslu/log"
)

// logs collects the log lines of the current run, for the trace of a failure.
var logs logBuffer

func init() { log.DefaultLogger.Writer = &log.IOWriter{Writer: &logs} }

type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

// Write stores one log line.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

func (b *logBuffer) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = nil
}

// trace returns the log lines that contain an id.
func (b *logBuffer) trace(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found strings.Builder
	for _, line := range b.lines {
		if strings.Contains(line, id) {
			found.WriteString(line)
		}
	}
	return found.String()
}
