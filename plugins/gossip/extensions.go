package gossip

import (
	"cmp"
	"slices"
	"time"

	lib "github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
)

// Extend implements core.ExtensionGossip.
func (g *Gossip) Extend(e core.GossipExtension) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.extensions = append(slices.Clone(g.extensions), e)
}

// PushExtensions implements core.ExtensionGossip.
func (g *Gossip) PushExtensions() {
	now := time.Now()
	g.mu.Lock()
	targets := g.view.Targets(now, urgentFactor*sameDomainTargets, urgentFactor*otherDomainTargets)
	messages := g.extensionMessages(now, false)
	g.mu.Unlock()
	for _, message := range messages {
		g.send(message, targets...)
	}
}

// extensionMessages returns the messages of the components that have something to
// send. The caller holds mu.
func (g *Gossip) extensionMessages(now time.Time, starting bool) [][]byte {
	var messages [][]byte
	for _, e := range g.extensions {
		if payload := e.Encode(now, g.view.ExtensionLimit(), starting); payload != nil {
			messages = append(messages, g.view.ExtensionMessage(now, lib.Extension{Type: e.Type(), Payload: payload}))
		}
	}
	return messages
}

// mergeExtensions passes the extensions of a message to their components. Types
// without a component are of a later version and ignored.
func (g *Gossip) mergeExtensions(list []lib.Extension) error {
	if len(list) == 0 {
		return nil
	}
	g.mu.Lock()
	components := g.extensions
	g.mu.Unlock()
	var err error
	for _, e := range list {
		for _, c := range components {
			if c.Type() == e.Type {
				err = cmp.Or(err, c.Merge(time.Now(), e.Payload))
			}
		}
	}
	return err
}
