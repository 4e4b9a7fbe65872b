package rollout

import "math"

// A test that stays valid however often it is looked at. Under the hypothesis that it is held against,
// wealth is a nonnegative supermartingale that starts at 1, so that it ever reaches 1/a with a chance of a
// at most (Ville, 1939); it may be looked at after each interval, for as long as one likes. The bets are a
// mixture over their size, as H. Robbins made them ("Statistical methods related to the law of the iterated
// logarithm", 1970), used for comparing two versions by R. Johari, L. Pekelis and D. Walsh ("Always valid
// inference", 2015) and bounded for sub-Gaussian steps by S. Howard, A. Ramdas, J. McAuliffe and J. Sekhon
// ("Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021). Steps are sub-Gaussian here by
// their spread as the baseline showed it, which is an assumption; what it comes to is measured on emulated
// rollouts.

// betSizes of bets, in standard deviations of a step. Small ones find small harm over a long time, large ones
// large harm at once.
var betSizes = [...]float64{0.25, 0.5, 1, 2}

// maxStep is what a single step may count, in standard deviations, against one odd interval deciding alone.
// Cutting a gain off keeps the wealth a supermartingale.
const maxStep = 3.0

// eProcess is the evidence against a hypothesis, as logarithms by size of bet.
type eProcess [len(betSizes)]float64

// update takes one interval in: by how many standard deviations it lay on the far side of the hypothesis.
func (w *eProcess) update(z float64) {
	z = min(z, maxStep)
	for i, size := range betSizes {
		w[i] += size*z - size*size/2
	}
}

// logValue is the logarithm of the mixture's wealth.
func (w *eProcess) logValue() float64 {
	most := math.Inf(-1)
	for _, l := range w {
		most = max(most, l)
	}
	sum := 0.0
	for _, l := range w {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(w)))
}

// likelihoodRatio is the evidence that events fall on the new more often than their share of the time says: a
// likelihood ratio against chance, for a rate so many times the old ones'.
type likelihoodRatio struct{ logValue float64 }

const alternativeRate = 5.0

// update takes one event in; share is the new ones' part of the time served, onNew whether it fell on a new
// one.
func (o *likelihoodRatio) update(share float64, onNew bool) {
	if share <= 0 || share >= 1 {
		return
	}
	worse := alternativeRate * share / (alternativeRate*share + 1 - share)
	if onNew {
		o.logValue += math.Log(worse / share)
	} else {
		o.logValue += math.Log((1 - worse) / (1 - share))
	}
}
