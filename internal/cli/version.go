package cli

import (
	"encoding/json"
	"fmt"
	"runtime"
)

// Version is the released version. The build sets it with -ldflags -X.
var Version = "0.1.0-dev"

type versionCmd struct{}

// Help returns the text shown below the usage of the command.
func (versionCmd) Help() string { return "Example:\n\n  auburnlead version --output json" }

// Run prints the version.
func (versionCmd) Run(s *Streams) error {
	if s.Output == "json" {
		return json.NewEncoder(s.Out).Encode(struct {
			Version string `json:"version"`
			Go      string `json:"go"`
		}{Version, runtime.Version()})
	}
	_, err := fmt.Fprintf(s.Out, "auburnlead %s (%s)\n", Version, runtime.Version())
	return err
}
