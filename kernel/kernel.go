// Package kernel keeps the registry of plug-ins, and builds and runs the
// application of a role from them. A plug-in registers itself in init under a
// dotted ID such as "router.caller". The first word is its role, the last word the
// name of its settings section.
package kernel

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/auburnlead/auburnlead/settings"
)

// StopTimeout limits a graceful shutdown. It exceeds the longest allowed
// MaxDuration of a rank (1 h), so that a shutdown aborts no request in flight.
const StopTimeout = 65 * time.Minute

// startTimeout limits the start hooks; none of them waits for another process.
const startTimeout = 15 * time.Second

// Plugin describes a plug-in to the registry.
type Plugin struct {
	// ID is the dotted ID, for example "router.caller".
	ID string
	// Settings returns a pointer to a new settings struct. It is nil for a plug-in
	// without settings. Package settings describes the struct's tags.
	Settings func() any
	// Options returns the plug-in's options of the fx application. The argument is
	// the filled settings struct, nil for a plug-in without settings.
	Options func(settings any) fx.Option
}

// Role returns the first word of the plug-in's ID.
func (p Plugin) Role() string { role, _, _ := strings.Cut(p.ID, "."); return role }

// Section returns the last word of the plug-in's ID, the name of its settings
// section.
func (p Plugin) Section() string { return p.ID[strings.LastIndexByte(p.ID, '.')+1:] }

var (
	registryMu sync.Mutex // leaf lock: no other lock is taken while it is held
	registry   = map[string]Plugin{}
)

// Register adds a plug-in. It panics if the ID is already registered or has no dot,
// or if Options is nil, since these are programming errors.
func Register(p Plugin) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if !strings.Contains(p.ID, ".") || p.Options == nil {
		panic(fmt.Sprintf("kernel: plug-in %q needs a dotted ID and Options", p.ID))
	}
	if _, taken := registry[p.ID]; taken {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", p.ID))
	}
	registry[p.ID] = p
}

// Plugins returns the plug-ins of a role, sorted by ID.
func Plugins(role string) []Plugin {
	registryMu.Lock()
	defer registryMu.Unlock()
	var list []Plugin
	for _, p := range registry {
		if p.Role() == role {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Bind reads the settings of all plug-ins of a role and returns them by plug-in
// ID. Errors: *settings.Error, which lists the problems of all sections.
func Bind(role string, src *settings.Source) (map[string]any, error) {
	sections := map[string]any{}
	byID := map[string]any{}
	for _, p := range Plugins(role) {
		if p.Settings == nil {
			continue
		}
		byID[p.ID] = p.Settings()
		sections[p.Section()] = byID[p.ID]
	}
	if err := src.Bind(sections); err != nil {
		return nil, err
	}
	return byID, nil
}

// New builds the fx application of a role from its plug-ins and the extra
// options. Errors: *settings.Error, or the first error while building a
// component.
func New(role string, src *settings.Source, extra ...fx.Option) (*fx.App, error) {
	bound, err := Bind(role, src)
	if err != nil {
		return nil, err
	}
	options := []fx.Option{
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(StopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	}
	for _, p := range Plugins(role) {
		options = append(options, p.Options(bound[p.ID]))
	}
	// Extra options come last, so that their start hooks run after those of the
	// plug-ins.
	options = append(options, extra...)
	app := fx.New(options...)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("kernel: %w; check that every plug-in of role %s is imported", err, role)
	}
	return app, nil
}

// Run starts the application and shuts it down gracefully when ctx ends or a
// component requests a shutdown.
func Run(ctx context.Context, app *fx.App) error {
	start, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return fmt.Errorf("kernel: start the application: %w", err)
	}
	select {
	case <-ctx.Done():
	case <-app.Wait():
	}
	stop, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return fmt.Errorf("kernel: stop the application: %w", err)
	}
	return nil
}
