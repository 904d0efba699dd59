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

// defaultBytes is the budget of a program without the plug-in node.
const defaultBytes = 736 << 20

// OrDefault returns the resources, with own ones of the plug-in in place of missing ones.
func (r Resources) OrDefault() Resources {
	if r.Bytes == nil {
		r.Bytes = bytebudget.New(defaultBytes)
	}
	if r.Connections == nil {
		r.Connections = NewPool(r.Bytes, nil)
	}
	return r
}
