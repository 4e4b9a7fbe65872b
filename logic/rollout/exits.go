package rollout

import "fmt"

// exitEvidence is a stage's evidence that new gatherers' processes end by themselves more often than the old
// ones'.
type exitEvidence struct {
	ratio likelihoodRatio
	ofNew int // how many of the new have ended
}

// suspicious reports whether the new look worse, unproved.
func (e *exitEvidence) suspicious() bool { return e.ofNew > 0 && e.ratio.logValue > suspicionBar }

// describe is what operators read of it while a stage is watched, empty where nothing is suspicious.
func (e *exitEvidence) describe() string {
	if !e.suspicious() {
		return ""
	}
	return fmt.Sprintf(" (processes of the new that ended by themselves: %d)", e.ofNew)
}

// addExit adds the end of a process that no step has ended. While the new look worse by it, each end of
// theirs starts the stage's observation anew: a program that ends again and again is not passed between two
// ends. By chance this is rare, and costs a stage no more than its least observation.
func (d *Decider) addExit(o *Observation, ofNew bool) {
	olds, news := o.countVariants()
	d.exits.ratio.update(float64(news)/float64(max(news+olds, 1)), ofNew)
	if !ofNew {
		return
	}
	d.exits.ofNew++
	if d.exits.suspicious() && d.evaluatingSince > 0 {
		d.evaluatingSince = o.Now
	}
}
