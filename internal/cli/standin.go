package cli

import (
	"context"
	"time"

	"github.com/auburnlead/auburnlead/internal/standin/engine"
	"github.com/auburnlead/auburnlead/internal/standin/platform"
	"github.com/auburnlead/auburnlead/internal/standin/relay"
	"github.com/auburnlead/auburnlead/internal/standin/service"
)

// standinCmd runs the stand-ins that tests and demonstrations use in place of
// the platform and the upstreams.
type standinCmd struct {
	Engine   standinEngineCmd   `cmd:"" help:"Run a stand-in for a model engine."`
	Service  standinServiceCmd  `cmd:"" help:"Run a stand-in for a plain service with a journal."`
	Platform standinPlatformCmd `cmd:"" help:"Run a stand-in for the platform, in memory and with faults on request."`
	Relay    standinRelayCmd    `cmd:"" help:"Run a TCP relay that cuts, holds or delays connections on request."`
}

// Help returns the text shown below the usage of the command.
func (standinCmd) Help() string {
	return "Each stand-in prints one line {\"listen\":\"ip:port\"} once it listens. On SIGTERM it stops once its requests have ended.\n\nExample:\n\n  auburnlead standin platform --listen 127.0.0.1:0"
}

type standinEngineCmd struct {
	Listen        string        `help:"IP address and port; port 0 lets the system choose." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	ID            string        `help:"Worker ID shown in the statistics." default:"engine"`
	Models        []string      `help:"Models loaded at startup." default:"rota-8b-v3" placeholder:"NAME"`
	Slots         int           `help:"Maximum number of concurrent requests." default:"16"`
	QueueLimit    int           `help:"Maximum number of requests that wait for a slot." default:"64"`
	FirstToken    time.Duration `help:"Delay of the first token." default:"0s"`
	Prefill       time.Duration `help:"Delay per prompt token that is not cached." default:"0s"`
	Token         time.Duration `help:"Delay between tokens." default:"0s"`
	CacheTokens   int           `help:"Size of the prefix cache in tokens." default:"1000000"`
	ResumeGrace   time.Duration `help:"Time for which a stream continues without a connection." default:"5s"`
	Retain        time.Duration `help:"Time for which an ended stream can be resumed." default:"1m"`
	ChecksFencing bool          `help:"Refuse orders with an outdated fencing token."`
}

// Help returns the text shown below the usage of the command.
func (standinEngineCmd) Help() string {
	return "Example:\n\n  auburnlead standin engine --listen 127.0.0.1:9001 --first-token 100ms --token 27ms --checks-fencing\n\nPOST /standin/behavior injects faults into the engine, GET /standin/stats returns counts of its requests."
}

// Run runs the stand-in until SIGTERM.
func (c *standinEngineCmd) Run(ctx context.Context, s *Streams) error {
	return engine.Run(ctx, engine.Settings(*c), s.Out)
}

type standinServiceCmd struct {
	Listen string        `help:"IP address and port; port 0 lets the system choose." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	ID     string        `help:"Worker ID shown in responses." default:"service"`
	Delay  time.Duration `help:"Duration of each call." default:"0s"`
}

// Help returns the text shown below the usage of the command.
func (standinServiceCmd) Help() string {
	return "Example:\n\n  auburnlead standin service --listen 127.0.0.1:9101 --delay 20ms\n\nPOST /faults refuses, delays or interrupts calls, GET /standin/journal returns the number of effects of each Idempotency-Key."
}

// Run runs the stand-in until SIGTERM.
func (c *standinServiceCmd) Run(ctx context.Context, s *Streams) error {
	return service.Run(ctx, service.Settings(*c), s.Out)
}

type standinPlatformCmd struct {
	Listen string `help:"IP address and port; port 0 lets the system choose." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	Seed   uint64 `help:"Seed for the faults." default:"1"`
}

// Help returns the text shown below the usage of the command.
func (standinPlatformCmd) Help() string {
	return "Example:\n\n  auburnlead standin platform --listen 127.0.0.1:9201\n\nPOST /faults sets outage, delay_ms, lost_replies, dropped_requests, late_writes, duplicate_writes, late_by_ms, vm_lag_ms, reads_per_second and writes_per_second. PUT and DELETE /vms/{id} change the VM list."
}

// Run runs the stand-in until SIGTERM.
func (c *standinPlatformCmd) Run(ctx context.Context, s *Streams) error {
	return platform.Run(ctx, platform.Settings(*c), s.Out)
}

type standinRelayCmd struct {
	Listen  string `help:"IP address and port for relayed connections; port 0 lets the system choose." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	Control string `help:"IP address and port of POST /relay." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	Target  string `help:"IP address and port that connections are forwarded to; POST /relay can change it." placeholder:"IP:PORT"`
}

// Help returns the text shown below the usage of the command.
func (standinRelayCmd) Help() string {
	return "Prints one line {\"listen\":\"ip:port\",\"control\":\"ip:port\"}.\n\nExample:\n\n  auburnlead standin relay --listen 127.0.0.1:9301 --target 127.0.0.1:9201\n\nPOST /relay on the control address sets mode (pass, cut, hold, delay), delay_ms and target."
}

// Run runs the relay until SIGTERM.
func (c *standinRelayCmd) Run(ctx context.Context, s *Streams) error {
	return relay.Run(ctx, relay.Settings(*c), s.Out)
}
