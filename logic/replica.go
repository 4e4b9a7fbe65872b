package logic

import (
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/logic/roundrobin"
	"yokeroute/logic/slowstart"
)

const (
	// outlierMargin is the amount by which a server's failure share has to exceed the lowest in its replica
	// set for the server to be an outlier.
	outlierMargin = 0.25
	// minSuccessesSinceLoss is the number of attempts that have to succeed at a server after it has lost one
	// before it gets non-idempotent requests again.
	minSuccessesSinceLoss = 10
	// maxInFlightLead is the number of attempts in flight beyond the fewest in its set above which a replica
	// is skipped.
	maxInFlightLead = 1.0
	// slowMultiple is the multiple of the lowest expected latency in its set above which a replica is
	// skipped.
	slowMultiple = 2.0
	// maxRequestsPerCall limits the requests of a round that share a call where a call has a cost. More of
	// them would queue up at the server.
	maxRequestsPerCall = 4

	noReplica   = -1
	neverChosen = -1.0
)

// replicaPicker chooses the replica for each attempt by round robin, or by weighted round robin where an
// operator has set weights, among the acceptable replicas: those that are usable and should not be skipped.
type replicaPicker struct {
	servers   *serverTable
	latencies *latencyEstimator
	slowStart *slowstart.Table
	random    *pcg.Source

	// loadsReported is set if load is judged by the servers' load reports and not by the attempts of this
	// gatherer that are in flight.
	loadsReported bool

	roundRobin []roundRobinState // state of plain round robin by replica set
	weighted   roundrobin.Weighted

	// leastFailure caches the lowest cautiousFailureShare of each replica set, computed in the round that
	// leastFailureRound holds.
	leastFailure      []float64
	leastFailureRound []uint64
	round             uint64
}

// roundRobinState is the state of the plain round robin of a replica set.
type roundRobinState struct {
	nextIndex int     // index of the next replica in serverTable.replicas
	server    int     // server that was chosen last
	chosenAt  float64 // time of the round in which it was chosen
	remaining int     // number of requests of the same round that may still share its call
}

// newReplicaPicker returns a picker that starts each replica set at a random replica, so that gatherers do
// not all start at the same one.
func newReplicaPicker(
	servers *serverTable, latencies *latencyEstimator, slow *slowstart.Table, random *pcg.Source,
	loadsReported bool,
) replicaPicker {
	sets := len(servers.replicas)
	p := replicaPicker{
		servers:           servers,
		latencies:         latencies,
		slowStart:         slow,
		random:            random,
		loadsReported:     loadsReported,
		roundRobin:        make([]roundRobinState, sets),
		leastFailure:      make([]float64, sets),
		leastFailureRound: make([]uint64, sets),
	}
	for i := range p.roundRobin {
		p.roundRobin[i] = roundRobinState{nextIndex: int(random.Uint32() >> 8), chosenAt: neverChosen}
	}
	p.endpointsChanged()
	return p
}

func (p *replicaPicker) startRound() { p.round++ }

func (p *replicaPicker) setWeights(weights [][]gather.Weight) {
	p.weighted.SetWeights(weights)
	p.endpointsChanged()
}

func (p *replicaPicker) endpointsChanged() {
	p.weighted.SetReplicas(p.servers.replicas, p.servers.id, p.random)
}

// next returns the replica for a request's next attempt, or noReplica. If every replica would be skipped, it
// returns the one that is expected to answer first.
func (p *replicaPicker) next(r *shardRequest, now float64) int {
	set := p.servers.replicaSet(r.Shard)
	acceptable := func(server int) bool { return p.usable(server, r, now) && !p.shouldSkip(server, r, now) }
	if s := &p.roundRobin[set]; s.chosenAt == now && s.remaining > 0 && acceptable(s.server) {
		return s.server
	}
	if server := p.weighted.Next(set, p.servers.inFlight, acceptable); server >= 0 {
		return server
	}
	return p.nextRoundRobin(set, r, now)
}

// nextRoundRobin goes through the replicas in turn: first those that are warming up and may be sent a
// request, which would otherwise stay idle behind the others, then all. A replica in another zone is returned
// only if none in this zone is acceptable.
func (p *replicaPicker) nextRoundRobin(set int, r *shardRequest, now float64) int {
	replicas := p.servers.replicas[set]
	scan := p.newScan(set, r, now)
	for i := range replicas {
		server := replicas[(p.roundRobin[set].nextIndex+i)%len(replicas)]
		if !p.usable(server, r, now) || p.slowStart.Share(server, now) == 1 {
			continue
		}
		if scan.consider(server, math.Inf(1)) {
			return server
		}
	}
	maxLatency := slowMultiple * p.leastLatency(set, r, now)
	for i := range replicas {
		server := replicas[(p.roundRobin[set].nextIndex+i)%len(replicas)]
		if p.usable(server, r, now) && scan.consider(server, maxLatency) {
			return server
		}
	}
	if scan.otherZone != noReplica {
		return scan.otherZone
	}
	return scan.fallback
}

// replicaScan is the state of one pass over the replicas of a set.
type replicaScan struct {
	picker         *replicaPicker
	request        *shardRequest
	now            float64
	fewestInFlight float64 // fewest attempts in flight at an acceptable replica
	otherZone      int     // first acceptable replica in another zone
	fallback       int     // usable replica with the lowest fallbackCost
	fallbackCost   float64 // expected latency, weighted by the attempts in flight and the success share
}

func (p *replicaPicker) newScan(set int, r *shardRequest, now float64) replicaScan {
	scan := replicaScan{
		picker:         p,
		request:        r,
		now:            now,
		fewestInFlight: math.Inf(1),
		otherZone:      noReplica,
		fallback:       noReplica,
		fallbackCost:   math.Inf(1),
	}
	for _, server := range p.servers.replicas[set] {
		if scan.fewestInFlight <= 0 {
			break
		}
		if p.usable(server, r, now) && !p.shouldSkip(server, r, now) {
			scan.fewestInFlight = min(scan.fewestInFlight, float64(p.servers.inFlight(server)))
		}
	}
	return scan
}

// consider reports whether a usable server is acceptable and in this zone. Otherwise it records the server as
// a candidate for otherZone or fallback.
func (s *replicaScan) consider(server int, maxLatency float64) bool {
	p := s.picker
	latency := p.latencies.expectedLatency(server, s.now)
	inFlight := float64(p.servers.inFlight(server))
	crowded := !p.loadsReported && inFlight > s.fewestInFlight+maxInFlightLead
	if latency <= maxLatency && !crowded && !p.shouldSkip(server, s.request, s.now) {
		if !p.servers.get(server).inOtherZone {
			return true
		}
		if s.otherZone == noReplica {
			s.otherZone = server
		}
	}
	// A server that rejects every request at once has a low s and nothing in flight. Dividing by its success
	// share keeps it from attracting all requests.
	cost := latency * (inFlight + 1) / p.servers.get(server).estimate.successShare
	if cost < s.fallbackCost {
		s.fallback = server
		s.fallbackCost = cost
	}
	return false
}

// leastLatency returns the lowest expected latency of the replicas that a request may be sent to.
func (p *replicaPicker) leastLatency(set int, r *shardRequest, now float64) float64 {
	least := math.Inf(1)
	for _, server := range p.servers.replicas[set] {
		if p.usable(server, r, now) {
			least = min(least, p.latencies.expectedLatency(server, now))
		}
	}
	return least
}

// usable reports whether a request may be sent to a server at all. A server that may have executed the
// request would only give the same result again. One that rejected it is tried again after every replica has
// had an attempt.
func (p *replicaPicker) usable(server int, r *shardRequest, now float64) bool {
	if r.query.Pass == gather.FirstPass && !p.servers.get(server).answersFirstPass {
		return false
	}
	for _, a := range r.attempts {
		if a.server == server && (!a.neverExecuted || p.hasUntriedReplica(r)) {
			return false
		}
	}
	return p.slowStart.MaySend(server, now)
}

// hasUntriedReplica reports whether a request has had fewer attempts than it has replicas.
func (p *replicaPicker) hasUntriedReplica(r *shardRequest) bool {
	return len(p.servers.replicas[p.servers.replicaSet(r.Shard)]) > len(r.attempts)
}

// shouldSkip reports whether a request should avoid a server: its last attempt is late; the first attempt
// that it was ever sent is in flight; it is an outlier; or the request cannot be sent again and the server
// has recently lost an attempt.
func (p *replicaPicker) shouldSkip(server int, r *shardRequest, now float64) bool {
	if last := p.servers.get(server).lastAttempt; last != nil && !last.ended {
		late := p.latencies.age(last, now) > lateMultiple*p.latencies.latency(server)
		if late || !p.loadsReported && p.latencies.records.Count(server) == 0 {
			return true
		}
	}
	if p.isOutlier(server, r) {
		return true
	}
	estimate := &p.servers.get(server).estimate
	return r.query.class.Effect == gather.NonIdempotent && estimate.successesSinceLoss < minSuccessesSinceLoss
}

// isOutlier reports whether a server's failure share stands out in its replica set. The server is compared
// with its set and not with the fleet: half of the fleet may be unreachable for this gatherer alone, and
// under overload all servers fail.
func (p *replicaPicker) isOutlier(server int, r *shardRequest) bool {
	set := p.servers.replicaSet(r.Shard)
	if p.leastFailureRound[set] != p.round { // the estimates do not change within a round
		p.leastFailureRound[set] = p.round
		p.leastFailure[set] = math.Inf(1)
		for _, other := range p.servers.replicas[set] {
			share := p.servers.get(other).estimate.cautiousFailureShare
			p.leastFailure[set] = min(p.leastFailure[set], share)
		}
	}
	return p.servers.get(server).estimate.cautiousFailureShare > outlierMargin+p.leastFailure[set]
}

// recordChoice records that a replica was chosen. Where a call has a cost, up to maxRequestsPerCall requests
// of one round are sent to it in the same call.
func (p *replicaPicker) recordChoice(set, server int, now float64, settings *gather.Settings) {
	p.weighted.RecordChoice(set, server)
	s := &p.roundRobin[set]
	if s.chosenAt == now && s.server == server {
		s.remaining--
		return
	}
	replicas := p.servers.replicas[set]
	*s = roundRobinState{
		nextIndex: (slices.Index(replicas, server) + 1) % len(replicas),
		server:    server,
		chosenAt:  now,
	}
	if settings.CallCost > 0 {
		s.remaining = min(maxRequestsPerCall, settings.RequestsPerCall) - 1
	}
}
