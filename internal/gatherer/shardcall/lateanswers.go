package shardcall

import "time"

// lateAnswers are the IDs of ended attempts whose answers may still arrive. An ID is kept for one to two times the
// window, so that those that are never answered do not pile up.
type lateAnswers struct {
	window     time.Duration
	ids, older map[string]bool
	idsSince   time.Time
}

// expect notes that an answer may arrive though nothing waits for it.
func (l *lateAnswers) expect(id string, now time.Time) {
	if l.ids == nil || now.Sub(l.idsSince) > l.window {
		l.older = l.ids
		l.ids = map[string]bool{}
		l.idsSince = now
	}
	l.ids[id] = true
}

func (l *lateAnswers) expects(id string) bool { return l.ids[id] || l.older[id] }

func (l *lateAnswers) remove(id string) {
	delete(l.ids, id)
	delete(l.older, id)
}

func (l *lateAnswers) count() int { return len(l.ids) + len(l.older) }
