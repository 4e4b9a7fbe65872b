package rollout

import "math"

// betSizes lists the sizes of the mixture's bets, in standard deviations of one interval's difference. Small
// bets detect a small harm after a long time, large bets detect a large harm at once.
var betSizes = [...]float64{0.25, 0.5, 1, 2}

// maxIncrement caps the difference that a single interval adds, in standard deviations, so that one outlying
// interval does not decide alone. Capping gains preserves the supermartingale property.
const maxIncrement = 3.0

// eProcess holds the evidence against a hypothesis as an e-process, also called a test martingale: the
// logarithm of its value for each bet size. Under the hypothesis the value is a nonnegative supermartingale
// that starts at 1, so the probability that it ever reaches 1/a is at most a (Ville's inequality). The test
// therefore stays valid however often its value is inspected.
//
// The bets are a mixture over their size (H. Robbins, "Statistical methods related to the law of the
// iterated logarithm", 1970), as R. Johari, L. Pekelis and D. Walsh use it to compare two versions ("Always
// valid inference", 2015); S. Howard, A. Ramdas, J. McAuliffe and J. Sekhon bound it for sub-Gaussian
// increments ("Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021). It is an assumption
// that increments are sub-Gaussian with the standard deviation that the baseline showed.
type eProcess [len(betSizes)]float64

// update adds an interval. z is the number of standard deviations by which its difference contradicts the
// hypothesis, negative if it agrees.
func (e *eProcess) update(z float64) {
	z = min(z, maxIncrement)
	for i, size := range betSizes {
		e[i] += size*z - size*size/2
	}
}

// logValue returns the logarithm of the mixture's value.
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

// likelihoodRatio holds the evidence that events occur on new gatherers more often than their share of the
// serving time explains: the log likelihood ratio of alternativeRate against equal rates.
type likelihoodRatio struct{ logValue float64 }

// alternativeRate is the new gatherers' rate of events under the alternative, as a multiple of the old ones'.
const alternativeRate = 5.0

// update adds an event. share is the new gatherers' share of the serving time; onNew tells whether the event
// occurred on a new gatherer.
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
