// Package handout decides what one proxy's stream is sent next, of views that change.
//
// It decides for the state-of-the-world and the incremental form of the published discovery protocol: which
// type goes next, at which version, what is left out because the proxy has it, what its acknowledgements
// and refusals come to. Views of hosts that drain go ahead of everything else; what makes comes before what
// breaks: a type that names another's resources is sent after it, and what goes is taken away only when
// nothing names it any more. It holds no queue: what is sent is cut from the newest view when it is sent, so
// that a slow reader holds up nobody and grows nothing. It may never send half a view of a type, nor an
// older view than one that it sent, nor one that nobody has confirmed to a proxy that holds another; these
// would break drains (rule 3). Free of I/O.
package handout

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Type is a type of resources, in the order in which they make each other.
type Type int

// The types: clusters, their endpoints, listeners, their routes.
const (
	Clusters Type = iota
	Endpoints
	Listeners
	Routes
	TypeCount // how many there are
)

// referencedBy is the type whose resources name those of a type, so that these have to go first.
var referencedBy = [TypeCount]Type{Clusters: Routes, Endpoints: Clusters, Listeners: TypeCount, Routes: Listeners}

// requiresAll reports whether a state-of-the-world response has to hold all resources of the type, since what it
// lacks is taken away. Of the others a response may hold what has changed alone.
func (t Type) requiresAll() bool { return t == Clusters || t == Listeners }

// Resource is one resource of a view; its body is the sender's own.
type Resource struct {
	Name    string
	Version string // of its body; the same body has the same version
	Urgent  uint64 // of endpoints: the newest version that tells something which has to go ahead of all else
	Body    any
}

// View is all that a proxy may see, at a version that grows with each change.
type View struct {
	Version     uint64
	Urgent      uint64 // the newest of its endpoints'
	Unconfirmed bool   // it was kept from before and may be old: better than nothing, and than nothing else
	Types       [TypeCount][]Resource
}

// Request is what a proxy says on its stream.
type Request struct {
	Type            Type
	Nonce           string   // of the response that it answers, empty for none
	Version         string   // that it holds, state of the world
	RejectReason    string   // rejectReason it does not take that response, empty where it does
	Names           []string // state of the world: all that it wants; none at first, or *, is everything
	Subscribe       []string // incremental
	Unsubscribe     []string
	InitialVersions map[string]string // incremental, at first: versions by name that it holds from before
}

// Response is what it is sent.
type Response struct {
	Type      Type
	Nonce     string
	Version   string
	Resources []Resource
	Removed   []string // incremental
}

// The tuned values. Times are milliseconds.
const (
	maxRejections  = 3        // in a row, after which a type rests before it is sent again,
	minPause       = 200.0    // for so long, and twice as long each time,
	maxPause       = 10_000.0 // index most
	maxNames       = 10_000   // that a proxy may ask for by name
	maxUnacked     = 16       // responses of a type that are out unanswered, urgent ones
	unknownVersion = "?"      // version of what a proxy holds after it has refused another with others,
	rejectedPrefix = "!"      // and before the version that it has refused by itself; no body has these
)

// sentResponse is a response that is not answered yet.
type sentResponse struct {
	nonce   string
	version uint64
	partial bool     // not all that was new at the version
	names   []string // that it told of, removals too
}

// subscription is where a stream stands with one type.
type subscription struct {
	active                bool
	wildcard              bool // everything, not by name
	names                 map[string]bool
	unacked               []sentResponse
	sentVersion           uint64 // version of the newest response, or up to which there was nothing to tell
	sentAt                float64
	ackedVersion          uint64 // newest version taken
	rejectedVersion       uint64 // newest version refused,
	rejectReason          string // and why
	consecutiveRejections int    // refusals
	pausedUntil           float64
	urgentVersion         uint64              // version up to which what is urgent was sent
	oneAtATime            bool                // it refused several at once: one at a time, so that the bad one shows,
	hasMore               bool                // and there are more
	mustRespond           bool                // something was asked for that has to be answered, changed or not
	hasDeferredRemovals   bool                // something is still held that goes once nothing names it
	known                 map[string]Resource // what the proxy has, or is being sent
	hadState              bool                // it held something when the stream began
}

func (sub *subscription) hasUnacked() bool { return len(sub.unacked) > 0 }

// wants reports whether a subscription has a resource in it.
func (sub *subscription) wants(name string) bool { return sub.wildcard || sub.names[name] }

// Stream decides for one stream. One goroutine at a time uses it.
type Stream struct {
	Incremental bool

	subscriptions [TypeCount]subscription
	nonce         uint64
}

// RequestError is what is wrong with a request; the stream has to end.
type RequestError string

func (f RequestError) Error() string { return string(f) }

// HandleRequest takes a request at a time.
func (s *Stream) HandleRequest(r *Request, now float64) error {
	if r.Type < 0 || r.Type >= TypeCount {
		return RequestError("a type that is not served here")
	}
	sub := &s.subscriptions[r.Type]
	if len(r.Names)+len(r.Subscribe)+len(r.InitialVersions)+len(sub.names) > maxNames {
		return RequestError("more than " + strconv.Itoa(maxNames) + " names")
	}
	first := !sub.active
	if first {
		sub.active, sub.mustRespond, sub.known = true, true, map[string]Resource{}
		sub.names = map[string]bool{}
		sub.hadState = r.Version != "" || len(r.InitialVersions) > 0
	} else if r.Nonce != "" {
		newest := sub.hasUnacked() && sub.unacked[len(sub.unacked)-1].nonce == r.Nonce
		s.handleAnswer(sub, r, now)
		// What a proxy wants besides goes by the newest response, or what it said since would be undone.
		if !s.Incremental && !newest {
			return nil
		}
	}
	if s.Incremental {
		s.changeNames(sub, r, first)
	} else {
		s.setNames(sub, r, first)
	}
	return nil
}

// handleAnswer books what a proxy says of a response. An answer for one says that the earlier ones were taken.
func (s *Stream) handleAnswer(sub *subscription, r *Request, now float64) {
	index := slices.IndexFunc(sub.unacked, func(f sentResponse) bool { return f.nonce == r.Nonce })
	if index < 0 {
		return
	}
	response := sub.unacked[index]
	sub.unacked = slices.Delete(sub.unacked, 0, index+1)
	if r.RejectReason == "" {
		sub.consecutiveRejections = 0
		if !response.partial {
			sub.ackedVersion, sub.rejectReason, sub.rejectedVersion = max(sub.ackedVersion, response.version), "", 0
		}
		return
	}
	sub.rejectedVersion, sub.rejectReason = response.version, r.RejectReason
	alone := len(response.names) == 1
	for _, name := range response.names { // what it holds of these now, only it knows
		resource := sub.known[name]
		resource.Name = name
		if alone && !strings.HasPrefix(resource.Version, rejectedPrefix) {
			resource.Version = rejectedPrefix + resource.Version
		} else {
			resource.Version = unknownVersion
		}
		sub.known[name] = resource
	}
	if !alone && (s.Incremental || !r.Type.requiresAll()) {
		sub.oneAtATime, sub.hasMore = true, true
	}
	if sub.consecutiveRejections++; sub.consecutiveRejections >= maxRejections {
		pause := minPause
		for range min(sub.consecutiveRejections-maxRejections, 10) {
			pause *= 2
		}
		sub.pausedUntil = now + min(pause, maxPause)
	}
}

// setNames takes what a stream of the state of the world wants.
func (s *Stream) setNames(sub *subscription, r *Request, first bool) {
	wildcard := len(r.Names) == 0 && (first || sub.wildcard) || slices.Contains(r.Names, "*")
	names := map[string]bool{}
	for _, n := range r.Names {
		if n != "*" {
			names[n] = true
		}
	}
	if first {
		sub.ackedVersion, _ = strconv.ParseUint(r.Version, 10, 64)
	}
	for n := range names {
		sub.mustRespond = sub.mustRespond || !sub.wants(n)
	}
	sub.mustRespond = sub.mustRespond || wildcard && !sub.wildcard
	sub.wildcard, sub.names = wildcard, names
	for n := range sub.known { // what it left it has no more; asked for again it is told again
		if !sub.wants(n) {
			delete(sub.known, n)
		}
	}
}

// changeNames takes what an incremental stream wants more, and no longer.
func (s *Stream) changeNames(sub *subscription, r *Request, first bool) {
	if first {
		for name, version := range r.InitialVersions {
			sub.known[name] = Resource{Name: name, Version: version}
		}
		sub.wildcard = len(r.Subscribe) == 0
	}
	for _, n := range r.Subscribe {
		if n == "*" {
			sub.wildcard = true
		} else {
			sub.names[n] = true
		}
		if !first { // mustRespond for again it is told again
			delete(sub.known, n)
		}
		sub.mustRespond = true
	}
	for _, n := range r.Unsubscribe {
		if n == "*" {
			sub.wildcard = false
		}
		delete(sub.names, n)
	}
	for n := range sub.known {
		if len(r.Unsubscribe) > 0 && !sub.wants(n) {
			delete(sub.known, n)
		}
	}
}

// Next gives what the stream is sent next of a view, or nil for nothing now; again is when to ask anew though
// nothing has happened, 0 for never. Each call that gives a response counts it as sent.
func (s *Stream) Next(v *View, now float64) (r *Response, retryAt float64) {
	if v.Unconfirmed && s.hasEarlierState() {
		return nil, 0
	}
	// What has to go ahead goes ahead, also of answers that are outstanding.
	sub := &s.subscriptions[Endpoints]
	urgent := sub.active && sub.sentVersion > 0 && max(sub.urgentVersion, sub.sentVersion) < v.Urgent
	if urgent && now >= sub.pausedUntil && len(sub.unacked) < maxUnacked {
		if r := s.buildResponse(Endpoints, v, true, now); r != nil {
			return r, 0
		}
	}
	retryAt, progress := 0.0, true
	for progress { // where a type had nothing new, another may go
		if r, retryAt, progress = s.nextByType(v, now); r != nil {
			return r, 0
		}
	}
	return nil, retryAt
}

// nextByType goes over the types once; progress says that one was found to have nothing new.
func (s *Stream) nextByType(v *View, now float64) (r *Response, retryAt float64, progress bool) {
	for t := range TypeCount {
		sub := &s.subscriptions[t]
		removalsDue := sub.hasDeferredRemovals && s.mayRemove(t, v)
		if !sub.active || sub.hasUnacked() || !sub.mustRespond && !sub.hasMore && sub.sentVersion >= v.Version && !removalsDue {
			continue
		}
		if now < sub.pausedUntil {
			if retryAt == 0 || sub.pausedUntil < retryAt {
				retryAt = sub.pausedUntil
			}
			continue
		}
		if s.mustWait(t, v) {
			continue
		}
		if r := s.buildResponse(t, v, false, now); r != nil {
			return r, 0, true
		}
		progress = true
	}
	return nil, retryAt, progress
}

// hasEarlierState reports whether the proxy came with a view that it holds from another stream.
func (s *Stream) hasEarlierState() bool {
	for t := range TypeCount {
		if s.subscriptions[t].hadState {
			return true
		}
	}
	return false
}

// mustWait makes before it breaks: what names clusters waits until the proxy has answered for these and for
// their endpoints.
func (s *Stream) mustWait(t Type, v *View) bool {
	for earlier := range min(t, Listeners) {
		if sub := &s.subscriptions[earlier]; t >= Listeners && sub.active && (sub.sentVersion < v.Version || sub.hasMore || sub.hasUnacked()) {
			return true
		}
	}
	return false
}

// mayRemove reports whether nothing that the proxy holds names what the view has no more.
func (s *Stream) mayRemove(t Type, v *View) bool {
	referrer := referencedBy[t]
	if referrer == TypeCount {
		return true
	}
	sub := &s.subscriptions[referrer]
	return !sub.active || sub.sentVersion >= v.Version && !sub.hasUnacked() && !sub.hasDeferredRemovals && !sub.hasMore && sub.rejectedVersion < sub.sentVersion
}

// buildResponse makes a response of the view, of what is urgent alone or of all; nil where nothing is new to the proxy.
func (s *Stream) buildResponse(t Type, v *View, urgent bool, now float64) *Response {
	sub := &s.subscriptions[t]
	r := &Response{Type: t, Version: strconv.FormatUint(v.Version, 10)}
	mayBePartial := s.Incremental || !t.requiresAll() // a response need not hold all
	present := make(map[string]bool, len(v.Types[t]))
	for _, resource := range v.Types[t] {
		if !sub.wants(resource.Name) {
			continue
		}
		present[resource.Name] = true
		if sub.needs(&resource) && (!urgent || resource.Urgent > sub.urgentVersion) {
			r.Resources = append(r.Resources, resource)
		}
	}
	removals := sub.removals(present)
	sub.hasDeferredRemovals = len(removals) > 0 && !s.mayRemove(t, v)
	if sub.hasDeferredRemovals || urgent {
		removals = nil
	}
	mustRespond := sub.mustRespond && !urgent
	if s.Incremental {
		r.Removed = slices.Clone(removals)
		for name := range sub.names { // mustRespond for by name and not there: said once, so that it need not wait
			if _, held := sub.known[name]; !held && !present[name] && mustRespond {
				r.Removed = append(r.Removed, name)
			}
		}
		slices.Sort(r.Removed)
	}
	slices.SortFunc(r.Resources, sub.compare)
	hasMore := false
	if mayBePartial {
		r.Resources, r.Removed, removals, hasMore = sub.limit(r.Resources, r.Removed, removals)
	}
	var names []string
	for _, resource := range r.Resources {
		sub.known[resource.Name] = resource
		names = append(names, resource.Name)
	}
	for _, name := range removals {
		delete(sub.known, name)
	}
	if s.Incremental {
		names = append(names, r.Removed...)
	} else if !mayBePartial {
		names = append(names, removals...)
	}
	if !urgent {
		sub.sentVersion, sub.hasMore, sub.oneAtATime, sub.mustRespond = max(sub.sentVersion, v.Version), hasMore, sub.oneAtATime && hasMore, mustRespond && hasMore
	}
	if !urgent || !hasMore {
		sub.urgentVersion = max(sub.urgentVersion, v.Urgent)
	}
	if len(names) == 0 && !mustRespond {
		return nil
	}
	if !mayBePartial { // with what goes later
		r.Resources = r.Resources[:0:0]
		for _, resource := range sub.known {
			if resource.Body != nil {
				r.Resources = append(r.Resources, resource)
			}
		}
		slices.SortFunc(r.Resources, func(a, b Resource) int { return cmp.Compare(a.Name, b.Name) })
	}
	s.nonce++
	r.Nonce = strconv.FormatUint(s.nonce, 10)
	sub.unacked = append(sub.unacked, sentResponse{r.Nonce, v.Version, urgent || hasMore, names})
	sub.sentAt = now
	return r
}

// compare puts what the proxy has refused behind all else, and the rest by name.
func (sub *subscription) compare(x, y Resource) int {
	if sx, sy := sub.wasRejected(x.Name), sub.wasRejected(y.Name); sx != sy {
		if sx {
			return 1
		}
		return -1
	}
	return cmp.Compare(x.Name, y.Name)
}

// wasRejected reports whether the proxy refused the resource when it came by itself.
func (sub *subscription) wasRejected(name string) bool {
	return strings.HasPrefix(sub.known[name].Version, rejectedPrefix)
}

// limit cuts what is new, in order, to what goes in one response: what the proxy has refused goes by
// itself, so that it holds up no other, and after several were refused at once each does, so that the bad
// resource shows.
func (sub *subscription) limit(changed []Resource, removed, removals []string) ([]Resource, []string, []string, bool) {
	n := len(changed)
	switch rejected := slices.IndexFunc(changed, func(r Resource) bool { return sub.wasRejected(r.Name) }); {
	case sub.oneAtATime, rejected == 0:
		n = min(1, n)
	case rejected > 0:
		n = rejected
	}
	switch alone := sub.oneAtATime || n > 0 && sub.wasRejected(changed[0].Name); {
	case n < len(changed), alone && n > 0 && len(removed) > 0:
		return changed[:n], nil, nil, true
	case sub.oneAtATime && len(removed) > 1:
		return nil, removed[:1], removed[:1], true
	}
	return changed, removed, removals, false
}

// needs reports whether a resource is other than what the proxy has, and than what it has refused.
func (sub *subscription) needs(resource *Resource) bool {
	held, known := sub.known[resource.Name]
	return !known || held.Version != resource.Version && held.Version != rejectedPrefix+resource.Version
}

// removals are the names of what the proxy has and is no more, sorted.
func (sub *subscription) removals(present map[string]bool) (names []string) {
	for name, held := range sub.known {
		if !present[name] && sub.wants(name) && held.Version != rejectedPrefix { // nor what it won't let go
			names = append(names, name)
		}
	}
	slices.Sort(names) // against the order of a map
	return names
}

// TypeStatus is where a stream stands with a type, for people who look on.
type TypeStatus struct {
	Type         Type
	Sent         uint64
	Acked        uint64
	Rejected     uint64 // the version refused, 0 for none or where a later one was taken
	RejectReason string
	Unacked      int     // responses that are not answered yet
	LastSentAt   float64 // when the newest response was sent
}

// Status are where the stream stands with each type that it wants.
func (s *Stream) Status() (statuses []TypeStatus) {
	for t := range TypeCount {
		if sub := &s.subscriptions[t]; sub.active {
			statuses = append(statuses, TypeStatus{t, sub.sentVersion, sub.ackedVersion, sub.rejectedVersion, sub.rejectReason, len(sub.unacked), sub.sentAt})
		}
	}
	return statuses
}

// HeldVersion is the newest version that a proxy said it holds, of any type.
func (s *Stream) HeldVersion() (version uint64) {
	for t := range TypeCount {
		version = max(version, s.subscriptions[t].ackedVersion)
	}
	return version
}
