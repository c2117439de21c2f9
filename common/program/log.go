package program

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/logbook"
)

// LogConfigurer is implemented by a Config that contains settings of the log.
type LogConfigurer interface {
	// Logbook returns the settings of the log writer, and the name of the instance or an
	// empty string if it has none.
	Logbook() (instance string, cfg logbook.Config)
}

// configureLog makes the default logger write JSON lines to out without blocking. Each
// line contains the program's name, and the instance's name if it has one. The caller must
// close the returned writer.
func configureLog(name string, cfg any, out io.Writer) *logbook.Writer {
	instance, logConfig := "", logbook.DefaultConfig()
	if configurer, ok := cfg.(LogConfigurer); ok {
		instance, logConfig = configurer.Logbook()
	}
	context := log.NewContext(nil).Str("program", name)
	if instance != "" {
		context = context.Str(event.Instance, instance)
	}
	log.DefaultLogger = log.Logger{
		Level:      log.DebugLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    context.Value(),
	}
	writer := logbook.New(logConfig, out, log.DefaultLogger)
	log.DefaultLogger.Writer = writer
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{})
	return writer
}

// libraryLog writes what libraries log by themselves as lines of the program's log, within its
// limits. net/http logs unexpected bytes of servers in this way.
type libraryLog struct{}

// maxLibraryBytes limits a message, which may quote what a server has sent.
const maxLibraryBytes = 200

// Write writes one message.
func (libraryLog) Write(message []byte) (int, error) {
	text := strings.TrimSpace(string(message))
	log.Warn().Str(event.Key, string(event.Library)).Str("text", text[:min(len(text), maxLibraryBytes)]).Msg("message of a library")
	return len(message), nil
}
