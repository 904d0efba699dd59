// Command auburnlead contains, in one binary, the router and gateway daemons, the
// operators' commands, the load generator and the stand-ins for tests.
package main

import (
	"os"

	"github.com/auburnlead/auburnlead/internal/cli"
	_ "github.com/auburnlead/auburnlead/plugins/standard"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
