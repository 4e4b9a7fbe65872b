package policyserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	wire "yokeroute/internal/control/policyclient"
	"yokeroute/logic/policy"
)

func (s *Steward) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.AskPath, s.ask)
	mux.HandleFunc("GET "+wire.StatusPath, s.status)
	mux.HandleFunc("POST "+wire.ProposePath, s.propose)
	mux.HandleFunc("POST "+wire.EndPath, s.giveUp)
	mux.HandleFunc("POST "+wire.ForgetPath, s.forget)
	mux.HandleFunc("POST "+wire.BootPath, s.boot)
	mux.HandleFunc("POST "+wire.StewardPath, s.member)
	return mux
}

// answer writes a document.
func answer(w http.ResponseWriter, status int, a wire.Answer) {
	a.Form = wire.Form
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(a)
}

// fail answers with an error: what the record refuses is the asker's fault, what the stewards can't do now is not.
func (s *Steward) fail(w http.ResponseWriter, err error) {
	var refusal policy.RejectedError
	switch {
	case errors.As(err, &refusal):
		answer(w, http.StatusConflict, wire.Answer{Error: refusal.Reason})
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrRaftShutdown), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		s.elsewhere(w)
	default:
		answer(w, http.StatusServiceUnavailable, wire.Answer{Error: err.Error()})
	}
}

// elsewhere answers for a steward that does not lead.
func (s *Steward) elsewhere(w http.ResponseWriter) {
	leader := raft.ServerID("")
	if node := s.raft.Load(); node != nil {
		_, leader = node.LeaderWithID()
	}
	if string(leader) == s.t.Name { // elected, and not yet ready
		leader = ""
	}
	answer(w, http.StatusMisdirectedRequest, wire.Answer{Leader: string(leader), Error: "this steward does not lead"})
}

func read[T any](w http.ResponseWriter, r *http.Request, reader func(io.Reader) (T, error)) (T, bool) {
	doc, err := reader(http.MaxBytesReader(w, r.Body, wire.MostBytes+1))
	if err != nil {
		answer(w, http.StatusBadRequest, wire.Answer{Error: err.Error()})
		return doc, false
	}
	return doc, true
}

// ask answers a gatherer: at once where there is something new for it, else when there is, or when its wait is over.
func (s *Steward) ask(w http.ResponseWriter, r *http.Request) {
	a, ok := read(w, r, wire.ReadAsk)
	if !ok {
		return
	}
	// The answer may be late; its lease counts from the question, and the proof has to be from after it.
	if err := s.prover.proved(r.Context()); err != nil {
		s.elsewhere(w)
		return
	}
	refused, err := s.register(a.Hello.Member)
	if err != nil {
		s.fail(w, err)
		return
	}
	word, known := s.hear(a.Hello)
	if !known {
		s.elsewhere(w)
		return
	}
	lease := word.Lease
	if refused != "" {
		lease = 0
	}
	s.stir()
	wait := time.NewTimer(time.Duration(a.Wait * 1e6))
	defer wait.Stop()
	for {
		rec, news := s.machine.now()
		word = rec.Update()
		word.Lease, word.RefusalReason = lease, refused
		if word.IsNewTo(a.Hello) || lease == 0 {
			break
		}
		select {
		case <-news:
			continue
		case <-wait.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	answer(w, http.StatusOK, wire.Answer{Word: &word})
}

// register takes a gatherer in that is not known just so, and says why where the record refuses it. What is refused is
// not put into the log: a gatherer that asks again and again would fill it.
func (s *Steward) register(m policy.Member) (refused string, err error) {
	rec, _ := s.machine.now()
	if rec.Registered(m) {
		return "", nil
	}
	c := policy.Command{Register: &m}
	tried := *rec
	if _, err = tried.Apply(c); err == nil {
		_, err = s.apply(c)
	}
	var refusal policy.RejectedError
	if errors.As(err, &refusal) {
		return refusal.Reason, nil
	}
	return "", err
}

// hear takes a question in, where this steward leads.
func (s *Steward) hear(h policy.Heartbeat) (policy.Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return policy.Update{}, false
	}
	s.leader.Record, _ = s.machine.now()
	return s.leader.Handle(s.now(), h), true
}

// status tells operators how far everybody is.
func (s *Steward) status(w http.ResponseWriter, r *http.Request) {
	if err := s.prover.proved(r.Context()); err != nil {
		s.elsewhere(w)
		return
	}
	s.mu.Lock()
	if s.leader == nil {
		s.mu.Unlock()
		s.elsewhere(w)
		return
	}
	now := s.now()
	s.leader.Record, _ = s.machine.now()
	st := &wire.Status{Steward: s.t.Name, Record: *s.leader.Record, Standings: s.leader.MemberStatuses(now)}
	_, st.Waits = s.leader.Decide(now)
	st.Everywhere, st.Missing = s.leader.AppliedEverywhere(now, st.Standings)
	s.mu.Unlock()
	answer(w, http.StatusOK, wire.Answer{Status: st})
}

func (s *Steward) propose(w http.ResponseWriter, r *http.Request) {
	p, ok := read(w, r, wire.ReadProposal)
	if !ok {
		return
	}
	p.Change.ProposedAt = float64(time.Now().UnixMilli())
	s.carry(w, policy.Command{Propose: &p.Change})
}

func (s *Steward) giveUp(w http.ResponseWriter, r *http.Request) {
	if n, ok := read(w, r, wire.ReadName); ok {
		s.carry(w, policy.Command{Abandon: n.Number, Reason: n.Why})
	}
}

func (s *Steward) forget(w http.ResponseWriter, r *http.Request) {
	if n, ok := read(w, r, wire.ReadName); ok {
		s.carry(w, policy.Command{Forget: n.Name})
	}
}

// carry puts a command into the log and answers with what came of it.
func (s *Steward) carry(w http.ResponseWriter, c policy.Command) {
	if s.raft.Load() == nil {
		s.elsewhere(w)
		return
	}
	change, err := s.apply(c)
	if err != nil {
		s.fail(w, err)
		return
	}
	answer(w, http.StatusOK, wire.Answer{Change: change})
}

// boot is told of another steward's start.
func (s *Steward) boot(w http.ResponseWriter, r *http.Request) {
	n, ok := read(w, r, wire.ReadName)
	if !ok {
		return
	}
	before, err := s.boots.note(n.Name, n.Number)
	if err != nil {
		s.fail(w, err)
		return
	}
	answer(w, http.StatusOK, wire.Answer{Boot: before})
}

// member takes a steward in, or out, of those that agree. The log's own rules see to it that one is changed at a time.
func (s *Steward) member(w http.ResponseWriter, r *http.Request) {
	n, ok := read(w, r, wire.ReadName)
	if !ok {
		return
	}
	node, limit := s.raft.Load(), time.Duration(50*s.t.Beat*1e6)
	if node == nil {
		s.elsewhere(w)
		return
	}
	var f raft.IndexFuture
	if n.Out {
		f = node.RemoveServer(raft.ServerID(n.Name), 0, limit)
	} else {
		f = node.AddVoter(raft.ServerID(n.Name), raft.ServerAddress(n.Name), 0, limit)
	}
	if err := f.Error(); err != nil {
		s.fail(w, err)
		return
	}
	answer(w, http.StatusOK, wire.Answer{})
}
