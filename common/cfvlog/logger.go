// Package cfvlog writes structured logs with zerolog, with a message prefix for each
// component, and reads them back.
package cfvlog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Logger logs messages with the prefix of its component.
type Logger struct {
	inner  zerolog.Logger
	prefix string
}

// Nanosecond times allow the lines of several entries to be merged in order.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes JSON lines with the name of the node to w.
func New(w io.Writer, node string) Logger {
	return Logger{inner: zerolog.New(w).With().Timestamp().Str("node", node).Logger()}
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return Logger{inner: zerolog.Nop()}
}

// Component returns a logger for the named component.
func (l Logger) Component(name string) Logger {
	return Logger{inner: l.inner, prefix: name + ": "}
}

// WithRequestID returns a logger that adds the request id to each line.
func (l Logger) WithRequestID(id string) Logger {
	return Logger{inner: l.inner.With().Str("requestId", id).Logger(), prefix: l.prefix}
}

// Info logs a formatted message.
func (l Logger) Info(format string, args ...any) {
	l.inner.Info().Msgf(l.prefix+format, args...)
}

// Warn logs a formatted message that may require an operator's action.
func (l Logger) Warn(format string, args ...any) {
	l.inner.Warn().Msgf(l.prefix+format, args...)
}

// Debug logs a formatted message at debug level.
func (l Logger) Debug(format string, args ...any) {
	l.inner.Debug().Msgf(l.prefix+format, args...)
}

// SetLevel sets the log level of the process by name: debug, info, warn or error.
func SetLevel(name string) error {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return err
	}
	zerolog.SetGlobalLevel(level)
	return nil
}

// Infow logs a message with alternating keys and values.
func (l Logger) Infow(msg string, keysAndValues ...any) {
	l.inner.Info().Fields(keysAndValues).Msg(l.prefix + msg)
}

// Warnw logs a message that may require an operator's action, with alternating keys and values.
func (l Logger) Warnw(msg string, keysAndValues ...any) {
	l.inner.Warn().Fields(keysAndValues).Msg(l.prefix + msg)
}

// DebugEnabled reports whether debug messages are logged.
func (l Logger) DebugEnabled() bool {
	return l.inner.GetLevel() <= zerolog.DebugLevel && zerolog.GlobalLevel() <= zerolog.DebugLevel
}

// Debugw logs a message at debug level with alternating keys and values.
func (l Logger) Debugw(msg string, keysAndValues ...any) {
	l.inner.Debug().Fields(keysAndValues).Msg(l.prefix + msg)
}
