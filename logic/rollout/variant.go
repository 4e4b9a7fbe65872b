package rollout

// Variant is which side of a rollout a gatherer serves as.
type Variant int

// The variants.
const (
	Unknown Variant = iota
	Old
	New
	Other // neither: another version, or files that the plan does not name
)

var variantNames = [...]string{Unknown: "unknown", Old: "old", New: "new", Other: "other"}

// String is the variant's name in status files and for operators.
func (v Variant) String() string { return variantNames[v] }

// BuildInfo identifies what a gatherer runs: fingerprints of its program and of the files in force, and its
// version. An empty field identifies nothing and matches everything.
type BuildInfo struct{ Program, Config, Operator, Version string }

// matches reports whether a gatherer that reports the given build has every field that b names.
func (b BuildInfo) matches(reported BuildInfo) bool {
	same := func(want, got string) bool { return want == "" || want == got }
	return same(b.Program, reported.Program) && same(b.Config, reported.Config) &&
		same(b.Operator, reported.Operator) && same(b.Version, reported.Version)
}

// Classify returns the variant of a gatherer from the build that it reports. A build that matches both sides
// counts as New, so that nothing is done to it; plans where that could happen are refused earlier.
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
// do if the process is another one than in the last report. They do not in the first report of a gatherer,
// or if the process has dropped the checkpoint that it was asked for: then they include an unknown past.
func Restarted(incarnation, previous string) bool { return previous != "" && incarnation != previous }
