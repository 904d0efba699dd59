// Package standard imports the plug-ins of the shipped binary.
package standard

import (
	_ "github.com/auburnlead/auburnlead/platform"         // registers gateway.platform
	_ "github.com/auburnlead/auburnlead/plugins/admin"    // registers router.admin
	_ "github.com/auburnlead/auburnlead/plugins/caller"   // registers router.caller
	_ "github.com/auburnlead/auburnlead/plugins/config"   // registers router.config
	_ "github.com/auburnlead/auburnlead/plugins/dispatch" // registers router.dispatch
	_ "github.com/auburnlead/auburnlead/plugins/gateway"  // registers gateway.gateway
	_ "github.com/auburnlead/auburnlead/plugins/gossip"   // registers gateway.gossip
	_ "github.com/auburnlead/auburnlead/plugins/node"     // registers router.node and gateway.node
	_ "github.com/auburnlead/auburnlead/plugins/orders"   // registers router.orders
	_ "github.com/auburnlead/auburnlead/plugins/peer"     // registers router.peer
	_ "github.com/auburnlead/auburnlead/plugins/platform" // registers router.platform
	_ "github.com/auburnlead/auburnlead/plugins/upstream" // registers router.upstream
)
