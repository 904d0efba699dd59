package kernel

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/fx"
)

type reloadSettings struct {
	Count int `ini:"count" default:"1" min:"1" max:"9"`
}

// Guards against a reload that applies parts of an invalid file or passes on
// settings that have not changed.
func TestReload(t *testing.T) {
	Register(Plugin{ID: "reloadtest.part", Settings: func() any { return &reloadSettings{} }, Options: func(any) fx.Option { return fx.Options() }})
	Convey("Changed settings reach their plug-in, invalid ones change nothing", t, func() {
		path := filepath.Join(t.TempDir(), "settings.ini")
		write := func(text string) { So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil) }
		write("[part]\ncount = 2\n")
		r := NewReloader("reloadtest", path, nil)
		var got []int
		r.Subscribe("reloadtest.part", func(s any) { got = append(got, s.(*reloadSettings).Count) })

		So(r.fileChanged(), ShouldBeFalse)
		write("[part]\ncount = 3\n")
		So(r.fileChanged(), ShouldBeTrue)
		changed, err := r.Reload()
		So(err, ShouldBeNil)
		So(changed, ShouldResemble, []string{"reloadtest.part"})
		So(r.fileChanged(), ShouldBeFalse)

		write("[part]\ncount = 99\n")
		_, err = r.Reload()
		So(err.Error(), ShouldContainSubstring, "above the maximum")
		changed, err = r.Reload()
		So(changed, ShouldBeEmpty)
		So(err, ShouldNotBeNil)

		write("[part]\ncount = 3\n")
		changed, err = r.Reload()
		So(err, ShouldBeNil)
		So(changed, ShouldBeEmpty)
		So(got, ShouldResemble, []int{3})
	})
}
