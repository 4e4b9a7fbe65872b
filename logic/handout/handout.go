// Package handout decides which discovery response a proxy's stream is sent next, from views that change.
//
// It supports the state-of-the-world and the incremental variant of the published discovery protocol. It
// decides which type is sent next and at which version, which resources are omitted because the proxy has
// them, and how to react to acknowledgements and rejections. Changes of draining hosts are sent before
// everything else. Otherwise updates are ordered make before break: a type whose resources refer to another
// type's resources is sent after that type, and a resource is removed only when nothing refers to it any
// more.
//
// There is no queue: each response is built from the newest view when it is sent, so that a slow proxy does
// not delay others or use more memory. A stream must never be sent an incomplete view of a type, nor an older
// view than before; and a proxy that holds a view must never be sent an unconfirmed one. Each of these would
// break drains (rule 3). The package does no I/O.
package handout

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Type is a type of resources. Types are in the order in which their resources are sent.
type Type int

// The resource types: clusters and their endpoints, listeners and their routes.
const (
	Clusters Type = iota
	Endpoints
	Listeners
	Routes
	TypeCount // number of types
)

// referencedBy maps a type to the type whose resources refer to it, which therefore has to be sent later.
// TypeCount means that there is none.
var referencedBy = [TypeCount]Type{
	Clusters:  Routes,
	Endpoints: Clusters,
	Listeners: TypeCount,
	Routes:    Listeners,
}

// requiresAll reports whether a state-of-the-world response must contain all resources of the type, since
// proxies remove those that are missing. Responses of other types may contain changed resources only.
func (t Type) requiresAll() bool { return t == Clusters || t == Listeners }

// Resource is a resource of a view. Body is opaque to this package.
type Resource struct {
	Name    string
	Version string // version of the body; equal bodies have equal versions
	Urgent  uint64 // for endpoints: newest version of the view with an urgent change of the resource
	Body    any
}

// View holds all resources that are visible to a proxy. Its version grows with each change.
type View struct {
	Version     uint64
	Urgent      uint64 // maximum of Urgent over its endpoints
	Unconfirmed bool   // restored from an earlier run and possibly stale; only for proxies without any view
	Types       [TypeCount][]Resource
}

// Request is a discovery request of a proxy.
type Request struct {
	Type            Type
	Nonce           string            // nonce of the response that the request answers; empty for none
	Version         string            // state of the world only: version that the proxy holds
	RejectReason    string            // why the proxy rejects that response; empty if it accepts it
	Names           []string          // state of the world only: names; "*", or none at first, means all
	Subscribe       []string          // incremental only: names to add
	Unsubscribe     []string          // incremental only: names to remove
	InitialVersions map[string]string // incremental only, first request: versions held, by name
}

// Response is a discovery response to a proxy.
type Response struct {
	Type      Type
	Nonce     string
	Version   string
	Resources []Resource
	Removed   []string // incremental only: names of removed resources
}

// Tuned constants. Times are in milliseconds.
const (
	maxRejections = 3        // number of consecutive rejections from which a type is paused
	minPause      = 200.0    // first pause; it doubles with each further rejection
	maxPause      = 10_000.0 // upper limit of a pause
	maxNames      = 10_000   // maximum number of resources of a type that a proxy may request by name
	maxUnacked    = 16       // maximum number of unanswered responses of a type, if urgent ones are sent ahead

	// unknownVersion is recorded for a resource that was rejected together with others: which version of it the
	// proxy holds is not known. No resource has this version.
	unknownVersion = "?"
	// rejectedPrefix is put before the version of a resource that was rejected on its own. No version of a
	// resource begins with it.
	rejectedPrefix = "!"
)

// sentResponse is a response that the proxy has not answered yet.
type sentResponse struct {
	nonce   string
	version uint64
	partial bool     // the response does not contain all changes up to the version
	names   []string // names of the resources in the response, including removed ones
}

// subscription is the state of one resource type on a stream.
type subscription struct {
	active   bool
	wildcard bool // all resources are requested, not only those in names
	names    map[string]bool
	unacked  []sentResponse
	// sentVersion is the version of the newest response, or the version up to which no response was needed.
	sentVersion           uint64
	sentAt                float64
	ackedVersion          uint64 // newest version that the proxy accepted
	rejectedVersion       uint64 // newest version that the proxy rejected; 0 for none
	rejectReason          string // reason that the proxy gave for the rejection
	consecutiveRejections int
	pausedUntil           float64
	urgentVersion         uint64 // version up to which urgent changes were sent
	// oneAtATime is set after several resources were rejected together. They are then sent one by one, to
	// find the faulty one.
	oneAtATime          bool
	hasMore             bool                // further changes of the sent version remain to be sent
	mustRespond         bool                // a response is due to a request, even without changes
	hasDeferredRemovals bool                // removals wait until nothing refers to the resources
	known               map[string]Resource // resources that the proxy has or is being sent
	hadState            bool                // the proxy had resources when the stream began
}

func (sub *subscription) hasUnacked() bool { return len(sub.unacked) > 0 }

// wants reports whether the subscription includes a resource.
func (sub *subscription) wants(name string) bool { return sub.wildcard || sub.names[name] }

// Stream decides which responses are sent on one stream. It is not safe for concurrent use.
type Stream struct {
	Incremental bool

	subscriptions [TypeCount]subscription
	nonce         uint64
}

// RequestError describes an invalid request, after which the stream has to be closed.
type RequestError string

func (e RequestError) Error() string { return string(e) }

// HandleRequest processes a request. It returns a RequestError if the request is invalid.
func (s *Stream) HandleRequest(r *Request, now float64) error {
	if r.Type < 0 || r.Type >= TypeCount {
		return RequestError("discovery request for a resource type that is not served")
	}
	sub := &s.subscriptions[r.Type]
	if len(r.Names)+len(r.Subscribe)+len(r.InitialVersions)+len(sub.names) > maxNames {
		return RequestError("discovery request for more than " + strconv.Itoa(maxNames) + " resource names")
	}
	first := !sub.active
	if first {
		sub.active, sub.mustRespond, sub.known = true, true, map[string]Resource{}
		sub.names = map[string]bool{}
		sub.hadState = r.Version != "" || len(r.InitialVersions) > 0
	} else if r.Nonce != "" {
		newest := sub.hasUnacked() && sub.unacked[len(sub.unacked)-1].nonce == r.Nonce
		s.handleAnswer(sub, r, now)
		// Only an answer to the newest response may change the names; an older one would undo later changes.
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

// handleAnswer processes the acceptance or rejection of a response. An answer implies that all earlier
// responses were accepted.
func (s *Stream) handleAnswer(sub *subscription, r *Request, now float64) {
	index := slices.IndexFunc(sub.unacked, func(sent sentResponse) bool { return sent.nonce == r.Nonce })
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
	for _, name := range response.names { // which versions of these the proxy holds now is not known
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

// setNames sets the names that a state-of-the-world stream requests.
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
	// Resources that are no longer requested count as unknown, so that a later request for them is answered.
	for n := range sub.known {
		if !sub.wants(n) {
			delete(sub.known, n)
		}
	}
}

// changeNames adds and removes the names that an incremental stream subscribes to and unsubscribes from.
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
		if !first { // a repeated subscription is answered again
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

// Next returns the response to send next from a view, or nil if there is none at present. retryAt is the time
// at which to call Next again even if nothing has changed, or 0. A response that is returned counts as sent.
func (s *Stream) Next(v *View, now float64) (r *Response, retryAt float64) {
	if v.Unconfirmed && s.hasEarlierState() {
		return nil, 0
	}
	// Urgent changes are sent even if earlier responses are not answered yet.
	sub := &s.subscriptions[Endpoints]
	urgent := sub.active && sub.sentVersion > 0 && max(sub.urgentVersion, sub.sentVersion) < v.Urgent
	if urgent && now >= sub.pausedUntil && len(sub.unacked) < maxUnacked {
		if r := s.buildResponse(Endpoints, v, true, now); r != nil {
			return r, 0
		}
	}
	retryAt, progress := 0.0, true
	for progress { // a type that turned out to be up to date may unblock another
		if r, retryAt, progress = s.nextByType(v, now); r != nil {
			return r, 0
		}
	}
	return nil, retryAt
}

// nextByType tries each type once. progress reports whether a type was found to be up to date.
func (s *Stream) nextByType(v *View, now float64) (r *Response, retryAt float64, progress bool) {
	for t := range TypeCount {
		sub := &s.subscriptions[t]
		removalsDue := sub.hasDeferredRemovals && s.mayRemove(t, v)
		if !sub.active || sub.hasUnacked() ||
			!sub.mustRespond && !sub.hasMore && sub.sentVersion >= v.Version && !removalsDue {
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

// hasEarlierState reports whether the proxy already held resources, from another stream, when this one began.
func (s *Stream) hasEarlierState() bool {
	for t := range TypeCount {
		if s.subscriptions[t].hadState {
			return true
		}
	}
	return false
}

// mustWait reports whether a type must wait for make-before-break ordering: listeners and routes, which refer
// to clusters, are sent only after the proxy has answered the clusters and their endpoints.
func (s *Stream) mustWait(t Type, v *View) bool {
	for earlier := range min(t, Listeners) {
		if sub := &s.subscriptions[earlier]; t >= Listeners && sub.active &&
			(sub.sentVersion < v.Version || sub.hasMore || sub.hasUnacked()) {
			return true
		}
	}
	return false
}

// mayRemove reports whether no resource of the proxy can still refer to resources of type t that are not in
// the view.
func (s *Stream) mayRemove(t Type, v *View) bool {
	referrer := referencedBy[t]
	if referrer == TypeCount {
		return true
	}
	sub := &s.subscriptions[referrer]
	return !sub.active || sub.sentVersion >= v.Version && !sub.hasUnacked() &&
		!sub.hasDeferredRemovals && !sub.hasMore && sub.rejectedVersion < sub.sentVersion
}

// buildResponse builds a response from the view, with urgent changes only or with all changes. It returns nil
// if the proxy needs no response.
func (s *Stream) buildResponse(t Type, v *View, urgent bool, now float64) *Response {
	sub := &s.subscriptions[t]
	r := &Response{Type: t, Version: strconv.FormatUint(v.Version, 10)}
	mayBePartial := s.Incremental || !t.requiresAll() // the response may omit unchanged resources
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
		// Names that were requested but do not exist are reported once as removed, so that the proxy does not wait.
		for name := range sub.names {
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
		sub.sentVersion, sub.hasMore, sub.oneAtATime, sub.mustRespond = max(sub.sentVersion, v.Version),
			hasMore, sub.oneAtATime && hasMore, mustRespond && hasMore
	}
	if !urgent || !hasMore {
		sub.urgentVersion = max(sub.urgentVersion, v.Urgent)
	}
	if len(names) == 0 && !mustRespond {
		return nil
	}
	if !mayBePartial { // the response also contains the resources whose removal is deferred
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

// compare orders resources by name, with rejected ones after all others.
func (sub *subscription) compare(x, y Resource) int {
	if xRejected, yRejected := sub.wasRejected(x.Name), sub.wasRejected(y.Name); xRejected != yRejected {
		if xRejected {
			return 1
		}
		return -1
	}
	return cmp.Compare(x.Name, y.Name)
}

// wasRejected reports whether the proxy rejected the resource when it was sent on its own.
func (sub *subscription) wasRejected(name string) bool {
	return strings.HasPrefix(sub.known[name].Version, rejectedPrefix)
}

// limit shortens the ordered changes to those of one response. A resource that was rejected before is sent on
// its own, so that it does not block others. After several resources were rejected together each is sent on
// its own, to find the faulty one. The last result reports whether changes are left over.
func (sub *subscription) limit(
	changed []Resource, removed, removals []string,
) ([]Resource, []string, []string, bool) {
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

// needs reports whether a resource differs from the version that the proxy has and from the one that it
// rejected.
func (sub *subscription) needs(resource *Resource) bool {
	held, known := sub.known[resource.Name]
	return !known || held.Version != resource.Version && held.Version != rejectedPrefix+resource.Version
}

// removals returns the sorted names of requested resources that the proxy has and that are not present.
func (sub *subscription) removals(present map[string]bool) (names []string) {
	for name, held := range sub.known {
		// The bare prefix marks a rejected removal, which is not repeated.
		if !present[name] && sub.wants(name) && held.Version != rejectedPrefix {
			names = append(names, name)
		}
	}
	slices.Sort(names) // responses must not depend on the iteration order of a map
	return names
}

// TypeStatus is the state of one resource type on a stream, for monitoring.
type TypeStatus struct {
	Type         Type
	Sent         uint64
	Acked        uint64
	Rejected     uint64 // newest version that was rejected; 0 if there is none or a later one was accepted
	RejectReason string
	Unacked      int     // number of unanswered responses
	LastSentAt   float64 // time of the newest response
}

// Status returns the state of each type that the proxy has requested.
func (s *Stream) Status() (statuses []TypeStatus) {
	for t := range TypeCount {
		if sub := &s.subscriptions[t]; sub.active {
			statuses = append(statuses, TypeStatus{t, sub.sentVersion, sub.ackedVersion, sub.rejectedVersion,
				sub.rejectReason, len(sub.unacked), sub.sentAt})
		}
	}
	return statuses
}

// HeldVersion returns the newest version, over all types, that the proxy has reported to hold.
func (s *Stream) HeldVersion() (version uint64) {
	for t := range TypeCount {
		version = max(version, s.subscriptions[t].ackedVersion)
	}
	return version
}
