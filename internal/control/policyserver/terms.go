// Package steward is one of the few processes that agree on the policies of a fleet. What they agree on is a log, by
// hashicorp/raft over bbolt; what is done with it is decided by logic/policy; gatherers and operators ask over HTTP. A
// gatherer votes on nothing, and none waits for a steward to answer a lookup.
package policyserver

import (
	"fmt"
	"slices"

	"yokeroute/internal/config/directive"
)

// Peer is a steward as this one reaches it.
type Peer struct{ Name, Raft, HTTP string }

// Terms are a steward's file.
type Terms struct {
	Name   string
	Folder string // of what lasts
	Listen string // for gatherers and operators
	Raft   string // for the other stewards
	Peers  []Peer // all stewards, this one among them
	Lease  float64
	Limit  float64
	Begins uint64  // number before the first change, of a record that is made anew
	Joins  bool    // it is taken in by those that are there, and begins no log of its own
	Beat   float64 // milliseconds between heartbeats; an election begins after some ten of them unheard
}

// Directives are the file's, for reading and for the reference page.
func (t *Terms) Directives() *directive.Table {
	return &directive.Table{Name: "steward's file", Intro: "What one steward of a fleet's policies needs to know: `yokeroute steward FILE`. Each has a file of its own; three stewards bear the loss of one, five of two.", Directives: []*directive.Directive{
		{Name: "steward", Once: true, Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{{Name: "in", Kind: directive.Text, Required: true, Help: "folder on a lasting disk"},
			{Name: "listen", Kind: directive.Address, Required: true, Help: "for gatherers and operators; whoever reaches it may change policies"}, {Name: "raft", Kind: directive.Address, Required: true, Help: "for the other stewards"}},
			Help: "Names the steward.", Example: "steward s1 in steward-s1 listen 127.0.0.1:8700 raft 127.0.0.1:8701",
			Apply: func(v *directive.Values) error {
				t.Name, t.Folder, t.Listen, t.Raft = v.Text("name"), v.RelativePath("in"), v.Text("listen"), v.Text("raft")
				return nil
			}},
		{Name: "peer", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{{Name: "raft", Kind: directive.Address, Required: true, Help: "where this steward reaches it"}, {Name: "http", Kind: directive.Address, Required: true, Help: "the same, for what stewards ask each other beside their log"}},
			Help: "A steward of the fleet. All of them stand in each file, this one as well; who they are is settled at the first start.", Example: "peer s2 raft 127.0.0.1:8711 http 127.0.0.1:8710",
			Apply: func(v *directive.Values) error {
				if slices.ContainsFunc(t.Peers, func(p Peer) bool { return p.Name == v.Text("name") }) {
					return v.Errorf("name", "is given twice; keep one of these lines")
				}
				t.Peers = append(t.Peers, Peer{v.Text("name"), v.Text("raft"), v.Text("http")})
				return nil
			}},
		{Name: "lease", Once: true, Args: []directive.Field{{Name: "time", Kind: directive.Duration, Min: 200, Max: 600_000}}, Options: []directive.Field{{Name: "limit", Kind: directive.Duration, Min: 200, Help: "after which a change that not all have prepared is given up; 60s"}},
			Help: "For how long a gatherer goes by what it has heard, 10s unless told: one that is cut off acts within its floor after it, and a change waits for one that is away as long.", Example: "lease 10s limit 1min",
			Apply: func(v *directive.Values) error {
				t.Lease, t.Limit = v.Number("time", 10_000), v.Number("limit", 60_000)
				return nil
			}},
		{Name: "beat", Once: true, Args: []directive.Field{{Name: "time", Kind: directive.Duration, Min: 5, Max: 10_000}},
			Help: "Between two heartbeats of the steward that leads, 100ms unless told; after ten of them unheard another is elected.", Example: "beat 100ms",
			Apply: func(v *directive.Values) error { t.Beat = v.Number("time", 100); return nil }},
		{Name: "joins", Once: true, Help: "This steward is new among others that run: it begins no log, and waits until `yokeroute policy steward add` takes it in.", Example: "joins",
			Apply: func(*directive.Values) error { t.Joins = true; return nil }},
		{Name: "begins", Once: true, Args: []directive.Field{{Name: "number", Kind: directive.Count}},
			Help: "Number before the first change of a record that is made anew because the old one is lost: above every number that a gatherer has heard, since none goes back.", Example: "begins 1000",
			Apply: func(v *directive.Values) error { t.Begins = uint64(v.Number("number", 0)); return nil }},
	}}
}

// Read reads a steward's file.
func Read(file string) (*Terms, error) {
	t := &Terms{Lease: 10_000, Limit: 60_000, Beat: 100}
	if err := t.Directives().Read(file); err != nil {
		return nil, err
	}
	switch {
	case t.Name == "":
		return nil, fmt.Errorf("%s:1:1: has no line that names it; write steward NAME in FOLDER listen ADDRESS raft ADDRESS", file)
	case !slices.ContainsFunc(t.Peers, func(p Peer) bool { return p.Name == t.Name }):
		return nil, fmt.Errorf("%s:1:1: steward %s is not among the peers; write a peer line for it as for the others", file, t.Name)
	case len(t.Peers)%2 == 0:
		return nil, fmt.Errorf("%s:1:1: names %d stewards; an even number bears no more losses than one less", file, len(t.Peers))
	case t.Lease < 10*t.Beat:
		return nil, fmt.Errorf("%s:1:1: a lease of %g ms is too short for heartbeats of %g ms: ten of them at least", file, t.Lease, t.Beat)
	}
	return t, nil
}

// Reference is the page of the file's words.
func Reference() string { return (&Terms{}).Directives().Reference() }
