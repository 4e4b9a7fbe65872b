package rollout

// Verdict is what a decision comes to.
type Verdict int

// The verdicts.
const (
	Wait     Verdict = iota // something is in progress, or there is too little evidence
	Proceed                 // a stage is passed, or steps are to be started
	Stop                    // nothing is changed until an operator says so
	RollBack                // new gatherers are to be made old again
	Done                    // nothing is left to do
)

var verdictNames = [...]string{
	Wait:     "wait",
	Proceed:  "go on",
	Stop:     "stop",
	RollBack: "go back",
	Done:     "done",
}

// String is the verdict's name in status files and for operators.
func (v Verdict) String() string { return verdictNames[v] }

// Phase is a rollout's phase. Its text stands in journals and status files.
type Phase string

// The phases.
const (
	Baselining  Phase = "baseline" // the old are observed before anything is changed
	Updating    Phase = "changing" // gatherers of a stage are changed
	Evaluating  Phase = "judging"  // all of the stage serve as new and are observed
	Stopped     Phase = "stopped"
	RollingBack Phase = "going back"
	Completed   Phase = "ended"    // all stages are passed
	RolledBack  Phase = "restored" // all that could be reached are old again
)

// Final reports whether a rollout in this phase changes nothing any more unless an operator says so.
func (p Phase) Final() bool { return p == Completed || p == RolledBack || p == Stopped }

// Step is a change of one gatherer.
type Step struct {
	Gatherer int // by its index in the plan
	To       Variant
}

// Decision is what follows from an observation.
type Decision struct {
	Verdict Verdict
	Phase   Phase
	Stage   int
	Reason  string // for operators
	Steps   []Step // to start now
}

// Position is what of a decider outlasts its process. Evidence does not: a later controller observes again.
type Position struct {
	Phase  Phase
	Stage  int
	Reason string `json:"Why"` // of a stop or a rollback
}

// Strategy decides over a rollout. Decider is the one in service; experiments compare it with others.
type Strategy interface {
	// Decide returns what follows from an observation. It is called once an interval.
	Decide(o Observation) Decision
	// Position returns where the rollout is, for NewDecider of a later process.
	Position() Position
	// Command takes an operator's command: Stop, RollBack, or Proceed to resume.
	Command(v Verdict, reason string)
}
