package segments

import (
	"fmt"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/ownership"
)

// Upper limits of the numbers in a map file.
const (
	maxEpoch  = 1 << 53
	maxShards = 1 << 20
)

// mapFile collects the values of a map file while it is parsed.
type mapFile struct {
	epoch        uint64
	shards       int
	segments     []ownership.Segment
	segmentLines []*directive.Values // parsed segment directives, one for each of segments
}

func (f *mapFile) table() *directive.Table {
	return &directive.Table{
		Name: "map file",
		Intro: "A map file lists which hosts own which keys. It is used by `segments FILE` in the operator's file " +
			"and by `yokeroute segments`.",
		Directives: []*directive.Directive{f.epochDirective(), f.shardsDirective(), f.segmentDirective()},
	}
}

func (f *mapFile) epochDirective() *directive.Directive {
	return &directive.Directive{
		Name: "epoch",
		Once: true,
		Args: []directive.Field{{
			Name: "epoch", Kind: directive.Count, Min: 1, Max: maxEpoch,
			Help: "has to exceed that of every earlier map",
		}},
		Help:    "Epoch of the map.",
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
			Help: "number of shards, as clients number them",
		}},
		Help: "Number of equal shards into which clients divide the keys. Default: the number in the settings. " +
			"Used for display only.",
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
				Help: "first and last key, sixteen hex digits each",
			},
			{
				Name: "on", Kind: directive.Names,
				Help: "hosts that own it; the first is its writer. Default: none, its keys are unowned",
			},
			{
				Name: "since", Kind: directive.Count, Max: maxEpoch,
				Help: "epoch since which these hosts own it; default: the map's epoch",
			},
		},
		Help:    "A range of keys and the hosts that own it.",
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
	f.segmentLines = append(f.segmentLines, v)
	return nil
}

// segmentMap returns the map and the number of shards that the file defines. An error has the position of the last
// segment in the file that it names, or that of the file's start if it names none.
func (f *mapFile) segmentMap(name string) (*ownership.Map, int, error) {
	position := directive.Position{File: name, Line: 1, Column: 1}
	if f.epoch == 0 {
		return nil, 0, directive.ErrorList{{Position: position, Message: "lacks its epoch; write epoch NUMBER"}}
	}
	m, err := ownership.NewMap(f.epoch, f.segments)
	if err == nil {
		return m, f.shards, nil
	}
	for i, s := range f.segments {
		if strings.Contains(err.Error(), fmt.Sprintf("%q", s.Name)) {
			position = f.segmentLines[i].Position
		}
	}
	return nil, 0, directive.ErrorList{{Position: position, Message: err.Error()}}
}

// MapReference returns the operators' reference page on map files.
func MapReference() string { return (&mapFile{}).table().Reference() }

// ReadMap reads a map file. The number of shards is 0 if the file does not set it.
func ReadMap(name string) (m *ownership.Map, shards int, err error) {
	f := &mapFile{}
	if err := f.table().Read(name); err != nil {
		return nil, 0, err
	}
	return f.segmentMap(name)
}

// ParseMap parses the text of a map file. The name is used in errors only.
func ParseMap(name, text string) (m *ownership.Map, shards int, err error) {
	f := &mapFile{}
	if err := f.table().Parse(name, text); err != nil {
		return nil, 0, err
	}
	return f.segmentMap(name)
}

// FormatMap returns the map as the text of a map file. It omits the shards directive if shards is 0.
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
