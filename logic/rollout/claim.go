package rollout

// Claim is who may change a gatherer, until when by the gatherer's clock in Unix milliseconds.
type Claim struct {
	RunID        string  `json:"run"`
	FencingToken uint64  `json:"fence"` // of the run's controllers, each later one's is higher
	ExpiresAt    float64 `json:"until"`
}

// Grant decides over a claim: held is the one that the gatherer knows, nil for none. It gives who holds the
// gatherer from now on, and whether that is who asked. Another run is refused while the one before it may
// still be at work, and so is a controller of the same run after a later one has come: it was taken for
// dead, and must not change anything.
func Grant(held *Claim, asked Claim, now float64) (Claim, bool) {
	if held != nil && held.ExpiresAt > now && (held.RunID != asked.RunID || held.FencingToken > asked.FencingToken) {
		return *held, false
	}
	return asked, true
}

// Release reports whether a claim that is given back frees a gatherer: by its own run, and by its newest
// controller or a later one.
func Release(held *Claim, run string, fence uint64) bool {
	return held != nil && held.RunID == run && held.FencingToken <= fence
}

// BuildInfo are what tells gatherers of one side from those of the other: fingerprints of the program and of
// files in force, and a version. An empty mark tells nothing.
type BuildInfo struct{ Program, Config, Operator, Version string }

// matches reports whether a gatherer tells all that the marks ask for.
func (m BuildInfo) matches(told BuildInfo) bool {
	one := func(want, is string) bool { return want == "" || want == is }
	return one(m.Program, told.Program) && one(m.Config, told.Config) && one(m.Operator, told.Operator) &&
		one(m.Version, told.Version)
}

// Classify is what a gatherer serves as, by what it tells. One that fits both sides, which a check of the plan
// refuses, would count as new: it would be left alone.
func Classify(older, newer, told BuildInfo) Variant {
	switch {
	case newer.matches(told):
		return New
	case older.matches(told):
		return Old
	}
	return Other
}

// Restarted says what to make of counts since a process' start, which a gatherer tells where it does not know
// the mark that it was asked with: they are an interval's if the process is another one than the last time,
// and nothing if this is the first time that it is heard of, or if its marks were forgotten: what they hold
// of before can't be told apart.
func Restarted(process, before string) bool { return before != "" && process != before }
