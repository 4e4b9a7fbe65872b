package rollout

// Verdict is the kind of a decision.
type Verdict int

// The verdicts.
const (
	Wait     Verdict = iota // something is in progress, or there is too little evidence
	Proceed                 // a stage is passed, or steps are to be started
	Stop                    // nothing is changed until an operator resumes the rollout or rolls it back
	RollBack                // new gatherers are to be changed back to old
	Done                    // nothing is left to do
)

var verdictNames = [...]string{
	Wait:     "wait",
	Proceed:  "go on",
	Stop:     "stop",
	RollBack: "go back",
	Done:     "done",
}

// String returns the verdict's name in status files and for operators.
func (v Verdict) String() string { return verdictNames[v] }

// Phase is a rollout's phase. Journals and status files store its text.
type Phase string

// The phases.
const (
	Baselining  Phase = "baseline" // old gatherers are observed before the first change
	Updating    Phase = "changing" // gatherers of the stage are being changed
	Evaluating  Phase = "judging"  // all gatherers of the stage serve as new and are observed
	Stopped     Phase = "stopped"
	RollingBack Phase = "going back"
	Completed   Phase = "ended"    // all stages are passed
	RolledBack  Phase = "restored" // all gatherers are old again
)

// Final reports whether a rollout in this phase changes nothing more without an operator's command.
func (p Phase) Final() bool { return p == Completed || p == RolledBack || p == Stopped }

// Step is the change of one gatherer to a variant.
type Step struct {
	Gatherer int // index in Plan.Gatherers
	To       Variant
}

// Decision is what a strategy decides after an observation.
type Decision struct {
	Verdict Verdict
	Phase   Phase
	Stage   int
	Reason  string // for operators
	Steps   []Step // that the caller starts now
}

// Position is the part of a decider's state that survives its process. Evidence does not survive: a later
// controller observes again.
type Position struct {
	Phase  Phase
	Stage  int
	Reason string `json:"Why"` // why the rollout was stopped or rolled back
}

// Strategy makes the decisions of a rollout. Controllers use Decider; experiments compare it with others.
type Strategy interface {
	// Decide returns the decision after an observation. It is called once per interval.
	Decide(o Observation) Decision
	// Position returns the state that a later process passes to NewDecider.
	Position() Position
	// Command applies an operator's command: Stop, RollBack, or Proceed to resume.
	Command(v Verdict, reason string)
}
