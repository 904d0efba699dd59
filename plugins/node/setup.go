// Package node is the plug-in that names this process: its router ID, failure
// domain and logging, and the parts that every other plug-in shares.
package node

import (
	"fmt"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
)

// Settings is the section [node].
type Settings struct {
	// ID is the router's ID, stable for the VM. Required.
	ID string `ini:"id" required:"true"`
	// FailureDomain is the failure domain of the VM. Required.
	FailureDomain string `ini:"failure_domain" required:"true"`
	// LogLevel is the least level that is logged. Default info.
	LogLevel string `ini:"log_level" default:"info" oneof:"debug info warn error"`
	// LogFormat is the format of log lines. Default logfmt.
	LogFormat string `ini:"log_format" default:"logfmt" oneof:"text logfmt json"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.node",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("node",
				fx.Supply(s.(*Settings)),
				fx.Provide(NewIdentity, NewLogger, core.NewAddresses, core.NewReadiness, core.NewBackground),
			)
		},
	})
}

// NewIdentity returns the identity of this process. PeerAddress is empty: the
// peer plug-in fills in the bound address in what it sends.
func NewIdentity(s *Settings) core.Identity {
	return core.Identity{Router: s.ID, FailureDomain: s.FailureDomain, Incarnation: uint64(time.Now().UnixNano())}
}

// NewLogger returns the process's logger. Each part logs through
// logger.WithPrefix(part).
func NewLogger(s *Settings) (*log.Logger, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("node: %w; set log_level to debug, info, warn or error", err)
	}
	format := map[string]log.Formatter{"text": log.TextFormatter, "logfmt": log.LogfmtFormatter, "json": log.JSONFormatter}[s.LogFormat]
	return log.NewWithOptions(os.Stderr, log.Options{Level: level, Formatter: format, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Fields: []any{"router", s.ID}}), nil
}
