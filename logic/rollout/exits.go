package rollout

import "fmt"

// exitEvidence holds a stage's evidence that processes of new gatherers exit on their own more often than
// those of old gatherers.
type exitEvidence struct {
	ratio    likelihoodRatio
	newExits int // exits of new gatherers' processes
}

// suspicious reports whether the exits suggest, short of proof, that the new version is worse.
func (e *exitEvidence) suspicious() bool {
	return e.newExits > 0 && e.ratio.logValue > suspicionThreshold
}

// describe returns a note for operators about exits in the stage under observation, empty if they are not
// suspicious.
func (e *exitEvidence) describe() string {
	if !e.suspicious() {
		return ""
	}
	return fmt.Sprintf(" (processes of new gatherers that ended by themselves: %d)", e.newExits)
}

// addExit adds the exit of a process that was not caused by a step. While exits of new gatherers are
// suspicious, each further one restarts the stage's observation time, so that a program that keeps exiting
// does not pass the stage between two exits. By chance this happens rarely, and then it delays a stage by no
// more than its minimum observation time.
func (d *Decider) addExit(o *Observation, fromNew bool) {
	oldCount, newCount := o.countVariants()
	d.exits.ratio.update(float64(newCount)/float64(max(newCount+oldCount, 1)), fromNew)
	if !fromNew {
		return
	}
	d.exits.newExits++
	if d.exits.suspicious() && d.evaluatingSince > 0 {
		d.evaluatingSince = o.Now
	}
}
