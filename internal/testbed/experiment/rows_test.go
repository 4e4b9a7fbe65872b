package experiment

import (
	"encoding/json"
	"testing"
)

// TestRowsKeepTheirJSONKeys compares rows, as commands print them, with the keys that their readers know.
func TestRowsKeepTheirJSONKeys(t *testing.T) {
	const sample = `"Greatest":0,"Crossing":0,"Median":0,"P99":0,"LookupMedian":0,"LookupP99":0,"Satisfied":0,` +
		`"Whole":0,"Aim":0,"Nacked":0,"Aborted":0,"CPU":0,"MemoryMB":0,"Parts":0,"Briefs":0,"Work":0,"Wasted":0}`
	for want, row := range map[string]any{
		`{"Day":"","Way":"","Prune":0,"Case":{"Rate":0,"Brief":0,"False":0,"Parts":0,"AnyN":false},` + sample: PhaseRow{},
		`{"Variant":"","Phase":"","Round":0,` + sample:                                                        PlanRow{},
		`{"Sent":0,"Satisfied":0,"Whole":0,"Nacked":0,"Aborted":0,"Failed":0,"InAim":0}`:                      Outcome{},
	} {
		if got, err := json.Marshal(row); err != nil || string(got) != want {
			t.Errorf("%s, %v, want %s", got, err, want)
		}
	}
}
