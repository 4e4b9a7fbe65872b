package rollout

import "math"

// betSizes are the sizes of the mixture's bets, in standard deviations of a step. Small ones find a small
// harm over a long time, large ones a large harm at once.
var betSizes = [...]float64{0.25, 0.5, 1, 2}

// maxStep caps a single step, in standard deviations, so that one odd interval does not decide alone. A
// capped gain keeps the supermartingale property.
const maxStep = 3.0

// eProcess is the evidence against a hypothesis: an e-process, also called a test martingale, as logarithms
// by size of bet. Under the hypothesis its value is a nonnegative supermartingale that starts at 1, so that
// it ever reaches 1/a with a probability of a at most (Ville's inequality). The test stays valid however
// often it is looked at.
//
// The bets are a mixture over their size (H. Robbins, "Statistical methods related to the law of the
// iterated logarithm", 1970), as R. Johari, L. Pekelis and D. Walsh use it to compare two versions ("Always
// valid inference", 2015); S. Howard, A. Ramdas, J. McAuliffe and J. Sekhon bound it for sub-Gaussian steps
// ("Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021). That steps are sub-Gaussian,
// with the deviation that the baseline showed, is an assumption.
type eProcess [len(betSizes)]float64

// update adds an interval: by how many standard deviations it lay on the far side of the hypothesis.
func (e *eProcess) update(z float64) {
	z = min(z, maxStep)
	for i, size := range betSizes {
		e[i] += size*z - size*size/2
	}
}

// logValue is the logarithm of the mixture's value.
func (e *eProcess) logValue() float64 {
	greatest := math.Inf(-1)
	for _, l := range e {
		greatest = max(greatest, l)
	}
	sum := 0.0
	for _, l := range e {
		sum += math.Exp(l - greatest)
	}
	return greatest + math.Log(sum/float64(len(e)))
}

// likelihoodRatio is the evidence that events fall on the new more often than by their share of the time:
// the log likelihood ratio of alternativeRate against chance.
type likelihoodRatio struct{ logValue float64 }

// alternativeRate is how many times the old ones' rate the new ones' is under the alternative.
const alternativeRate = 5.0

// update adds an event. Share is the new ones' part of the time served, onNew whether the event fell on a
// new one.
func (r *likelihoodRatio) update(share float64, onNew bool) {
	if share <= 0 || share >= 1 {
		return
	}
	alternative := alternativeRate * share / (alternativeRate*share + 1 - share)
	if onNew {
		r.logValue += math.Log(alternative / share)
	} else {
		r.logValue += math.Log((1 - alternative) / (1 - share))
	}
}
