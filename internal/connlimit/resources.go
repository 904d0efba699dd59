package connlimit

import (
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
)

// Resources are what the listeners of a process share. They are dependencies of plug-ins.
type Resources struct {
	fx.In

	Bytes       *bytebudget.Budget `optional:"true"`
	Connections *Pool              `optional:"true"`
}

// testBytes is the budget of a plug-in without the plug-in node, which is a test.
const testBytes = 736 << 20

// OrDefault returns the resources, with those of a test in place of missing ones.
func (r Resources) OrDefault() Resources {
	if r.Bytes == nil {
		r.Bytes = bytebudget.New(testBytes)
	}
	if r.Connections == nil {
		r.Connections = NewPool(r.Bytes)
	}
	return r
}
