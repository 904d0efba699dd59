package cli

import (
	"context"
	"encoding/json"

	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/settings"
)

// routerRole is the role whose plug-ins make up the router daemon.
const routerRole = "router"

type routerCmd struct {
	Settings string   `help:"Settings file (INI)." type:"path" placeholder:"FILE"`
	Set      []string `help:"Override one setting; may be repeated." sep:"none" placeholder:"SECTION.KEY=VALUE"`
}

// Help returns the text shown below the usage of the command.
func (routerCmd) Help() string {
	return "Example:\n\n  auburnlead router --settings /etc/auburnlead/router.ini --set caller.listen=10.0.0.5:8080\n\nStops gracefully on SIGTERM: waits for requests in flight to end, then exits with code 0."
}

// Run runs the daemon until SIGTERM. Once every component listens, it prints
// one line of JSON with the bound addresses by component.
func (c *routerCmd) Run(ctx context.Context, s *Streams) error {
	src, err := settings.Open(c.Settings, c.Set)
	if err != nil {
		return err
	}
	printAddresses := func(lc fx.Lifecycle, a *core.Addresses) {
		lc.Append(fx.Hook{OnStart: func(context.Context) error { return json.NewEncoder(s.Out).Encode(a.All()) }})
	}
	app, err := kernel.New(routerRole, src, fx.Module("addresses", fx.Invoke(printAddresses)))
	if err != nil {
		return err
	}
	return kernel.Run(ctx, app)
}
