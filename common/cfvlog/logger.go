// Package cfvlog makes zerolog loggers whose messages carry a fixed prefix for each part.
package cfvlog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Logger writes short sentences behind the prefix of its part.
type Logger struct {
	inner  zerolog.Logger
	prefix string
}

// Lines of several entries are put in order by their times.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes JSON lines to w and names its node.
func New(w io.Writer, node string) Logger {
	return Logger{inner: zerolog.New(w).With().Timestamp().Str("node", node).Logger()}
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return Logger{inner: zerolog.Nop()}
}

// Part returns a logger for the named part.
func (l Logger) Component(name string) Logger {
	return Logger{inner: l.inner, prefix: name + ": "}
}

// Request returns a logger that adds the request id to each line.
func (l Logger) WithRequestID(id string) Logger {
	return Logger{inner: l.inner.With().Str("requestId", id).Logger(), prefix: l.prefix}
}

// Info logs a formatted sentence.
func (l Logger) Info(format string, args ...any) {
	l.inner.Info().Msgf(l.prefix+format, args...)
}

// Warn logs a formatted sentence about something that an operator may act on.
func (l Logger) Warn(format string, args ...any) {
	l.inner.Warn().Msgf(l.prefix+format, args...)
}

// Debug logs a formatted sentence of detail.
func (l Logger) Debug(format string, args ...any) {
	l.inner.Debug().Msgf(l.prefix+format, args...)
}

// SetLevel sets the process's level by name: debug, info, warn or error.
func SetLevel(name string) error {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return err
	}
	zerolog.SetGlobalLevel(level)
	return nil
}

// Say logs a sentence with named values: pairs of a name and a value.
func (l Logger) Infow(sentence string, pairs ...any) {
	l.inner.Info().Fields(pairs).Msg(l.prefix + sentence)
}

// Alarm logs a sentence that an operator may act on with named values.
func (l Logger) Warnw(sentence string, pairs ...any) {
	l.inner.Warn().Fields(pairs).Msg(l.prefix + sentence)
}

// Detailed reports whether details are logged.
func (l Logger) DebugEnabled() bool {
	return l.inner.GetLevel() <= zerolog.DebugLevel && zerolog.GlobalLevel() <= zerolog.DebugLevel
}

// Detail logs a sentence of detail with named values.
func (l Logger) Debugw(sentence string, pairs ...any) {
	l.inner.Debug().Fields(pairs).Msg(l.prefix + sentence)
}
