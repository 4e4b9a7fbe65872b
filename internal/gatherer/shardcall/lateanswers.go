package shardcall

import "time"

// lateAnswerSet holds the IDs of ended attempts whose answers may still arrive. An ID is kept for one to two times the
// window, so that IDs that are never answered do not accumulate.
type lateAnswerSet struct {
	window        time.Duration
	ids, olderIDs map[string]bool
	idsSince      time.Time
}

// add records that an answer to an ended attempt may arrive.
func (l *lateAnswerSet) add(id string, now time.Time) {
	if l.ids == nil || now.Sub(l.idsSince) > l.window {
		l.olderIDs = l.ids
		l.ids = map[string]bool{}
		l.idsSince = now
	}
	l.ids[id] = true
}

func (l *lateAnswerSet) contains(id string) bool { return l.ids[id] || l.olderIDs[id] }

func (l *lateAnswerSet) remove(id string) {
	delete(l.ids, id)
	delete(l.olderIDs, id)
}

func (l *lateAnswerSet) count() int { return len(l.ids) + len(l.olderIDs) }
