package settings

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type section struct {
	Listen string        `ini:"listen" default:"127.0.0.1:80" check:"hostport"`
	Wait   time.Duration `ini:"wait" default:"3s" min:"0s" max:"5m"`
	Count  int           `ini:"count" default:"4" min:"1" max:"9"`
	Key    string        `ini:"key" required:"true" secret:"true"`
	Peers  []string      `ini:"peers"`
}

func bind(text string, env map[string]string, overrides ...string) (section, error) {
	var s section
	src, err := Parse("test.ini", []byte(text), overrides)
	if err != nil {
		return s, err
	}
	src.env = func(k string) (string, bool) { v, ok := env[k]; return v, ok }
	return s, src.Bind(map[string]any{"part": &s})
}

// Guards against settings that are silently ignored, and against a wrong order
// of precedence.
func TestBind(t *testing.T) {
	Convey("Defaults, the file, the environment and flags apply in increasing precedence", t, func() {
		text := "[part]\nkey = k\nwait = 1s\ncount = 2\npeers = a, b\n"
		s, err := bind(text, map[string]string{"AUBURNLEAD_PART_COUNT": "5", "AUBURNLEAD_PART_WAIT": "2s"}, "part.wait=4s")
		So(err, ShouldBeNil)
		So(s, ShouldResemble, section{"127.0.0.1:80", 4 * time.Second, 5, "k", []string{"a", "b"}})
	})
	Convey("Every problem is reported at once, with allowed values and remedy", t, func() {
		text := "[part]\nlisten = localhost:80\nwait = 6m\ncount = x\ncuont = 1\n[prat]\na = b\n"
		_, err := bind(text, nil, "part.nokey=1")
		var e *Error
		So(errors.As(err, &e), ShouldBeTrue)
		var keys []string
		for _, p := range e.Problems {
			So(p.Remedy, ShouldNotBeEmpty)
			keys = append(keys, p.Section+"."+p.Key)
		}
		So(keys, ShouldResemble, []string{"part.listen", "part.wait", "part.count", "part.key", "part.cuont", "prat.", "part.nokey."})
		So(err.Error(), ShouldContainSubstring, "allowed: 0s to 5m")
	})
}

// Guards against a settings file that crashes a process, and against a value outside
// of its range that is used.
func FuzzParse(f *testing.F) {
	f.Add("[part]\nkey = k\nwait = 1s\ncount = 2\npeers = a, b\n")
	f.Add("[part]\nkey =\nlisten = {{limits.a}}\ncount =\n")
	f.Add("[part\n=\n\x00[x]\nwait = 99999999999999h")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := bind(text, nil)
		if err != nil {
			return
		}
		if s.Key == "" || s.Count < 1 || s.Count > 9 || s.Wait < 0 || s.Wait > 5*time.Minute || s.Listen == "" {
			t.Fatalf("%q was accepted as %+v", text, s)
		}
	})
}

// Guards against a bound that a template leaves empty and that then counts as 0.
func TestEmptyValue(t *testing.T) {
	Convey("An empty value in the file counts as no value", t, func() {
		s, err := bind("[part]\nkey = k\ncount =\nwait =\nlisten =\n", nil)
		So(err, ShouldBeNil)
		So(s, ShouldResemble, section{"127.0.0.1:80", 3 * time.Second, 4, "k", nil})
		_, err = bind("[part]\nkey =\n", nil)
		So(err, ShouldNotBeNil)
	})
}
