package program

import (
	"io"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/logbook"
)

// LogConfigurer are settings that bound the log.
type LogConfigurer interface {
	// Logbook returns the name of the instance, empty for none, and the bounds.
	Logbook() (instance string, cfg logbook.Config)
}

// useLog sends the default logger to out as JSON lines that carry the program's
// name, and its instance's if there is one, without ever blocking. The book must be closed.
func useLog(name string, cfg any, out io.Writer) *logbook.Writer {
	instance, bounds := "", logbook.DefaultConfig()
	if logged, ok := cfg.(LogConfigurer); ok {
		instance, bounds = logged.Logbook()
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
	book := logbook.New(bounds, out, log.DefaultLogger)
	log.DefaultLogger.Writer = book
	return book
}
