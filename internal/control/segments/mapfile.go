package segments

import (
	"fmt"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/ownership"
)

// Bounds of what a map file may say.
const (
	maxEpoch  = 1 << 53
	maxShards = 1 << 20
)

// mapFile is a map file being read.
type mapFile struct {
	epoch      uint64
	shards     int
	segments   []ownership.Segment
	statements []*directive.Values // of the segments
}

func (f *mapFile) table() *directive.Table {
	return &directive.Table{
		Name: "map file",
		Intro: "Which hosts own which keys, for `segments FILE` in the operator's file " +
			"and for `yokeroute segments`.",
		Directives: []*directive.Directive{f.epochDirective(), f.shardsDirective(), f.segmentDirective()},
	}
}

func (f *mapFile) epochDirective() *directive.Directive {
	return &directive.Directive{
		Name: "epoch",
		Once: true,
		Args: []directive.Field{{
			Name: "epoch", Kind: directive.Count, Min: 1, Max: maxEpoch,
			Help: "more than that of any map told before",
		}},
		Help:    "Which epoch it is.",
		Example: "epoch 7",
		Apply: func(v *directive.Values) error {
			f.epoch = uint64(v.Number("epoch", 0))
			return nil
		},
	}
}

func (f *mapFile) shardsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "shards",
		Once: true,
		Args: []directive.Field{{
			Name: "shards", Kind: directive.Count, Min: 1, Max: maxShards,
			Help: "as clients number them",
		}},
		Help: "Into how many shards clients part the keys, evenly; the settings' number unless told. " +
			"For showing alone.",
		Example: "shards 18",
		Apply: func(v *directive.Values) error {
			f.shards = int(v.Number("shards", 0))
			return nil
		},
	}
}

func (f *mapFile) segmentDirective() *directive.Directive {
	return &directive.Directive{
		Name: "segment",
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{
				Name: "keys", Kind: directive.Text, Required: true,
				Help: "the first and the last, in sixteen hex digits each",
			},
			{
				Name: "on", Kind: directive.Names,
				Help: "hosts that own it; the first is its writer. Without any its keys are unowned",
			},
			{
				Name: "since", Kind: directive.Count, Max: maxEpoch,
				Help: "the epoch from which they do; this one unless told",
			},
		},
		Help:    "A range of keys and who owns it.",
		Example: "segment a keys 0000000000000000-7fffffffffffffff on h-01 h-02",
		Apply:   f.addSegment,
	}
}

func (f *mapFile) addSegment(v *directive.Values) error {
	keys, err := ownership.ParseRange(v.Text("keys"))
	if err != nil {
		return v.Errorf("keys", "%v", err)
	}
	f.segments = append(f.segments, ownership.Segment{
		Name:       v.Text("name"),
		Range:      keys,
		Owners:     v.List("on"),
		OwnedSince: uint64(v.Number("since", 0)),
	})
	f.statements = append(f.statements, v)
	return nil
}

// segmentMap is the map that a file holds. An error has the place of the segment that it names last.
func (f *mapFile) segmentMap(name string) (*ownership.Map, int, error) {
	place := directive.Position{File: name, Line: 1, Column: 1}
	if f.epoch == 0 {
		return nil, 0, directive.ErrorList{{Position: place, Message: "lacks its epoch; write epoch NUMBER"}}
	}
	m, err := ownership.NewMap(f.epoch, f.segments)
	if err == nil {
		return m, f.shards, nil
	}
	for i, s := range f.segments {
		if strings.Contains(err.Error(), fmt.Sprintf("%q", s.Name)) {
			place = f.statements[i].Position
		}
	}
	return nil, 0, directive.ErrorList{{Position: place, Message: err.Error()}}
}

// MapReference is the reference page of map files.
func MapReference() string { return (&mapFile{}).table().Reference() }

// ReadMap reads a map file. The number of shards is 0 where the file has none.
func ReadMap(name string) (m *ownership.Map, shards int, err error) {
	f := &mapFile{}
	if err := f.table().Read(name); err != nil {
		return nil, 0, err
	}
	return f.segmentMap(name)
}

// ParseMap reads the text of a map file. The name is for errors.
func ParseMap(name, text string) (m *ownership.Map, shards int, err error) {
	f := &mapFile{}
	if err := f.table().Parse(name, text); err != nil {
		return nil, 0, err
	}
	return f.segmentMap(name)
}

// FormatMap is the text of a map file, without shards where they are 0.
func FormatMap(m *ownership.Map, shards int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "epoch %d\n", m.Epoch)
	if shards > 0 {
		fmt.Fprintf(&b, "shards %d\n", shards)
	}
	for _, s := range m.Segments {
		fmt.Fprintf(&b, "segment %s keys %s", s.Name, s.Text())
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
