package regress

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// write writes a journal entry with a quiet day, three days with trouble and a
// drawn one.
func write(t *testing.T, folder, name, command, site string, gate int, worth ...float64) {
	t.Helper()
	var days []string
	for i, g := range worth {
		days = append(days, fmt.Sprintf(`{"name":"trouble-%d","slot":"trouble","G":%g}`, i+1, g))
	}
	text := fmt.Sprintf(`{"id":"x","cmd":%q,"site":%q,"figures":{"gate":%d},"days":[{"name":"quiet-1","slot":"quiet","G":0.9},%s,{"name":"fresh-1","slot":"trouble","G":0.1}]}`, command, site, gate, strings.Join(days, ","))
	if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a score that is compared with the wrong entry, and against a fall
// or a broken rule that passes.
func TestLoad(t *testing.T) {
	for _, test := range []struct {
		desc   string
		gate   int
		worth  float64
		passed bool
	}{{"equal worth passes", 1, 0.8, true}, {"worth within the noise passes", 1, 0.775, true}, {"a fall beyond the noise fails", 1, 0.765, false}, {"a broken rule fails", 0, 0.9, false}} {
		Convey("In a comparison "+test.desc, t, func() {
			folder := t.TempDir()
			write(t, folder, "20260101T000000-a.json", "score", "s", 1, 0.5, 0.5, 0.5)
			write(t, folder, "20260102T000000-b.json", "score", "s", 1, 0.7, 0.8, 0.9)
			write(t, folder, "20260103T000000-c.json", "score", "s", 1, 0.1) // a quick score
			write(t, folder, "20260104T000000-d.json", "hunt", "s", 1, 0.1, 0.1, 0.1)
			write(t, folder, "20260105T000000-e.json", "score", "s", test.gate, test.worth, test.worth, test.worth)
			list, err := Load(folder, []string{"20260101T000000-a.json", "20260102T000000-b.json", "20260103T000000-c.json"})
			So(err, ShouldBeNil)
			So(list, ShouldHaveLength, 1)
			So(list[0].Passed(), ShouldEqual, test.passed)
			var table strings.Builder
			So(Write(&table, list), ShouldBeNil)
			So(table.String(), ShouldContainSubstring, "mean of 3 with trouble")
			So(table.String(), ShouldContainSubstring, fmt.Sprintf("%.3f  0.800", test.worth))
		})
	}
	Convey("A site without a committed score is judged by its rules alone", t, func() {
		folder := t.TempDir()
		write(t, folder, "20260105T000000-e.json", "score", "new", 1, 0.1)
		list, err := Load(folder, nil)
		So(err, ShouldBeNil)
		So(list[0].Passed(), ShouldBeTrue)
	})
	Convey("An entry that cannot be read is an error", t, func() {
		folder := t.TempDir()
		So(os.WriteFile(filepath.Join(folder, "20260101T000000-a.json"), []byte("{"), 0o600), ShouldBeNil)
		_, err := Load(folder, nil)
		So(err, ShouldNotBeNil)
	})
}
