package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/settings"
)

// gatewayRole is the role whose plug-ins make up the gateway daemon.
const gatewayRole = "gateway"

// settingsCheckInterval is the interval at which the settings file is checked
// for changes, so that they take effect without SIGHUP.
const settingsCheckInterval = 2 * time.Second

type gatewayCmd struct {
	Settings string   `help:"Settings file (INI)." type:"path" env:"AUBURNLEAD_SETTINGS" placeholder:"FILE"`
	Set      []string `help:"Override one setting; may be repeated." sep:"none" placeholder:"SECTION.KEY=VALUE"`
	Check    bool     `help:"Report all problems in the settings and exit."`
}

// Help returns the text shown below the usage of the command.
func (gatewayCmd) Help() string {
	return "Example:\n\n  auburnlead gateway --settings /etc/auburnlead/settings.conf\n\nServes the routes of the desired state in the platform's store. Reloads its settings on SIGHUP and when the file changes. Stops gracefully on SIGTERM."
}

// Run runs the daemon until SIGTERM.
func (c *gatewayCmd) Run(ctx context.Context, s *Streams) error {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	src, err := settings.Open(c.Settings, c.Set)
	if err != nil {
		return err
	}
	if c.Check {
		return checkSettings(src, s)
	}
	reloader := kernel.NewReloader(gatewayRole, c.Settings, c.Set)
	watch := func(logger *log.Logger) {
		go reloader.Watch(ctx, settingsCheckInterval, reloadSignals, reportReload(logger.WithPrefix("settings")))
	}
	app, err := kernel.New(gatewayRole, src, fx.Supply(reloader), fx.Invoke(watch))
	if err != nil {
		return err
	}
	return kernel.Run(ctx, app)
}

// checkSettings returns an error that lists all problems in the settings.
func checkSettings(src *settings.Source, s *Streams) error {
	if _, err := kernel.Bind(gatewayRole, src); err != nil {
		return err
	}
	_, err := fmt.Fprintln(s.Out, "settings are valid")
	return err
}

func reportReload(l *log.Logger) func([]string, error) {
	return func(changed []string, err error) {
		if err != nil {
			l.Error("settings refused; those before stay in force", "error", err)
			return
		}
		l.Info("settings reloaded", "changed", changed)
	}
}
