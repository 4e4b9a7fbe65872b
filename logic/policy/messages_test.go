package policy

import "testing"

// TestWaitingPollIsAnsweredOnlyIfUpdateIsNew tests that a waiting poll is answered when a change is proposed,
// committed or abandoned, but not for a pending change that its gatherer refuses.
func TestWaitingPollIsAnsweredOnlyIfUpdateIsNew(t *testing.T) {
	pending := &Change{Number: 8}
	revision := func(epoch, lastEnded, pending uint64) Revision {
		return Revision{Epoch: epoch, LastEnded: lastEnded, Pending: pending}
	}
	for name, c := range map[string]struct {
		update    Update
		heartbeat Heartbeat
		want      bool
	}{
		"nothing":   {Update{Epoch: 7, LastEnded: 7}, Heartbeat{Applied: revision(7, 7, 0)}, false},
		"proposed":  {Update{Epoch: 7, LastEnded: 7, Pending: pending}, Heartbeat{Applied: revision(7, 7, 0)}, true},
		"prepared":  {Update{Epoch: 7, LastEnded: 7, Pending: pending}, Heartbeat{Applied: revision(7, 7, 8)}, false},
		"committed": {Update{Epoch: 8, LastEnded: 8}, Heartbeat{Applied: revision(7, 7, 8)}, true},
		"abandoned": {Update{Epoch: 7, LastEnded: 8}, Heartbeat{Applied: revision(7, 7, 8)}, true},
		"refused": {Update{Epoch: 7, LastEnded: 7, Pending: pending},
			Heartbeat{Applied: revision(7, 7, 0), RefusedChange: 8}, false},
		"committed for others": {Update{Epoch: 8, LastEnded: 8},
			Heartbeat{Applied: revision(7, 7, 0), RefusedChange: 8}, true},
		"abandoned, refused": {Update{Epoch: 7, LastEnded: 8},
			Heartbeat{Applied: revision(7, 7, 0), RefusedChange: 8}, true},
	} {
		if c.update.IsNewTo(c.heartbeat) != c.want {
			t.Errorf("%s: IsNewTo returned %v", name, !c.want)
		}
	}
}
