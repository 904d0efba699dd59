package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
)

// Guards against lost answers whose log lines cannot be related to the prompts that
// the worker was working on.
func TestLostAnswerNamesPromptParts(t *testing.T) {
	inBubble(t, "The line of a failed attempt has all shared parts of the prompt", engines(1), func(h *harness) {
		var lines strings.Builder
		h.decisions.lines = boundedlog.New(log.New(&lines), 100)
		h.setHandlers(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		h.call("POST", "/chat/once/x", testPrompt, "10 11 12")
		So(lines.String(), ShouldContainSubstring, `shared_parts=a,b `)
	})
}
