// Package examples checks the example deployments.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/cli"
	"github.com/auburnlead/auburnlead/objects"
	_ "github.com/auburnlead/auburnlead/plugins/standard" // registers the settings of every plug-in
)

// Guards against examples that the auburnlead command rejects, and against
// examples whose numbers of ranks, workers and failure domains differ from those
// of the documented deployments.
func TestExamples(t *testing.T) {
	tests := []struct {
		deployment, engines, services string
		engineCount, serviceCount     int
		domains                       int
	}{
		{"kup-seva", "auburnlead-pool", "rota-desk", 10, 3, 3},
		{"board", "juror-assist", "entries-desk", 10, 4, 4},
	}
	for _, test := range tests {
		Convey(test.deployment, t, func() {
			set := filepath.Join(test.deployment, "set.ini")
			var out strings.Builder
			code := cli.Main([]string{"check", set, "--settings", filepath.Join(test.deployment, "router.ini")}, &out, &out)
			So(out.String(), ShouldEqual, "valid\n")
			So(code, ShouldEqual, cli.ExitDone)
			text, err := os.ReadFile(set)
			So(err, ShouldBeNil)
			s, err := objects.Load(set, text)
			So(err, ShouldBeNil)
			So(len(s.Ranks), ShouldEqual, 3)
			So(len(s.Upstreams[test.engines].Workers), ShouldEqual, test.engineCount)
			So(len(s.Upstreams[test.services].Workers), ShouldEqual, test.serviceCount)
			So(s.Upstreams[test.services].OnceMethods, ShouldContain, "POST")
			domains := map[string]bool{}
			for _, w := range s.Upstreams[test.engines].Workers {
				domains[w.FailureDomain] = true
			}
			So(len(domains), ShouldEqual, test.domains)
		})
	}
}
