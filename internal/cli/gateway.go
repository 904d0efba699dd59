package cli

import (
	"context"

	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/settings"
)

// gatewayRole is the role whose plug-ins make up the gateway daemon.
const gatewayRole = "gateway"

type gatewayCmd struct {
	Settings string   `help:"Settings file (INI)." type:"path" env:"AUBURNLEAD_SETTINGS" placeholder:"FILE"`
	Set      []string `help:"Override one setting; may be repeated." sep:"none" placeholder:"SECTION.KEY=VALUE"`
}

// Help is the text below the usage of the command.
func (gatewayCmd) Help() string {
	return "Example:\n\n  auburnlead gateway --settings /etc/auburnlead/settings.conf\n\nServes the routes of the desired state in the platform's store. Stops gracefully on SIGTERM."
}

// Run runs the daemon until SIGTERM.
func (c *gatewayCmd) Run(ctx context.Context) error {
	src, err := settings.Open(c.Settings, c.Set)
	if err != nil {
		return err
	}
	app, err := kernel.New(gatewayRole, src)
	if err != nil {
		return err
	}
	return kernel.Run(ctx, app)
}
