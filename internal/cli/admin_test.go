package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/adminapi"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/plugins/admin"
	"github.com/auburnlead/auburnlead/plugins/config"
	"github.com/auburnlead/auburnlead/plugins/node"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

const testSet = `[rank.urgent]
priority = 0
[model.m]
weights = w/1
[upstream.pool]
kind = engine
models = m
worker = e1 west-a http://127.0.0.1:9001
worker = e2 west-a http://127.0.0.1:9002
`

// fakeMembership is a core.Membership with one other router.
type fakeMembership struct{}

func (fakeMembership) Members() []core.Member {
	return []core.Member{{Router: "r2", FailureDomain: "west-b", State: "live", Revision: 7}}
}

// startRouter runs the components of a router that operators interact with. It
// returns the URL of the admin API and a channel of the active revisions.
func startRouter(t *testing.T, p *storetest.Platform) (string, <-chan uint64) {
	addresses := core.NewAddresses()
	revisions := make(chan uint64, 100)
	app := fx.New(fx.NopLogger,
		fx.Supply(addresses, &node.Settings{LogLevel: "error"}, core.Identity{Router: "r1", FailureDomain: "west-a"},
			&config.Settings{PollPeriod: 8 * time.Second, FetchTimeout: 10 * time.Second},
			&admin.Settings{Listen: "127.0.0.1:0", Key: "operators", MaxConnections: 8, RequestTimeout: 30 * time.Second}),
		fx.Provide(node.NewLogger, core.NewReadiness, core.NewBackgroundPool, admin.NewScope, admin.NewAPI, admin.NewServer,
			func() store.Client { return p }, func() core.Membership { return fakeMembership{} },
			fx.Annotate(config.NewFollower, fx.As(new(core.Config)), fx.As(new(core.RevisionSink)), fx.As(new(core.ObjectSource)))),
		fx.Invoke(func(_ *admin.Server, c core.Config) {
			c.Subscribe(func(r *core.ConfigRevision) { revisions <- r.Revision })
		}))
	So(app.Start(context.Background()), ShouldBeNil)
	t.Cleanup(func() { _ = app.Stop(context.Background()) }) // an error doesn't matter, since the process ends
	return "http://" + addresses.Get("admin"), revisions
}

// runCommand runs a command line and returns its exit code and output.
func runCommand(args ...string) (int, string) {
	var out strings.Builder
	code := Main(args, &out, &out)
	return code, out.String()
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "set.ini")
	So(os.WriteFile(name, []byte(text), 0o600), ShouldBeNil)
	return name
}

// Guards against commands that report a wrong outcome. Operators' scripts rely
// on the exit codes, and a set printed by get must apply unchanged.
func TestOperatorCommands(t *testing.T) {
	t.Setenv("AUBURNLEAD_ADMIN_KEY", "operators")
	t.Setenv("AUBURNLEAD_AUTHOR", "asha")
	Convey("Operators publish, compare, drain and list revisions through a router", t, func() {
		p := storetest.New(storetest.Options{Now: time.Now})
		url, revisions := startRouter(t, p)
		run := func(args ...string) (int, string) { return runCommand(append(args, "--admin", url)...) }
		set := writeFile(t, testSet)
		code, out := run("get")
		So(code, ShouldEqual, ExitFailed)
		So(out, ShouldContainSubstring, "no configuration has been published yet")
		code, out = run("apply", set)
		So(out, ShouldEqual, "published revision 1\n")
		So(code, ShouldEqual, ExitDone)
		So(<-revisions, ShouldEqual, 1)

		code, out = run("apply", set, "--base", "0")
		So(code, ShouldEqual, ExitConflict)
		So(out, ShouldContainSubstring, "revision 1 by asha")

		code, _ = run("drain", "pool", "e2")
		So(code, ShouldEqual, ExitDone)
		So(<-revisions, ShouldEqual, 2)
		code, out = run("drain", "pool", "e2", "--output", "json")
		So(code, ShouldEqual, ExitDone)
		So(out, ShouldContainSubstring, `"unchanged":true`)
		code, out = run("drain", "pool", "e9")
		So(code, ShouldEqual, ExitUsage)
		So(out, ShouldContainSubstring, `no worker "e9"`)
		code, out = run("diff", set)
		So(code, ShouldEqual, ExitDone)
		So(out, ShouldEqual, "changed [upstream.pool] draining: \"e2\" -> \"\"\n1 changes against revision 2\n")

		_, out = run("get")
		code, out = run("diff", writeFile(t, out))
		So(code, ShouldEqual, ExitDone)
		So(out, ShouldEqual, "0 changes against revision 2\n")
		code, _ = run("drain", "pool", "e2", "--undo")
		So(code, ShouldEqual, ExitDone)
		So(<-revisions, ShouldEqual, 3)
		code, out = run("audit", "--limit", "2")
		So(code, ShouldEqual, ExitDone)
		So(out, ShouldContainSubstring, "revision 3 on 2 by asha")
		So(out, ShouldContainSubstring, `changed [upstream.pool] draining: "" -> "e2"`)
		So(out, ShouldNotContainSubstring, "revision 1 on")

		code, out = run("status", "--output", "json")
		So(code, ShouldEqual, ExitDone)
		var status adminapi.StatusResponse
		So(json.Unmarshal([]byte(out), &status), ShouldBeNil)
		So(status.Ready, ShouldBeTrue)
		So(status.Revision, ShouldEqual, 3)
		So(status.Members[0].Revision, ShouldEqual, 7)

		code, out = run("get", "--admin-key", "wrong")
		So(code, ShouldEqual, ExitFailed)
		So(out, ShouldContainSubstring, "operators' key")
		p.SetFaults(storetest.Faults{Outage: true})
		code, _ = run("apply", set, "--base", "3")
		So(code, ShouldEqual, ExitUnreachable)
		code, out = run("get")
		So(code, ShouldEqual, ExitDone)
		So(out, ShouldContainSubstring, "from router")
	})
	Convey("The check command sends nothing and reports every problem of both files", t, func() {
		code, out := runCommand("check", writeFile(t, "[rank.urgent]\npriority = 12\nflor = 1\n"), "--settings", writeFile(t, "[admin]\nlisten = here\n"))
		So(code, ShouldEqual, ExitUsage)
		for _, part := range []string{"priority: 12 is outside", "flor: unknown key", "[admin] listen", "[node] id"} {
			So(out, ShouldContainSubstring, part)
		}
		code, out = runCommand("check", writeFile(t, testSet), "--output", "json")
		So(code, ShouldEqual, ExitDone)
		So(out, ShouldEqual, "{\"valid\":true}\n")
		code, _ = runCommand("check")
		So(code, ShouldEqual, ExitUsage)
	})
	Convey("A submission whose outcome is unknown is retried with the same token", t, func() {
		defer func(d time.Duration) { submitBackoff = d }(submitBackoff)
		submitBackoff = time.Microsecond
		var tokens []string
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var req adminapi.SetRequest
			_ = json.NewDecoder(r.Body).Decode(&req) // a body that cannot be decoded leaves the token empty, which fails the test
			tokens = append(tokens, req.Token)
			if len(tokens) < 3 {
				p := core.NewProblem(core.KindPlatformUnavailable, "lost")
				p.Outcome = core.OutcomeUnknown
				core.WriteProblem(w, p, "")
				return
			}
			_ = json.NewEncoder(w).Encode(struct{}{}) // the client may have closed the connection
		}))
		defer s.Close()
		code, _ := runCommand("apply", writeFile(t, testSet), "--base", "4", "--admin", s.URL)
		So(code, ShouldEqual, ExitDone)
		So(len(tokens), ShouldEqual, 3)
		So(tokens[0], ShouldNotBeEmpty)
		So(tokens, ShouldResemble, []string{tokens[0], tokens[0], tokens[0]})
	})
}
