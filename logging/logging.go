// Package logging provides the components of a process with loggers whose
// messages start with a fixed prefix.
//
// Messages are short sentences; values are logged as fields. Prompts, answers
// and API keys must not be logged.
package logging

import (
	"fmt"
	"io"

	"github.com/phuslu/log"
)

// Component is a component of the process. Its value is the prefix of its
// messages.
type Component string

// Components that log.
const (
	ComponentDaemon   Component = "daemon"
	ComponentGateway  Component = "gateway"
	ComponentLog      Component = "log"
	ComponentManifest Component = "manifest"
	ComponentClaims   Component = "claims"
	ComponentFleet    Component = "fleet"
	ComponentPeers    Component = "peers"
	ComponentOrders   Component = "orders"
	ComponentAdmin    Component = "admin"
	ComponentRouter   Component = "router"
)

// Logger writes the log lines of one component.
type Logger struct {
	out       *log.Logger
	component Component
}

// Factory creates the loggers of one process, which share the output and the
// level.
type Factory struct {
	out *log.Logger
}

// NewFactory returns a factory that writes JSON lines of at least the given
// level ("debug", "info", "warn", "error") to w.
func NewFactory(w io.Writer, level string) (*Factory, error) {
	l := log.ParseLevel(level)
	if l < log.DebugLevel || l > log.ErrorLevel {
		return nil, fmt.Errorf("logging: level %q is unknown, expected debug, info, warn or error", level)
	}
	out := &log.Logger{Level: l, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: &log.IOWriter{Writer: w}}
	return &Factory{out: out}, nil
}

// Discard returns a factory whose loggers write nothing.
func Discard() *Factory {
	return &Factory{out: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}}
}

// For returns the logger of a component.
func (f *Factory) For(component Component) *Logger {
	return &Logger{out: f.out, component: component}
}

func (l *Logger) line(e *log.Entry, message string, fields []any) {
	if e == nil {
		return
	}
	e.KeysAndValues(fields...).Msg(string(l.component) + ": " + message)
}

// Debug logs details that help to trace single requests.
func (l *Logger) Debug(message string, fields ...any) { l.line(l.out.Debug(), message, fields) }

// Info logs a change of state.
func (l *Logger) Info(message string, fields ...any) { l.line(l.out.Info(), message, fields) }

// Warn logs a problem that the process could handle but an operator may need to
// know about.
func (l *Logger) Warn(message string, fields ...any) { l.line(l.out.Warn(), message, fields) }

// Error logs a failure that the process could not handle.
func (l *Logger) Error(message string, fields ...any) { l.line(l.out.Error(), message, fields) }
