package node

import (
	"net"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/metrics"
)

// newBudget returns the budget for all that the process holds for clients.
func newBudget(i core.Identity) *bytebudget.Budget {
	return bytebudget.New(bytebudget.Limit(i.MemoryMB))
}

// evictionLinesPerSecond limits the lines about connections that were closed to free
// capacity, since clients without a request can cause them.
const evictionLinesPerSecond = 10

type poolParams struct {
	fx.In

	Bytes  *bytebudget.Budget
	Logger *log.Logger
	Scope  tally.Scope `optional:"true"`
}

// newPool returns the connections of the process. It logs and counts those that are closed
// to free capacity.
func newPool(p poolParams) *connlimit.Pool {
	if p.Scope == nil {
		p.Scope = tally.NoopScope
	}
	counters := metrics.NewTaggedCounters(p.Scope.SubScope("node"))
	lines := boundedlog.New(p.Logger.WithPrefix("node"), evictionLinesPerSecond)
	return connlimit.NewPool(p.Bytes, func(listener string, c net.Conn) {
		counters.Inc("connections_evicted", "listener", listener)
		lines.Log(log.InfoLevel, "connection evicted", "connection evicted", "listener", listener, "remote", c.RemoteAddr(), "held_bytes", p.Bytes.Used())
	})
}
