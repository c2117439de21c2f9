package program

import (
	"os"

	"github.com/phuslu/log"
)

const (
	// logQueue bounds the log lines that wait to be written; more are dropped, so
	// that no request waits for the log.
	logQueue = 4096
)

// LogToStdout sends the default logger to standard output as JSON lines, without
// ever blocking.
func LogToStdout(name string) {
	UseJSONLog(name)
	log.DefaultLogger.Writer = &log.AsyncWriter{
		ChannelSize:   logQueue,
		DiscardOnFull: true,
		Writer:        &log.IOWriter{Writer: os.Stdout},
	}
}

// UseJSONLog sends the default logger to standard error as JSON lines that
// carry the program's name.
func UseJSONLog(name string) {
	log.DefaultLogger = log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("program", name).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}
