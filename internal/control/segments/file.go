package segments

import (
	"fmt"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/ownership"
)

// mapFile is a map file being read.
type mapFile struct {
	epoch    uint64
	shards   int
	segments []ownership.Segment
	parsed   []*directive.Values
}

func (f *mapFile) directives() *directive.Table {
	return &directive.Table{Name: "map file", Intro: "Which hosts own which keys, for `segments FILE` in the operator's file and for `yokeroute segments`.", Directives: []*directive.Directive{
		{Name: "epoch", Once: true, Args: []directive.Field{{Name: "epoch", Kind: directive.Count, Min: 1, Max: 1 << 53, Help: "more than that of any map told before"}}, Help: "Which epoch it is.", Example: "epoch 7",
			Apply: func(v *directive.Values) error { f.epoch = uint64(v.Number("epoch", 0)); return nil }},
		{Name: "shards", Once: true, Args: []directive.Field{{Name: "shards", Kind: directive.Count, Min: 1, Max: 1 << 20, Help: "as clients number them"}},
			Help: "Into how many shards clients part the keys, evenly; the settings' number unless told. For showing alone.", Example: "shards 18",
			Apply: func(v *directive.Values) error { f.shards = int(v.Number("shards", 0)); return nil }},
		{Name: "segment", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{{Name: "keys", Kind: directive.Text, Required: true, Help: "the first and the last, in sixteen hex digits each"},
			{Name: "on", Kind: directive.Names, Help: "hosts that own it; the first is its writer. Without any its keys are unowned"}, {Name: "since", Kind: directive.Count, Max: 1 << 53, Help: "the epoch from which they do; this one unless told"}},
			Help: "A range of keys and who owns it.", Example: "segment a keys 0000000000000000-7fffffffffffffff on h-01 h-02",
			Apply: func(v *directive.Values) error {
				r, err := ownership.ParseRange(v.Text("keys"))
				if err != nil {
					return v.Errorf("keys", "%v", err)
				}
				f.segments = append(f.segments, ownership.Segment{Name: v.Text("name"), Range: r, Owners: v.List("on"), OwnedSince: uint64(v.Number("since", 0))})
				f.parsed = append(f.parsed, v)
				return nil
			}},
	}}
}

// MapReference is the page about map files.
func MapReference() string { return (&mapFile{}).directives().Reference() }

// ReadMap reads a map file; shards is 0 where it does not tell them.
func ReadMap(name string) (m *ownership.Map, shards int, err error) {
	f := &mapFile{}
	if err := f.directives().Read(name); err != nil {
		return nil, 0, err
	}
	return f.segmentMap(name)
}

// ParseMap reads the text of a map file.
func ParseMap(name, text string) (m *ownership.Map, shards int, err error) {
	f := &mapFile{}
	if err := f.directives().Parse(name, text); err != nil {
		return nil, 0, err
	}
	return f.segmentMap(name)
}

func (f *mapFile) segmentMap(name string) (*ownership.Map, int, error) {
	top := directive.Position{File: name, Line: 1, Column: 1}
	if f.epoch == 0 {
		return nil, 0, directive.ErrorList{{Position: top, Message: "lacks its epoch; write epoch NUMBER"}}
	}
	m, err := ownership.NewMap(f.epoch, f.segments)
	if err == nil {
		return m, f.shards, nil
	}
	// The fault is told at the segment that it names last, which is the later one.
	at := top
	for i, s := range f.segments {
		if strings.Contains(err.Error(), fmt.Sprintf("%q", s.Name)) {
			at = f.parsed[i].Position
		}
	}
	return nil, 0, directive.ErrorList{{Position: at, Message: err.Error()}}
}

// WriteMap writes a map as a file.
func WriteMap(m *ownership.Map, shards int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "epoch %d\n", m.Epoch)
	if shards > 0 {
		fmt.Fprintf(&b, "shards %d\n", shards)
	}
	for _, s := range m.Segments {
		fmt.Fprintf(&b, "segment %s keys %s", s.Name, s.Range.Text())
		if len(s.Owners) > 0 {
			fmt.Fprintf(&b, " on %s", strings.Join(s.Owners, " "))
		}
		if s.OwnedSince != m.Epoch {
			fmt.Fprintf(&b, " since %d", s.OwnedSince)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
