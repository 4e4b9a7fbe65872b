package millis

import (
	"testing"
	"time"
)

// TestConversionsAreInverse converts whole and fractional milliseconds, negative ones too, both ways.
func TestConversionsAreInverse(t *testing.T) {
	for _, c := range []struct {
		duration     time.Duration
		milliseconds float64
	}{
		{0, 0},
		{1500 * time.Microsecond, 1.5},
		{-2 * time.Second, -2000},
		{24 * time.Hour, 86_400_000},
	} {
		if ms, d := Of(c.duration), Duration(c.milliseconds); ms != c.milliseconds || d != c.duration {
			t.Errorf("%v is %g ms, and %g ms are %v", c.duration, ms, c.milliseconds, d)
		}
	}
}
