package directive

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same verdict always

// sample is a table with a field of each kind; what was read goes into the map.
func sample(read map[string]string) *Table {
	keep := func(names ...string) func(v *Values) error {
		return func(v *Values) error {
			for _, name := range names {
				if v.Has(name) {
					read[name] = fmt.Sprint(strings.Join(v.List(name), ","), " ", v.Number(name, -1))
				}
			}
			if v.Text("name") == "wrong" {
				return v.Errorf("name", "is wrong here")
			}
			return nil
		}
	}
	return &Table{Name: "sample file", Directives: []*Directive{
		{Name: "hall", Args: []Field{{Name: "name", Kind: Name}}, Options: []Field{{Name: "most", Kind: Rate, Max: 1e6}, {Name: "spare", Kind: RateOrShare},
			{Name: "on", Kind: Names}, {Name: "alone", Kind: Flag}}, Example: "hall a most 5/s", Apply: keep("name", "most", "spare", "on", "alone")},
		{Name: "wait", Once: true, Args: []Field{{Name: "time", Kind: Duration, Min: 10, Max: 60_000}, {Name: "size", Kind: Size, Optional: true}}, Example: "wait 1s", Apply: keep("time", "size")},
		{Name: "set", Options: []Field{{Name: "share", Kind: Share}, {Name: "count", Kind: Count}, {Name: "number", Kind: Number, Min: -5}, {Name: "when", Kind: Timestamp},
			{Name: "switch", Kind: Switch}, {Name: "choice", Kind: Choice, Choices: []string{"running", "gone"}}, {Name: "at", Kind: Address}, {Name: "text", Kind: Text},
			{Name: "rates", Kind: NamedRates}, {Name: "must", Kind: Name, Required: true}}, Example: "set must x", Apply: keep("share", "count", "number", "when", "switch", "choice", "at", "text", "rates")},
	}}
}

func TestReads(t *testing.T) {
	read := map[string]string{}
	err := sample(read).Parse("f", "# all kinds\r\n\n"+
		"hall north-1 spare 10% most 90/min on a b \"c\" alone # the end\n"+
		"wait 250ms 1.5MB\n"+
		`set share 0.25 count 7 number -4.5 when 2026-12-01T10:00:00.5Z switch on choice gone at [::1]:80 text "a \"b\" # c" rates x=5/s y=6/min must m`+"\n")
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"name": "north-1 -1", "spare": "10% 0.1", "most": "90/min 1.5", "on": "a,b,c 0", "alone": "alone 1", "time": "250ms 250",
		"size": "1.5MB 1.572864e+06", "share": "0.25 0.25", "count": "7 7", "number": "-4.5 -4.5", "when": "2026-12-01T10:00:00.5Z 1.7961192005e+12", "switch": "on 1",
		"choice": "gone 1", "at": "[::1]:80 0", "text": `a "b" # c 0`, "rates": "x=5/s,y=6/min 5"} {
		if got := read[name]; got != want && name != "name" {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
}

// TestMessages is a corpus of lines that do not read: each has one message, at its place, that names the word.
func TestMessages(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"hal north", `f:1:1: "hal": is no directive of a sample file; did you mean hall?`},
		{`"hall" north`, `f:1:1: "hall": is no directive`},
		{"hall", `f:1:1: "hall": lacks its name; the form is: hall NAME [most RATE] [spare RATE|SHARE] [on ON ...] [alone]`},
		{"hall a/b", `f:1:6: "a/b": is no name`},
		{`hall ""`, `f:1:6: is no name`},
		{"hall a most 120", `f:1:13: "120": has no unit; write a rate as 120/s`},
		{"hall a most 120ms", `f:1:13: "120ms": has the unit "ms", which is none of /s /min /h`},
		{"hall a most -3/s", `f:1:13: "-3/s": may not be negative`},
		{"hall a most nan/s", `f:1:13: "nan/s": is not a rate; write it as 120/s`},
		{"hall a most inf", `f:1:13: "inf": is not a rate`},
		{"hall a most 1e9/s", `f:1:13: "1e9/s": has the unit "e9/s"`},
		{"hall a most 9000000/s", `f:1:13: "9000000/s": is more than 1000000/s, the most that may stand here`},
		{"hall a most " + strings.Repeat("9", 400) + "/s", "is too large a number"},
		{"hall a most", `f:1:8: "most": wants a rate such as 120/s behind it`},
		{"hall a most 1/s most 2/s", `f:1:17: "most": is given twice on this line`},
		{"hall a moost 1/s", `f:1:8: "moost": is one word too many or no option; the form is: hall NAME`},
		{"hall a moost 1/s", "did you mean most?"},
		{"hall a spare 110%", `f:1:14: "110%": is no share of a whole; it goes from 0% to 100%`},
		{"hall wrong", `f:1:6: "wrong": is wrong here`},
		{"wait 5ms", `f:1:6: "5ms": is less than 10ms, the least that may stand here`},
		{"wait 2min", `f:1:6: "2min": is more than 1min, the most`},
		{"wait 1s 3kb", `f:1:9: "3kb": has the unit "kb", which is none of B KB MB GB`},
		{"wait 1s\nwait 2s", `f:2:1: "wait": stands already at f:1:1; keep one of them`},
		{"set share 0.5", `f:1:1: "set": lacks "must"`},
		{"set must m share 1.5", `"1.5": is no share`},
		{"set must m count 2.5", `"2.5": is no whole number`},
		{"set must m number 0x10", `"0x10": is no number`},
		{"set must m number -6", `"-6": is less than -5`},
		{"set must m when yesterday", `"yesterday": is no moment; write it as 2026-12-01T10:00:00Z`},
		{"set must m switch yes", `"yes": is neither on nor off`},
		{"set must m choice runing", `"runing": is not running or gone; did you mean running?`}, //nolint:misspell // the typo that is hinted at
		{"set must m at localhost", `"localhost": is no address`},
		{"set must m at h:70000", `"h:70000": is no address`},
		{"set must m rates x", `"x": is no name with a rate; write it as s-01=60/s`},
		{"set must m rates x=5", `"x=5": has no unit`},
		{`hall "a`, `f:1:6: "\"a": has no closing quote on this line`},
		{`hall "a"b`, `f:1:9: "b": follows a quote`},
		{`hall a"b"`, `is a quote inside a word`},
		{"hall a\x00", "is a control character"},
		{"hall \xff", "f:1:1: is no UTF-8 text"},
		{"include", `f:1:1: "include": takes one file name`},
		{"include x", `f:1:9: "x": cannot be read`},
	} {
		var faults ErrorList
		if err := sample(map[string]string{}).ReadFrom("f", func(name string) ([]byte, error) {
			if name == "f" {
				return []byte(c.text), nil
			}
			return nil, os.ErrNotExist
		}, nil); !errors.As(err, &faults) || len(faults) != 1 || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v\nwant one message with %s", c.text, err, c.want)
		}
	}
	// A word in its place is no option, whatever it is called.
	read := map[string]string{}
	if err := sample(read).Parse("f", "hall most on alone b most 1/s alone"); err != nil || read["name"] != "most -1" && read["on"] != "alone,b 0" {
		t.Errorf("%v, %v", err, read)
	}
	// All mistakes are told, not the first alone.
	if err := sample(map[string]string{}).Parse("f", "hal\nwait\nset"); strings.Count(err.Error(), "\n") != 2 {
		t.Error(err)
	}
}

func TestInclude(t *testing.T) {
	files := map[string]string{"d/main": "include sub/a\ninclude \"sub/*.conf\"\ninclude none*\nhall z\n", "d/sub/a": "hall a", "d/sub/x.conf": "hall x", "d/sub/y.conf": "hall y",
		"d/circle": "include sub/c", "d/sub/c": "include ../circle", "d/deep": "include deep2", "d/deep2": "include deep3\nhall !"}
	var order []string
	table := sample(map[string]string{})
	table.Directives[0].Apply = func(v *Values) error { order = append(order, v.Text("name")); return nil }
	read := func(name string) ([]byte, error) {
		text, there := files[name]
		if !there {
			return nil, os.ErrNotExist
		}
		return []byte(text), nil
	}
	glob := func(pattern string) (names []string, err error) {
		for _, name := range []string{"d/sub/x.conf", "d/sub/y.conf"} {
			if ok, err := path.Match(pattern, name); ok || err != nil {
				names = append(names, name)
			}
		}
		return names, nil
	}
	if err := table.ReadFrom("d/main", read, glob); err != nil || strings.Join(order, "") != "axyz" {
		t.Errorf("%v, order %v", err, order)
	}
	if err := table.ReadFrom("d/circle", read, glob); err == nil || err.Error() !=
		`d/sub/c:1:9: "../circle": includes itself: d/circle > d/sub/c > d/circle; take one of these lines out` {
		t.Error(err)
	}
	if err := table.ReadFrom("d/deep", read, glob); err == nil || err.Error() !=
		"d/deep2:1:9: \"deep3\": cannot be read: file does not exist\nd/deep2:2:6: \"!\": is no name; names are made of letters, digits and . : _ + * @ -" {
		t.Error(err)
	}
	for i := range 20 {
		files[fmt.Sprint("d/n", i)] = fmt.Sprint("include n", i+1)
	}
	if err := table.ReadFrom("d/n0", read, glob); err == nil || !strings.Contains(err.Error(), "files deep") {
		t.Error(err)
	}
}

// TestQuote wants every text to read back as it was written.
func TestQuote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ -~äß"\\#']{1,12}`).Draw(t, "text")
		var got string
		table := &Table{Directives: []*Directive{{Name: "x", Args: []Field{{Name: "t", Kind: Text}}, Apply: func(v *Values) error { got = v.Text("t"); return nil }}}}
		if err := table.Parse("f", "x "+Quote(text)); err != nil || got != text {
			t.Fatalf("%q came back as %q: %v", text, got, err)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("hall a most 5/s on b c\nwait 1s\ninclude x")
	f.Add(`set must "m" text 'a\'b' rates x=1/s`)
	f.Fuzz(func(t *testing.T, text string) {
		var faults ErrorList
		if err := sample(map[string]string{}).Parse("f", text); err != nil && !errors.As(err, &faults) {
			t.Errorf("%v is no mistake with a place", err)
		}
		for _, one := range faults {
			if one.Line < 1 || one.Column < 1 || one.Message == "" {
				t.Errorf("%+v", one)
			}
		}
	})
}
