package telemetry

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
)

// LogFormat is the format of log lines.
type LogFormat string

// The formats of log lines.
const (
	LogJSON     LogFormat = "json"
	LogTerminal LogFormat = "terminal"
)

// NewLogger returns a logger that writes lines of the given level and above to w.
func NewLogger(w io.Writer, format LogFormat, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q: use debug, info, warn or error", level)
	}
	options := log.Options{Level: parsed, ReportTimestamp: true, TimeFormat: time.RFC3339Nano}
	if format == LogJSON {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(w, options), nil
}
