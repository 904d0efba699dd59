// Package node is the plug-in that identifies this process (router ID and
// failure domain), sets up logging and provides the components that all
// plug-ins share.
package node

import (
	"fmt"
	"io"
	stdlog "log"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/hostmemory"
	"github.com/auburnlead/auburnlead/kernel"
)

// Settings is the section [node].
type Settings struct {
	// ID is the router's ID, stable for the VM. Required.
	ID string `ini:"id" required:"true"`
	// FailureDomain is the failure domain of the VM. Required.
	FailureDomain string `ini:"failure_domain" required:"true"`
	// LogLevel is the lowest level that is logged. Default info.
	LogLevel string `ini:"log_level" default:"info" oneof:"debug info warn error"`
	// LogFormat is the format of log lines. Default logfmt.
	LogFormat string `ini:"log_format" default:"logfmt" oneof:"text logfmt json"`
	// GCPercent is the heap growth in percent that triggers a garbage collection.
	// A lower value saves memory and costs CPU time. Default 100.
	GCPercent int `ini:"gc_percent" default:"100" min:"5" max:"1000"`
	// MemoryMB is the memory of the VM in MB of 2^20 bytes. Six tenths of it less 38 MB
	// may be used for connections, requests and responses; further requests are refused.
	// The runtime collects garbage more often above 0.9 of it less 24 MB. Default half of
	// the memory that the process finds (machine, control group, RLIMIT_AS, RLIMIT_DATA),
	// at least 48 and at most 512.
	MemoryMB float64 `ini:"memory_mb" min:"48" max:"1048576"`
}

func init() {
	register("router.node", fx.Provide(NewLogger))
	register("gateway.node", fx.Provide(newStdoutLogger))
}

// register registers the plug-in under the ID for a role of the binary: router or
// gateway. The roles differ only in their logger.
func register(id string, logger fx.Option) {
	kernel.Register(kernel.Plugin{
		ID:       id,
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("node",
				fx.Supply(s.(*Settings)),
				logger,
				fx.Provide(NewIdentity, newBudget, newPool, core.NewAddresses, core.NewReadiness, core.NewBackgroundPool),
				fx.Invoke(configureRuntime),
			)
		},
	})
}

func configureRuntime(s *Settings, i core.Identity, l *log.Logger) {
	debug.SetGCPercent(s.GCPercent)
	debug.SetMemoryLimit(bytebudget.RuntimeLimit(i.MemoryMB))
	if s.MemoryMB == 0 {
		found, _ := hostmemory.Smallest()
		l.WithPrefix("node").Info("memory_mb is not set", "memory_mb", i.MemoryMB, "found", found.Source, "found_mb", found.Bytes>>20)
	}
}

// memoryMB returns the memory that the process may use.
func (s *Settings) memoryMB() int {
	if s.MemoryMB > 0 {
		return int(s.MemoryMB)
	}
	return hostmemory.DefaultMB(hostmemory.Smallest())
}

// NewIdentity returns the identity of this process. PeerAddress is empty: the
// peer plug-in sets it in its own copy once its address is known.
func NewIdentity(s *Settings) core.Identity {
	return core.Identity{Router: s.ID, FailureDomain: s.FailureDomain, Incarnation: uint64(time.Now().UnixNano()), MemoryMB: s.memoryMB()}
}

// newStdoutLogger returns a logger that writes to standard output and never
// blocks: if the output is not read fast enough, lines are dropped and counted.
func newStdoutLogger(s *Settings, lc fx.Lifecycle) (*log.Logger, error) {
	q := newLineQueue(os.Stdout)
	lc.Append(fx.Hook{OnStop: q.flush})
	l, err := newLogger(s, q)
	if err == nil {
		stdlog.SetFlags(0)
		stdlog.SetOutput(libraryLog{boundedlog.New(l.WithPrefix("library"), libraryLinesPerSecond)})
	}
	return l, err
}

// libraryLinesPerSecond limits the lines that libraries write to the standard
// logger, since what peers send can cause them.
const libraryLinesPerSecond = 2

// libraryLog is the output of the standard logger.
type libraryLog struct{ lines *boundedlog.Logger }

func (l libraryLog) Write(line []byte) (int, error) {
	l.lines.Log(log.WarnLevel, "library", strings.TrimSpace(string(line)))
	return len(line), nil
}

// NewLogger returns the process's logger, which writes to standard error. Each
// component logs through logger.WithPrefix with its name.
func NewLogger(s *Settings) (*log.Logger, error) { return newLogger(s, os.Stderr) }

func newLogger(s *Settings, out io.Writer) (*log.Logger, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("node: %w; set log_level to debug, info, warn or error", err)
	}
	format := map[string]log.Formatter{"text": log.TextFormatter, "logfmt": log.LogfmtFormatter, "json": log.JSONFormatter}[s.LogFormat]
	return log.NewWithOptions(out, log.Options{Level: level, Formatter: format, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Fields: []any{"router", s.ID}}), nil
}
