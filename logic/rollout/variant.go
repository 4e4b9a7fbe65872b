package rollout

// Variant is the version, old or new, that a gatherer serves as in a rollout.
type Variant int

// The variants.
const (
	Unknown Variant = iota
	Old
	New
	Other // neither: another version, or files that the plan does not name
)

var variantNames = [...]string{Unknown: "unknown", Old: "old", New: "new", Other: "other"}

// String returns the variant's name in status files and for operators.
func (v Variant) String() string { return variantNames[v] }

// BuildInfo identifies what a gatherer runs: the fingerprints of its program and of the files in effect, and
// its version. An empty field matches everything.
type BuildInfo struct{ Program, Config, Operator, Version string }

// matches reports whether the reported build agrees with every field that b sets.
func (b BuildInfo) matches(reported BuildInfo) bool {
	same := func(want, got string) bool { return want == "" || want == got }
	return same(b.Program, reported.Program) && same(b.Config, reported.Config) &&
		same(b.Operator, reported.Operator) && same(b.Version, reported.Version)
}

// Classify returns the variant of a gatherer that reports a build. A build that matches both the old and the
// new one counts as New, so that the gatherer is not changed; plans that permit this are rejected earlier.
func Classify(oldBuild, newBuild, reported BuildInfo) Variant {
	switch {
	case newBuild.matches(reported):
		return New
	case oldBuild.matches(reported):
		return Old
	}
	return Other
}

// Restarted reports whether a gatherer's counts since its process started cover the last interval only. They
// do if the process differs from that of the previous report. They don't in the first report of a gatherer,
// or if the process has dropped the checkpoint that it was asked for: then they include an unknown past.
func Restarted(incarnation, previous string) bool { return previous != "" && incarnation != previous }
