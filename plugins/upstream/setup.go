// Package upstream is the plug-in that communicates with engines and plain
// services over HTTP: it sends attempts, classifies their failures, cancels them,
// sends orders and reads load reports.
package upstream

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
)

// Settings is the section [upstream].
type Settings struct {
	// IdlePerWorker limits the idle connections kept to one worker. Default 8.
	IdlePerWorker int `ini:"idle_per_worker" default:"8" min:"1" max:"256"`
	// IdleTimeout closes idle connections. It must be shorter than the time
	// after which the upstream closes them: a request that is sent while the
	// upstream closes the connection has an unknown outcome. Default 20s.
	IdleTimeout time.Duration `ini:"idle_timeout" default:"20s" min:"1s" max:"10m"`
	// ConnectTimeout limits the connection setup, TLS included. Default 1s.
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"1s" min:"10ms" max:"30s"`
	// StallTimeout limits the wait for the response header and for each frame of
	// an engine's stream. After it the stream counts as truncated. Default 15s.
	StallTimeout time.Duration `ini:"stall_timeout" default:"15s" min:"1s" max:"10m"`
	// HeaderBytes limits the header of a response. Default 65536 bytes.
	HeaderBytes int64 `ini:"header_bytes" default:"65536" min:"1024" max:"1048576"`
	// EventBytes limits one event of a stream. Default 1048576 bytes.
	EventBytes int `ini:"event_bytes" default:"1048576" min:"1024" max:"67108864"`
	// AnswerBytes limits the response of a service. Default 8388608 bytes.
	AnswerBytes int64 `ini:"answer_bytes" default:"8388608" min:"1024" max:"268435456"`
	// LoadPoll is the interval at which workers are polled for their load.
	// Default 1s.
	LoadPoll time.Duration `ini:"load_poll" default:"1s" min:"100ms" max:"1m"`
	// LoadTimeout limits the time to poll one worker. Default 800ms.
	LoadTimeout time.Duration `ini:"load_timeout" default:"800ms" min:"10ms" max:"1m"`
}

func (s *Settings) limits() answer.Limits {
	// A line contains the field name in addition to an event's data.
	return answer.Limits{LineBytes: s.EventBytes + 64, EventBytes: s.EventBytes}
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.upstream",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("upstream",
				fx.Supply(s.(*Settings)),
				fx.Provide(fx.Annotate(newFromParams, fx.As(new(core.EngineClient)), fx.As(new(core.ServiceClient)), fx.As(new(core.LoadProbe)), fx.As(new(core.OrderClient)), fx.As(fx.Self()))),
				fx.Invoke(startPolls),
			)
		},
	})
}

// Params are the dependencies of the plug-in.
type Params struct {
	fx.In

	Settings   *Settings
	Config     core.Config
	Background *core.BackgroundPool
	Logger     *log.Logger
	Lifecycle  fx.Lifecycle
}

func newFromParams(p Params) *Client {
	c := New(p.Settings, p.Config, p.Logger)
	c.submit = p.Background.Submit
	p.Lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { c.transport.CloseIdleConnections(); return nil }})
	return c
}
